package once

import "fmt"

// Reason is why a key was refused.
type Reason string

// Reasons of refusals.
const (
	// InvalidKey means that the key is not a UUIDv7.
	InvalidKey Reason = "invalid-key"
	// NoHome means that no grant known to this daemon gives the key a home.
	NoHome Reason = "no-home"
	// NotHome means that another host is the key's home.
	NotHome Reason = "not-home"
	// FutureKey means that the key's timestamp is too far ahead of the home's clock.
	FutureKey Reason = "future-key"
	// ExpiredKey means that the key is older than the home remembers.
	ExpiredKey Reason = "expired-key"
	// BeforeStart means that an earlier process of the home may have seen the key.
	BeforeStart Reason = "before-start"
	// InProgress means that another attempt with the key is running.
	InProgress Reason = "in-progress"
	// AlreadyRan means that an earlier attempt ran and its response is not stored.
	AlreadyRan Reason = "already-ran"
)

// Refusal is the error of an attempt that was not run. The attempt that gets it
// certainly did not run; EarlierMayHaveRun is about other attempts.
type Refusal struct {
	Reason Reason
	Detail string
	// EarlierMayHaveRun means that another attempt with the same key may be running
	// or have run. When false, no attempt with the key has run.
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
