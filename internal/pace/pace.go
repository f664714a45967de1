// Package pace finds how many requests may be at one target at a time from how the
// target answers.
//
// A Limit has no network and no clock of its own: the gate of the target tells it of
// each request and asks it before it sends another. Page: docs/design/pace.md.
package pace

import "time"

// Outcome is how a request ended at the target.
type Outcome int

// Outcomes of requests.
const (
	// Inconclusive means that the request did not reach the target, or that its end shows
	// nothing about the target.
	Inconclusive Outcome = iota
	// Succeeded means that the target completed a response without a server error.
	Succeeded
	// Failed means that the target answered with a server error or without a response.
	Failed
	// Refused means that the target did not run the request because it is full.
	Refused
	// Abandoned means that the gate gave up waiting while the target had the request.
	// The target may go on with it.
	Abandoned
)

// Answer describes the end of a request.
type Answer struct {
	Outcome Outcome
	// Rank groups requests that take about as long.
	Rank int
	// Time is how long the request was at the target.
	Time time.Duration
	// Responded is set if Respond was called for the request.
	Responded bool
	// Objective is the time up to which a response has its full value, 0 for none.
	Objective time.Duration
}

// Reason says why a limit fell.
type Reason string

// Reasons of a fall.
const (
	ReasonNone    Reason = ""
	ReasonRefused Reason = "refused"
	ReasonSlow    Reason = "slow"
	ReasonFailed  Reason = "failed"
)

// Change is a fall of the limit or of the reported slots to half of the announced slots
// or less, or their return to all of them, with the inputs.
type Change struct {
	Instance string
	// Limit is the number of slots that callers count the target for, Slots that of the
	// announced ones.
	Limit, Slots int
	// Recovered says that the limit is back at the announced slots, else it fell for
	// Reason.
	Recovered bool
	Reason    Reason
	// Slowdown is the recent time at the target relative to its usual one.
	Slowdown float64
	// FailedShare is the recent fraction of failed requests.
	FailedShare float64
	// Refusals counts the refusals and failures in a row that were followed by a pause.
	Refusals int
	// Abandoned counts the requests with which the target may still be occupied.
	Abandoned int
	// Age is the time since the last change, or since the start of the target.
	Age time.Duration
}
