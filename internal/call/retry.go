package call

import (
	"context"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// homeBackoff is the wait before a refused call goes to its home again. It
	// doubles.
	homeBackoff = 5 * time.Millisecond
	// minRetryTime is the least time left with which a retry is made.
	minRetryTime = time.Millisecond
)

// shedByTarget reports whether the target itself turned an idempotent call away.
func (c *outbound) shedByTarget(result *answer) bool {
	return c.route.Idempotent && result.status == http.StatusServiceUnavailable
}

// failed notes an attempt that failed or was turned away.
func (c *outbound) failed(host string, failure *Error) {
	if c.tried == nil {
		c.tried = make(map[string]bool)
	}
	c.tried[host] = true
	if failure == nil || failure.Outcome != NotRun {
		c.mayHaveRun = true
	}
}

// conclude is the error of the whole call: not-run only if no attempt ran.
// The last attempt's error says more than that no other target was left.
func (c *outbound) conclude(last, failure *Error) *Error {
	if last == nil {
		last = failure
	}
	if !c.mayHaveRun || last.Outcome != NotRun {
		return last
	}
	whole := *last
	whole.Outcome = Unknown
	return &whole
}

// mayRetry reports whether another attempt is true to the route and within
// its budget, and counts it. A nil failure stands for a target that turned the
// call away.
func (s *Server) mayRetry(c *outbound, failure *Error) bool {
	if !c.request.body.repeatable() || !c.allows(failure) {
		return false
	}
	if c.request.deadline.Sub(s.now()) < minRetryTime {
		return false
	}
	if failure.beforeTarget() && c.refusals < c.route.Refusals {
		c.refusals++
		return true
	}
	if c.left <= 0 {
		return false
	}
	if !s.budgets.Withdraw(c.route, c.request.service) {
		s.counters.noBudget.Inc()
		return false
	}
	c.left--
	return true
}

// beforeTarget reports whether an attempt was refused before it reached a
// target, so that another one costs targets nothing.
func (e *Error) beforeTarget() bool {
	return e != nil && e.Outcome == NotRun && e.Step != StepShed
}

// allows reports whether a failure leaves room for another attempt.
func (c *outbound) allows(failure *Error) bool {
	if failure == nil {
		return true
	}
	if failure.Status != http.StatusServiceUnavailable && failure.Status != http.StatusBadGateway {
		return false
	}
	return c.route.Idempotent || failure.Outcome == NotRun
}

// pause waits before a call goes to the same home again. It reports whether
// the call's time lasted.
func (s *Server) pause(ctx context.Context, c *outbound, attempt int) bool {
	if c.request.key == "" {
		return ctx.Err() == nil
	}
	return wait.For(ctx, homeBackoff<<min(attempt-1, 6))
}
