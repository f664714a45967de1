package timeline

import (
	"fmt"
	"time"
)

// Invariant names one property of the system that Check verifies. Outputs call it
// a promise.
type Invariant string

// Invariants of the system.
const (
	// VersionsMonotonic: no host reverts to an older configuration.
	VersionsMonotonic Invariant = "versions-grow"
	// RoutesResolve: every service that an active route refers to exists.
	RoutesResolve Invariant = "routes-resolve"
	// VersionsConsistent: an active version was accepted, and verdicts and
	// configurations of one offset are equal on all hosts.
	VersionsConsistent Invariant = "versions-whole"
	// AnswersMatch: a call is answered at most once, by the peer that it was sent
	// to and with the answer to its own request.
	AnswersMatch Invariant = "answers-match"
	// RefusedNotExecuted: a call reported as not run did not run on any target.
	RefusedNotExecuted Invariant = "refusals-true"
	// KeysAtMostOnce: a service runs the requests of one idempotency key at most
	// once.
	KeysAtMostOnce Invariant = "keys-once"
	// DrainRespected: a draining target receives no new calls after the drain bound.
	DrainRespected Invariant = "draining-spared"
	// StopsGraceful: a planned stop aborts no call in progress.
	StopsGraceful Invariant = "stops-graceful"
	// VersionsPropagated: an accepted version is active on all reachable hosts
	// within the propagation bound.
	VersionsPropagated Invariant = "versions-spread"
)

// Invariants lists all invariants in the order in which they are checked.
var Invariants = []Invariant{
	VersionsMonotonic, RoutesResolve, VersionsConsistent, AnswersMatch, RefusedNotExecuted,
	KeysAtMostOnce, DrainRespected, StopsGraceful, VersionsPropagated,
}

// Violation is one violated invariant with the events that prove it.
type Violation struct {
	Invariant Invariant `json:"promise"`
	Reason    string    `json:"reason"`
	Events    []Event   `json:"events"`
}

func (v Violation) String() string {
	text := fmt.Sprintf("%s: %s", v.Invariant, v.Reason)
	for _, event := range v.Events {
		text += "\n  " + event.String()
	}
	return text
}

// Bounds are the time limits of the checks.
type Bounds struct {
	// Drain is how long calls may still be sent to a target after it began to
	// drain.
	Drain time.Duration
	// Propagation is how long an accepted version may take to be active on all
	// hosts.
	Propagation time.Duration
}

// Default bounds of Check.
const (
	DefaultDrainBound       = 5 * time.Second
	DefaultPropagationBound = 10 * time.Second
)

// Check verifies all invariants on merged events with the default bounds.
func Check(events []Event) []Violation {
	return CheckWithin(events, Bounds{Drain: DefaultDrainBound, Propagation: DefaultPropagationBound})
}

// CheckWithin verifies all invariants on merged events. The absence of an event
// is not a violation for a process that dropped events or whose Started event is
// not in the trace.
func CheckWithin(events []Event, bounds Bounds) []Violation {
	t := newTrace(events)
	var violations []Violation
	violations = append(violations, t.checkVersionsMonotonic()...)
	violations = append(violations, t.checkRoutesResolve()...)
	violations = append(violations, t.checkVersionsConsistent()...)
	violations = append(violations, t.checkAnswersMatch()...)
	violations = append(violations, t.checkRefusedNotExecuted()...)
	violations = append(violations, t.checkKeysAtMostOnce()...)
	violations = append(violations, t.checkDrainRespected(bounds.Drain)...)
	violations = append(violations, t.checkStopsGraceful()...)
	violations = append(violations, t.checkVersionsPropagated(bounds.Propagation)...)
	return violations
}

// String formats an event as one line of text.
func (e Event) String() string {
	text := fmt.Sprintf("%s %s %s", e.Time.Format(), e.Host, e.Kind)
	text += field("peer", e.Peer) + field("service", e.Service) + field("call", e.Call)
	if e.Attempt != 0 {
		text += fmt.Sprintf(" attempt=%d", e.Attempt)
	}
	text += field("key", e.Key) + field("outcome", e.Outcome)
	if e.Status != 0 {
		text += fmt.Sprintf(" status=%d", e.Status)
	}
	if e.Offset != 0 {
		text += fmt.Sprintf(" offset=%d", e.Offset)
	}
	if e.Version != 0 {
		text += fmt.Sprintf(" version=%d", e.Version)
	}
	if e.Dangling != 0 {
		text += fmt.Sprintf(" dangling=%d", e.Dangling)
	}
	return text + field("digest", e.Digest) + field("detail", e.Detail)
}

func field(name, value string) string {
	if value == "" {
		return ""
	}
	return " " + name + "=" + value
}

// timeLayout formats UTC times with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Format returns the physical part as a UTC date and time, followed by "+" and
// the logical part.
func (t Timestamp) Format() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(t.Millis).UTC().Format(timeLayout), t.Logical)
}
