package call

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay that RetryAfter returns.
const (
	retryAfterMin    = 100 * time.Millisecond
	retryAfterSpread = 200 * time.Millisecond
	// shedRetryAfterMin and shedRetryAfterSpread apply to refusals that are no sign of
	// load. Callers with an objective of half a second then have time for three attempts.
	shedRetryAfterMin    = 10 * time.Millisecond
	shedRetryAfterSpread = 40 * time.Millisecond
)

// RetryAfter returns a delay after which a call that was not run may be made
// again. It is random, so that callers refused at the same moment do not return
// together.
func (e *Error) RetryAfter() time.Duration {
	unavailable := max(e.Unavailable, 0)
	if e.unrelatedToLoad {
		return unavailable + shedRetryAfterMin + rand.N(shedRetryAfterSpread)
	}
	return unavailable + retryAfterMin + rand.N(retryAfterSpread)
}

// markShed marks the error of a call that a target refused although its gate bounds
// what is at the target: such a target refuses at random, and waiting does not help.
// Without a concurrency limit found for targets, they may really be full.
func (s *Server) markShed(failure *Error) {
	failure.unrelatedToLoad = s.admission.pace != nil && failure.Outcome == NotRun && failure.Step == StepShed
}
