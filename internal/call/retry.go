package call

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// homeBackoff is the wait after the first attempt of a call with a key, which
	// goes to the same host again. It doubles with each attempt, up to 320 ms.
	homeBackoff = 5 * time.Millisecond
	// minRetryTime is the least time before the deadline at which a retry is still
	// made.
	minRetryTime = time.Millisecond
)

// shedByTarget reports whether the target responded to an idempotent call with
// 503.
func (c *outboundCall) shedByTarget(result *targetResponse) bool {
	return c.route.Idempotent && result.status == http.StatusServiceUnavailable
}

// recordFailure records a failed attempt. A nil failure stands for a call that the
// target shed.
func (c *outboundCall) recordFailure(host string, failure *Error) {
	if c.failedHosts == nil {
		c.failedHosts = make(map[string]bool)
	}
	c.failedHosts[host] = true
	if failure == nil || failure.Outcome != NotRun {
		c.mayHaveRun = true
	}
}

// finalError returns the error of the whole call, which is not-run only if no
// attempt may have run. The error of the last attempt is preferred to failure,
// which may only say that no further target was available.
func (c *outboundCall) finalError(last, failure *Error) *Error {
	if last == nil {
		last = failure
	}
	if !c.mayHaveRun || last.Outcome != NotRun {
		return last
	}
	combined := *last
	combined.Outcome = Unknown
	if combined.Status == http.StatusServiceUnavailable {
		combined.Status = http.StatusBadGateway
	}
	return &combined
}

// retryDecision says whether a call is attempted again, and if not, why.
type retryDecision string

// Decisions on another attempt.
const (
	retryAllowed retryDecision = "allowed"
	// retryBodyGone means that the body of the request cannot be sent again.
	retryBodyGone retryDecision = "body cannot be sent again"
	// retryNotSafe means that the request may have run and is not idempotent, or that
	// its status is not one to retry.
	retryNotSafe retryDecision = "not idempotent, or status not to be retried"
	// retryTooLate means that too little time is left before the deadline.
	retryTooLate retryDecision = "deadline too near"
	// retryLimitReached means that the call has used its retries.
	retryLimitReached retryDecision = "no retries left"
	// retryOverBudget means that the retry budget of the service is used up.
	retryOverBudget retryDecision = "retry budget used up"
	// retryMostFull means that so many hosts of the service have refused calls as full
	// lately that another attempt would hardly find a free one.
	retryMostFull retryDecision = "budget for attempts after full hosts used up"
	// retryCallEnded means that the call ended during the wait before the attempt.
	retryCallEnded retryDecision = "call has ended"
)

// decideRetry decides whether another attempt is allowed, and takes it from the
// limits of the call. The first retries after refusals are bounded by the route and,
// if the host was full, by the budget for those; all others by the retries left to the
// call and by the retry budget. A nil failure stands for a call that the target shed.
func (s *Server) decideRetry(c *outboundCall, failure *Error) retryDecision {
	if !c.request.body.resendable() {
		return retryBodyGone
	}
	if !c.allowsRetry(failure) {
		return retryNotSafe
	}
	if c.request.deadline.Sub(s.now()) < minRetryTime {
		return retryTooLate
	}
	if failure.isFull() && !s.budgets.WithdrawFull(c.request.service) && !c.request.freeSlotOnly {
		s.counters.mostFull.Inc()
		return retryMostFull
	}
	if failure.failedBeforeTarget() && c.refusals < c.route.Refusals {
		c.refusals++
		return retryAllowed
	}
	if c.retriesLeft <= 0 {
		return retryLimitReached
	}
	if !failure.retryTaken() && !s.budgets.Withdraw(c.route, c.request.service) {
		s.counters.overBudget.Inc()
		return retryOverBudget
	}
	c.retriesLeft--
	return retryAllowed
}

// failedBeforeTarget reports whether an attempt failed before it reached a target,
// so that another one adds no load to targets.
func (e *Error) failedBeforeTarget() bool {
	return e != nil && e.Outcome == NotRun && e.Step != StepShed
}

// isFull reports whether a daemon refused an attempt because its target was full.
func (e *Error) isFull() bool { return e != nil && e.Outcome == NotRun && e.Step == StepAdmit }

// retryTaken reports whether the retry after an attempt has been taken from the budget
// before the attempt was given up.
func (e *Error) retryTaken() bool { return e != nil && errors.Is(e.Err, errPeerGone) }

// allowsRetry reports whether a call may be attempted again after a failure: only
// after 502 and 503, and only if the route is idempotent or the attempt was not
// run.
func (c *outboundCall) allowsRetry(failure *Error) bool {
	if failure == nil {
		return true
	}
	if failure.Status != http.StatusServiceUnavailable && failure.Status != http.StatusBadGateway {
		return false
	}
	return c.route.Idempotent || failure.Outcome == NotRun
}

// backOff waits before a call with a key goes to the same host again. It reports
// whether the context of the call is still active.
func (s *Server) backOff(ctx context.Context, c *outboundCall, attempt int) bool {
	if c.request.key == "" {
		return ctx.Err() == nil
	}
	return wait.For(ctx, homeBackoff<<min(attempt-1, 6))
}
