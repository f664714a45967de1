package timeline

import (
	"fmt"
	"time"
)

// Invariant names one of the promises that Check verifies.
type Invariant string

// Promises of the system.
const (
	// VersionsMonotonic: no host goes back to an older configuration.
	VersionsMonotonic Invariant = "versions-grow"
	// RoutesResolve: no route in force lacks its service.
	RoutesResolve Invariant = "routes-resolve"
	// VersionsConsistent: what is in force was accepted and is equal everywhere.
	VersionsConsistent Invariant = "versions-whole"
	// AnswersMatch: each call gets one answer, its own.
	AnswersMatch Invariant = "answers-match"
	// RefusedNotExecuted: a call reported as not run was not run.
	RefusedNotExecuted Invariant = "refusals-true"
	// KeysAtMostOnce: no key runs twice.
	KeysAtMostOnce Invariant = "keys-once"
	// DrainRespected: a draining target gets no new work after the bound.
	DrainRespected Invariant = "draining-spared"
	// StopsGraceful: a planned stop cuts no call in progress.
	StopsGraceful Invariant = "stops-graceful"
	// VersionsPropagated: an accepted version is in force everywhere in time.
	VersionsPropagated Invariant = "versions-spread"
)

// Invariants lists all promises in the order in which they are checked.
var Invariants = []Invariant{
	VersionsMonotonic, RoutesResolve, VersionsConsistent, AnswersMatch, RefusedNotExecuted,
	KeysAtMostOnce, DrainRespected, StopsGraceful, VersionsPropagated,
}

// Violation is one broken promise with the events that show it.
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

// Bounds are the times that the checks allow.
type Bounds struct {
	// Drain is how long after a target began to drain it may still be sent work.
	Drain time.Duration
	// Propagation is how long an accepted version may take to be in force.
	Propagation time.Duration
}

// Bounds that Check uses.
const (
	DefaultDrainBound       = 5 * time.Second
	DefaultPropagationBound = 10 * time.Second
)

// Check verifies every promise on merged events with the default bounds.
func Check(events []Event) []Violation {
	return CheckWithin(events, Bounds{Drain: DefaultDrainBound, Propagation: DefaultPropagationBound})
}

// CheckWithin verifies every promise on merged events. A process that dropped
// events or whose start is not among the events is held only against what its
// events show, not against what they lack.
func CheckWithin(events []Event, bounds Bounds) []Violation {
	t := newTrace(events)
	var violations []Violation
	violations = append(violations, t.checkVersionsGrow()...)
	violations = append(violations, t.checkRoutesResolve()...)
	violations = append(violations, t.checkVersionsWhole()...)
	violations = append(violations, t.checkAnswersMatch()...)
	violations = append(violations, t.checkRefusalsTrue()...)
	violations = append(violations, t.checkKeysOnce()...)
	violations = append(violations, t.checkDrainingSpared(bounds.Drain)...)
	violations = append(violations, t.checkStopsGraceful()...)
	violations = append(violations, t.checkVersionsSpread(bounds.Propagation)...)
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

// timeLayout shows milliseconds in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Format writes the physical part as a date and time, then the logical part.
func (t Timestamp) Format() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(t.Millis).UTC().Format(timeLayout), t.Logical)
}
