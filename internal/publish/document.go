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
	Name        string    `json:"name"`
	Service     string    `json:"service"`
	Idempotent  bool      `json:"idempotent"`
	Deadline    *duration `json:"deadline"`
	Retries     int       `json:"retries"`
	RetryBudget float64   `json:"retry_budget"`
	Hedge       duration  `json:"hedge"`
}

// duration is a time span written with a unit, such as "250ms".
type duration time.Duration

// UnmarshalJSON reads a string with a unit.
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

// orDefault returns a value, or a default where it was left out.
func orDefault[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
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
	return &Route{
		Name:        workspace + "/" + r.Name,
		Service:     fullName(workspace, r.Service),
		Idempotent:  r.Idempotent,
		Deadline:    time.Duration(orDefault(r.Deadline, duration(DefaultDeadline))),
		Retries:     r.Retries,
		RetryBudget: r.RetryBudget,
		Hedge:       time.Duration(r.Hedge),
	}
}
