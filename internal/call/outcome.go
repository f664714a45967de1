// Package call carries HTTP calls from callers to targets.
package call

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Headers of calls.
const (
	// HeaderOutcome says of every error whether the request was run.
	HeaderOutcome = "Mulberry-Outcome"
	// HeaderStep names the step at which an error arose.
	HeaderStep = "Mulberry-Step"
	// HeaderPeer names the host at which an error arose.
	HeaderPeer = "Mulberry-Peer"
	// HeaderEarlier is EarlierMayHaveRun on a not-run error of a call with a
	// key: this request was not run, but an earlier one with the key may have
	// been. A caller mints a new key only if every answer for the old one said
	// not-run.
	HeaderEarlier = "Mulberry-Earlier"
	// HeaderDeadline is the time left for the call, such as "250ms".
	HeaderDeadline = "Mulberry-Deadline"
	// HeaderKey is the key of a call that may not be repeated, a UUIDv7.
	HeaderKey = "Mulberry-Key"
	// HeaderCall identifies the call over all hops.
	HeaderCall = "Mulberry-Call"
	// HeaderAttempt numbers the attempts of a call from 1.
	HeaderAttempt = "Mulberry-Attempt"
	// HeaderTo names the host that a request between daemons is meant for.
	HeaderTo = "Mulberry-To"
	// HeaderService names the service between daemons.
	HeaderService = "Mulberry-Service"
	// HeaderVersion is the configuration version a call began under.
	HeaderVersion = "Mulberry-Version"
	// HeaderLoad reports "busy/slots/queued" of the answering daemon's target.
	HeaderLoad = "Mulberry-Load"
	// HeaderRetryBudget carries the retries left over all hops of a call.
	HeaderRetryBudget = "Mulberry-Retry-Budget"
	// HeaderClock carries the hybrid logical clock of the sender.
	HeaderClock = "Mulberry-Clock"
)

// EarlierMayHaveRun is the value of HeaderEarlier.
const EarlierMayHaveRun = "may-have-run"

// Outcome says whether a request that failed was run.
type Outcome string

// Outcomes of a failed call.
const (
	// NotRun is said only when it is proven that no target ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Times after which a call that was not run may be made again.
const (
	comeBackMin    = 100 * time.Millisecond
	comeBackSpread = 200 * time.Millisecond
)

// RetryAfter returns when a call that was not run may be made again. Callers
// that were refused together are spread over time.
func (e *Error) RetryAfter() time.Duration { return comeBackMin + rand.N(comeBackSpread) }

// Error is a call that failed inside the mesh.
type Error struct {
	Outcome Outcome
	// Step is where the call failed, such as "admit".
	Step string
	// Peer is the host where it failed.
	Peer string
	// Status is the HTTP status that a caller gets.
	Status int
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Outcome, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }
