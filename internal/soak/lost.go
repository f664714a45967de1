package soak

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

const (
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	// abortPeriod is the end of stopGrace, in which a stopping daemon may break off
	// requests that were sent within abortableSendTime after SIGTERM.
	abortPeriod       = stopGrace / 6
	abortableSendTime = 3 * time.Second
	// stopPeriod is how long after SIGTERM a failure counts as caused by the stop.
	stopPeriod = stopGrace + time.Second
	// closeSlack is how long after its last byte a request that has not run may
	// lose its connection: the close and the request cross.
	closeSlack = 200 * time.Millisecond
)

// targetRun is one execution of a request.
type targetRun struct {
	// host is the host of the target.
	host     *host
	instance string
	// endedAt is zero while the execution is in progress.
	endedAt time.Time
	// completed says that the execution was not broken off.
	completed bool
}

// requestEnd is the end of a request as its caller sees it.
type requestEnd struct {
	at time.Time
	// sentAt is when the last byte was sent, zero if it was not.
	sentAt time.Time
	// faultFree says that only planned operations and store faults were active.
	faultFree bool
}

// stopSent records that SIGTERM is about to be sent to the daemon of a host.
func (c *checker) stopSent(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppedAt[h] = time.Now()
}

// targetExits records that a target is about to exit.
func (c *checker) targetExits(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exitedAt[instance] = time.Now()
}

// runEnded records that a target no longer works on a request.
func (c *checker) runEnded(instance string, run upstream.Run, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests[run.ID]
	if request == nil {
		return
	}
	for _, each := range request.runs {
		if each.instance == instance && each.endedAt.IsZero() {
			each.endedAt, each.completed = time.Now(), completed
			return
		}
	}
}

// connectionClosed checks a request whose connection ended without a complete
// response.
func (c *checker) connectionClosed(request *sentRequest, end requestEnd, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Closed++
	if !end.faultFree {
		return
	}
	run := request.latestRun()
	switch {
	case run == nil:
		c.checkUnanswered(request, end, cause)
	case c.brokenOffByTarget(run) || c.abortable(request, run, request.host, end):
	default:
		c.addViolationLocked(RequestLost, request.id, "it had run, and its connection ended without an answer %s: %v", c.timing(request.host, request, end), cause)
	}
}

// checkUnanswered checks a request that has not run and whose connection ended.
func (c *checker) checkUnanswered(request *sentRequest, end requestEnd, cause error) {
	if end.sentAt.IsZero() || end.at.Sub(request.at) >= request.deadline {
		return
	}
	if end.at.Sub(end.sentAt) > closeSlack {
		c.addViolationLocked(RequestLost, request.id, "it had not run, and its connection ended without an answer %s: %v", c.timing(request.host, request, end), cause)
	}
}

// checkBrokenOff checks a request that a daemon answered itself. In a stop, such an
// answer must not take the place of an execution that was broken off.
func (c *checker) checkBrokenOff(request *sentRequest, status int, end requestEnd) {
	run := request.latestRun()
	if !end.faultFree || run == nil || run.completed || end.at.Sub(request.at) >= request.deadline || c.brokenOffByTarget(run) {
		return
	}
	if c.lostInStop(request, run, end) {
		c.addViolationLocked(RequestLost, request.id, "its run at %s was broken off and answered with status %d %s; daemon beside the target: %s",
			run.instance, status, c.timing(request.host, request, end), c.timing(run.host, request, end))
	}
}

// lostInStop reports whether a stop broke off an execution that it should have let
// end. The stop of the daemon that took the request goes before that of the daemon
// beside the target.
func (c *checker) lostInStop(request *sentRequest, run *targetRun, end requestEnd) bool {
	switch {
	case c.inStop(request.host, end):
		return !c.abortable(request, run, request.host, end) && !c.abortedBesideTarget(request, run, end)
	case c.inStop(run.host, end):
		return !c.abortable(request, run, run.host, end)
	default:
		return false
	}
}

// inStop reports whether a request ended in the stop of a host's daemon.
func (c *checker) inStop(h *host, end requestEnd) bool {
	stoppedAt, found := c.stoppedAt[h]
	return found && end.at.Sub(stoppedAt) <= stopPeriod
}

// latestRun returns the execution of a request that started last, nil if there is
// none.
func (r *sentRequest) latestRun() *targetRun {
	if len(r.runs) == 0 {
		return nil
	}
	return r.runs[len(r.runs)-1]
}

// brokenOffByTarget reports whether an execution ended because its target exited.
func (c *checker) brokenOffByTarget(run *targetRun) bool {
	exitedAt, found := c.exitedAt[run.instance]
	return found && !run.completed && (run.endedAt.IsZero() || !run.endedAt.Before(exitedAt))
}

// abortable reports whether the stop of a host's daemon may break off an execution:
// the request was sent early in the stop, and the target worked on it until the
// abort period.
func (c *checker) abortable(request *sentRequest, run *targetRun, h *host, end requestEnd) bool {
	stoppedAt, found := c.stoppedAt[h]
	if !found || request.at.After(stoppedAt.Add(abortableSendTime)) {
		return false
	}
	return !run.workedUntil(end).Before(stoppedAt.Add(stopGrace - abortPeriod))
}

// abortedBesideTarget reports whether the stop of the daemon beside the target may
// have broken off an execution that may not be repeated, in its abort period and not
// after it.
func (c *checker) abortedBesideTarget(request *sentRequest, run *targetRun, end requestEnd) bool {
	return !request.idempotent && c.abortable(request, run, run.host, end) && !run.workedUntil(end).After(c.stoppedAt[run.host].Add(stopGrace))
}

// workedUntil returns when the target stopped working on a request that has ended.
func (r *targetRun) workedUntil(end requestEnd) time.Time {
	if r.endedAt.IsZero() {
		return end.at
	}
	return r.endedAt
}

// timing describes when a request was sent and ended, in a stop of a host's daemon
// relative to its SIGTERM.
func (c *checker) timing(h *host, request *sentRequest, end requestEnd) string {
	text := "after " + rounded(end.at.Sub(request.at))
	if stoppedAt, found := c.stoppedAt[h]; found && end.at.Sub(stoppedAt) <= stopPeriod {
		text += ", sent " + rounded(request.at.Sub(stoppedAt)) + " and ended " + rounded(end.at.Sub(stoppedAt)) + " after SIGTERM"
	}
	return text
}

func rounded(d time.Duration) string { return d.Round(time.Millisecond).String() }
