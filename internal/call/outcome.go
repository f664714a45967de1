// Package call proxies HTTP calls from callers to targets.
package call

import (
	"fmt"
	"time"
)

// Headers of calls.
const (
	// HeaderOutcome says of every error whether the request was run.
	HeaderOutcome = "Mulberry-Outcome"
	// HeaderStep names the step at which a call failed.
	HeaderStep = "Mulberry-Step"
	// HeaderPeer names the host at which a call failed; on responses between
	// daemons, the host that responds.
	HeaderPeer = "Mulberry-Peer"
	// HeaderEarlier is EarlierMayHaveRun on a not-run error of a call with a key:
	// this request was not run, but an earlier one with the same key may have
	// been. A caller may use a new key only if every response for the old one said
	// not-run.
	HeaderEarlier = "Mulberry-Earlier"
	// HeaderDeadline is the time left for the call, such as "250ms".
	HeaderDeadline = "Mulberry-Deadline"
	// HeaderKey is the idempotency key of a call to a route that is not
	// idempotent, a UUIDv7.
	HeaderKey = "Mulberry-Key"
	// HeaderCall identifies the call on all hops.
	HeaderCall = "Mulberry-Call"
	// HeaderAttempt numbers the attempts of a call from 1.
	HeaderAttempt = "Mulberry-Attempt"
	// HeaderTo names the host that a request between daemons is meant for.
	HeaderTo = "Mulberry-To"
	// HeaderService names the service of a request between daemons.
	HeaderService = "Mulberry-Service"
	// HeaderVersion is the configuration version under which a call began.
	HeaderVersion = "Mulberry-Version"
	// HeaderLoad is the load of the target of the responding daemon,
	// "busy/slots/queued".
	HeaderLoad = "Mulberry-Load"
	// HeaderRetryBudget is the number of retries left to the call on all hops.
	HeaderRetryBudget = "Mulberry-Retry-Budget"
	// HeaderClock is the hybrid logical clock of the sender.
	HeaderClock = "Mulberry-Clock"
)

// EarlierMayHaveRun is the only value of HeaderEarlier.
const EarlierMayHaveRun = "may-have-run"

// Outcome says whether a failed request was run.
type Outcome string

// Outcomes of a failed call.
const (
	// NotRun is used only when it is certain that no target ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Error is the error of a call that failed inside the mesh.
type Error struct {
	Outcome Outcome
	// Step is the step at which the call failed, such as "admit".
	Step string
	// Peer is the host at which it failed.
	Peer string
	// Status is the HTTP status for the caller.
	Status int
	// Unavailable is how long this daemon refuses every call at the longest, 0 if it
	// refuses this one only.
	Unavailable time.Duration
	// unrelatedToLoad says that the refusal is no sign of load: another attempt is as
	// likely to be served at once as later.
	unrelatedToLoad bool
	Err             error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Outcome, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }
