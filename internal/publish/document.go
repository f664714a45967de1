package publish

import (
	"encoding/json"
	"fmt"
	"time"
)

// document is what one template renders to.
type document struct {
	Services []serviceDocument `json:"services"`
	Routes   []routeDocument   `json:"routes"`
	Tokens   []Token           `json:"tokens"`
}

type serviceDocument struct {
	Name         string    `json:"name"`
	Slots        int       `json:"slots"`
	Queue        int       `json:"queue"`
	QueueTimeout *duration `json:"queue_timeout"`
	Connections  *int      `json:"connections"`
	SlowStart    duration  `json:"slow_start"`
}

type routeDocument struct {
	Name        string          `json:"name"`
	Service     string          `json:"service"`
	Split       []shareDocument `json:"split"`
	Host        string          `json:"host"`
	Prefix      string          `json:"prefix"`
	Idempotent  bool            `json:"idempotent"`
	Keyless     bool            `json:"keyless"`
	Deadline    *duration       `json:"deadline"`
	Objective   duration        `json:"objective"`
	Priority    int             `json:"priority"`
	Refusals    int             `json:"refusals"`
	Retries     int             `json:"retries"`
	RetryBudget float64         `json:"retry_budget"`
	Hedge       duration        `json:"hedge"`
}

type shareDocument struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// duration is a JSON string with a unit, such as "250ms".
type duration time.Duration

// UnmarshalJSON parses a duration string with a unit.
func (d *duration) UnmarshalJSON(text []byte) error {
	var written string
	if err := json.Unmarshal(text, &written); err != nil {
		return fmt.Errorf("duration %s: want a string with a unit, such as \"250ms\"", text)
	}
	parsed, err := time.ParseDuration(written)
	if err != nil {
		return err
	}
	*d = duration(parsed)
	return nil
}

// orDefault returns a value, or fallback when the document leaves it out.
func orDefault[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

func (s serviceDocument) service(workspace string) *Service {
	return &Service{
		Name:         workspace + "/" + s.Name,
		Slots:        s.Slots,
		Queue:        s.Queue,
		Connections:  orDefault(s.Connections, DefaultConnections),
		QueueTimeout: time.Duration(orDefault(s.QueueTimeout, duration(DefaultQueueTimeout))),
		SlowStart:    time.Duration(s.SlowStart),
	}
}

func (r routeDocument) route(workspace string) *Route {
	route := &Route{
		Name:        workspace + "/" + r.Name,
		Service:     fullName(workspace, r.Service),
		Host:        r.Host,
		Prefix:      r.Prefix,
		Idempotent:  r.Idempotent,
		Keyless:     r.Keyless,
		Deadline:    time.Duration(orDefault(r.Deadline, duration(DefaultDeadline))),
		Objective:   time.Duration(r.Objective),
		Priority:    r.Priority,
		Refusals:    r.Refusals,
		Retries:     r.Retries,
		RetryBudget: r.RetryBudget,
		Hedge:       time.Duration(r.Hedge),
	}
	for _, share := range r.Split {
		route.Split = append(route.Split, Share{Service: fullName(workspace, share.Service), Weight: share.Weight})
	}
	return route
}
