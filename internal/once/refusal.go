package once

import "fmt"

// Reason says why a key was refused.
type Reason string

// Reasons of refusals.
const (
	// InvalidKey keys are not UUIDv7.
	InvalidKey Reason = "invalid-key"
	// NoHome means that no grant known here gives the key a home.
	NoHome Reason = "no-home"
	// NotHome means that another host is the key's home.
	NotHome Reason = "not-home"
	// FutureKey keys carry a time too far ahead of the home's clock.
	FutureKey Reason = "future-key"
	// ExpiredKey keys are older than the home remembers.
	ExpiredKey Reason = "expired-key"
	// BeforeStart keys may have been seen by an earlier process of the home.
	BeforeStart Reason = "before-start"
	// InProgress means that another attempt with the key is being run.
	InProgress Reason = "in-progress"
	// AlreadyRan means that an attempt was run whose answer is not stored.
	AlreadyRan Reason = "already-ran"
)

// Refusal is the error of an attempt that was not run. It is always true of
// the attempt that gets it; EarlierMayHaveRun speaks of other attempts.
type Refusal struct {
	Reason Reason
	Detail string
	// EarlierMayHaveRun says that another attempt with the same key may have
	// run, now or before. When false, no attempt with the key has run.
	EarlierMayHaveRun bool
	// Done is closed when the attempt in progress ends, nil for other reasons.
	Done <-chan struct{}
}

func (r *Refusal) Error() string {
	text := fmt.Sprintf("key refused: %s: %s", r.Reason, r.Detail)
	if r.EarlierMayHaveRun {
		return text + "; not run by this attempt, another may have run"
	}
	return text + "; not run"
}
