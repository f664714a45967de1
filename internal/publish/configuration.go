// Package publish defines how publications become configuration.
//
// Every daemon applies the same records in the same order by the rules of this
// package, so every daemon reaches the same verdicts and the same configuration.
package publish

import (
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// Schema is the newest Entry schema number that this binary supports. Every
// change that may alter a verdict needs a new number, including changes in
// libraries that render or decode.
const Schema = 2

const (
	// baseSchema is the schema number of entries that a binary without client
	// workspaces applies correctly.
	baseSchema = 1
	// clientsSchema is the schema number of entries that depend on client workspaces or
	// public routes.
	clientsSchema = 2
)

// Version is the log offset of the publication that a configuration results from.
type Version uint64

// Configuration is the result of applying the log up to an offset. It is
// immutable.
type Configuration struct {
	// Version is the offset of the last accepted publication.
	Version Version
	// Workspaces holds workspaces by name.
	Workspaces map[string]*Workspace
	// Services holds services by full name, "workspace/service".
	Services map[string]*Service
	// Routes holds routes by full name, "workspace/route".
	Routes map[string]*Route
	// Grants assign idempotency keys of non-idempotent calls to their home hosts.
	Grants once.Grants
	// Rollouts holds the newest order of each service that has one, by full name of the
	// service. The service need not exist.
	Rollouts map[string]*Rollout
	// Hosts holds the routes that match by host and path prefix.
	Hosts HostTable
}

// Workspace is the rendered configuration of one customer.
type Workspace struct {
	Name     string
	Version  Version
	Services []*Service
	Routes   []*Route
	// Tokens grant access to the administration API of the workspace, sorted by name.
	Tokens []Token
	// Limits restrict what callers may send, nil for the defaults.
	Limits *Limits
	// Clients are the workspaces whose callers present an API key, nil if calls need
	// none.
	Clients *ClientWorkspaces
}

// Limits restrict what callers of a workspace with a full configuration may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes in bytes.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout is the longest time a caller may take to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept open.
	IdleTimeout time.Duration
}

// Service is a set of targets that run the same program.
type Service struct {
	// Name is the full name, "workspace/service".
	Name string
	// Slots is how many requests one target runs concurrently.
	Slots int
	// SlotsOverridable says that slots announced by a target replace Slots even when
	// there are more of them.
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

// Route is a name, and optionally a host and path prefix, under which callers
// reach services.
type Route struct {
	// Name is the full name, "workspace/route".
	Name string
	// Service is the full name of the service, possibly of another workspace.
	Service string
	// Split divides the calls between services by weight. When it is empty, Service
	// gets all calls.
	Split []Share
	// Host and Prefix match requests by host and path prefix, in addition to the
	// route's name. Host is empty for a route that matches by name only.
	Host   string
	Prefix string
	// Idempotent says that a call may be executed more than once.
	Idempotent bool
	// Keyless says that non-idempotent calls carry no idempotency key. Each request
	// is executed at most once, but a request that the caller repeats is executed
	// again.
	Keyless bool
	// Objective is the latency within which a response has its full value, 0 for no
	// objective.
	Objective time.Duration
	// Public routes take calls without an API key.
	Public bool
	// Priority is the priority of the route's calls under overload, 0 the highest.
	Priority int
	// Deadline applies to calls that carry no deadline.
	Deadline time.Duration
	// Retries is the largest number of further attempts of one call.
	Retries int
	// Refusals is the largest number of further hosts to which one call is sent after
	// hosts refused it before it reached their target.
	Refusals int
	// RetryBudget is the largest ratio of retries to calls, from 0 to 1.
	RetryBudget float64
	// Hedge is the delay after which an idempotent call is sent to a second target,
	// 0 for never.
	Hedge time.Duration
}

// Services returns the full names of the services to which calls may be routed.
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

// Share is the portion of a route's calls that one service gets.
type Share struct {
	// Service is the full name of the service.
	Service string
	// Weight is relative to the weights of the other shares.
	Weight int
}

// Outcome says how a publication was decided.
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

// Problem is one reason for refusing a publication.
type Problem struct {
	// Place is the template, parameter, service or route at fault.
	Place string `json:"place"`
	// Reason says what was found and what is allowed.
	Reason string `json:"reason"`
}

func (p Problem) String() string { return p.Place + ": " + p.Reason }

// Verdict is the result of applying one publication, equal on every daemon.
type Verdict struct {
	Offset    uint64
	ID        string
	Workspace string
	Author    string
	Reason    string
	Outcome   Outcome
	// Version is set when the publication was accepted.
	Version Version
	// ConflictVersion and ConflictAuthor identify the publication that was
	// accepted instead, set on a conflict.
	ConflictVersion Version
	ConflictAuthor  string
	Problems        []Problem
}
