// Package publish holds the rules by which publications become configuration.
//
// Every daemon folds the same records in the same order with these rules, so
// every daemon reaches the same verdicts and the same configuration.
package publish

import (
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// Schema is the newest schema number of an Entry that this binary can fold.
// Any change that may change a verdict takes a new number, one in a library
// that renders or decodes included.
const Schema = 1

// Version is the offset of the record that a configuration stands for.
type Version uint64

// Configuration is what a prefix of the log means. It is immutable.
type Configuration struct {
	// Version is the offset of the last accepted publication.
	Version Version
	// Workspaces by name.
	Workspaces map[string]*Workspace
	// Services by full name, "workspace/service".
	Services map[string]*Service
	// Routes by full name, "workspace/route".
	Routes map[string]*Route
	// Grants assign keys of calls that may not be repeated to homes.
	Grants once.Grants
	// Hosts holds the routes that are reached by host and path prefix.
	Hosts HostTable
}

// Workspace is the rendered configuration of one team.
type Workspace struct {
	Name     string
	Version  Version
	Services []*Service
	Routes   []*Route
	// Tokens give access to the administration of the workspace, by name.
	Tokens []Token
	// Limits bound what callers may send, nil for the defaults.
	Limits *Limits
}

// Limits bound what callers of a workspace given as a whole may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout is how long a caller may take for the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a call.
	IdleTimeout time.Duration
}

// Service is a set of targets that run the same program.
type Service struct {
	// Name is the full name, "workspace/service".
	Name string
	// Slots is how many requests one target runs at once.
	Slots int
	// SlotsOverridable says that a target that announces slots knows better.
	SlotsOverridable bool
	// Queue is how many requests may wait for a slot.
	Queue int
	// Connections is how many connections a daemon keeps to its target.
	Connections int
	// QueueTimeout is how long a request may wait for a slot.
	QueueTimeout time.Duration
	// SlowStart is how long a cold target takes to reach its full share.
	SlowStart time.Duration
}

// Route names a service to callers.
type Route struct {
	// Name is the full name, "workspace/route".
	Name string
	// Service is the full name of the service, maybe of another workspace.
	Service string
	// Split divides the calls between services by weight; empty means that
	// Service gets all.
	Split []Share
	// Host and Prefix reach the route by the host and the beginning of the path
	// of a request, besides its name. Host is empty for a route without them.
	Host   string
	Prefix string
	// Idempotent says that a call may be run again.
	Idempotent bool
	// Keyless says that calls that may not be repeated come without a key. They
	// run at most once for each request, but not over requests.
	Keyless bool
	// Objective is the time within which an answer is worth its full value, 0
	// when none is given.
	Objective time.Duration
	// Priority is the rank of the route's calls under overload, 0 the highest.
	Priority int
	// Deadline bounds each call that carries none.
	Deadline time.Duration
	// Retries is how many more attempts one call may take.
	Retries int
	// Refusals is how many further hosts one call may be taken to after hosts
	// that refused it before it reached their target.
	Refusals int
	// RetryBudget is the share of calls that may be retries, from 0 to 1.
	RetryBudget float64
	// Hedge is the delay after which an idempotent call is sent to a second
	// target, 0 for never.
	Hedge time.Duration
}

// Services returns the full names of the services that may get calls.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, len(r.Split))
	for i, share := range r.Split {
		names[i] = share.Service
	}
	return names
}

// Share is a service's part of the calls of a route.
type Share struct {
	// Service is the full name of the service.
	Service string
	// Weight is relative to the weights of the other shares.
	Weight int
}

// Outcome says what a fold did with a publication.
type Outcome int

// Outcomes of a publication.
const (
	Accepted Outcome = iota + 1
	Conflict
	Refused
	Duplicate
)

func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Refused:
		return "refused"
	case Duplicate:
		return "duplicate"
	default:
		return fmt.Sprintf("outcome(%d)", int(o))
	}
}

// Problem is one reason why a publication is refused.
type Problem struct {
	// Place is the template, parameter, service or route at fault.
	Place string `json:"place"`
	// Reason says what was found and what is allowed.
	Reason string `json:"reason"`
}

func (p Problem) String() string { return p.Place + ": " + p.Reason }

// Verdict is the outcome of one publication, equal on every daemon.
type Verdict struct {
	Offset    uint64
	ID        string
	Workspace string
	Author    string
	Reason    string
	Outcome   Outcome
	// Version is set when accepted.
	Version Version
	// ConflictVersion and ConflictAuthor name the winner of a conflict.
	ConflictVersion Version
	ConflictAuthor  string
	Problems        []Problem
}
