package rollout

import (
	"cmp"
	"time"
)

const (
	// resumeTolerance is by how much the recorded time of an order must precede what any
	// daemon knows of it until the counts since then are taken for lost. It exceeds the
	// time in which an order reaches all daemons.
	resumeTolerance = 2 * time.Second
	// resumeRampTime is how long a version that does not pass the test for lack of calls
	// stays in the step Ramp after the counts were lost.
	resumeRampTime = 2 * time.Second
	// downTime is the part of an order in which a mesh that restarts gets no requests.
	downTime = time.Second
)

// recordedOrder returns when an order came by its record, zero if the record does not
// say so. The clock of the host that wrote it may differ by seconds: an order does not
// come in the future, and is at most as old as its duration.
func recordedOrder(status Status, duration time.Duration, now time.Time) time.Time {
	if status.OrderedUnixMs == 0 {
		return time.Time{}
	}
	ordered := time.UnixMilli(int64(min(status.OrderedUnixMs, uint64(now.UnixMilli()))))
	if earliest := now.Add(-duration); ordered.Before(earliest) {
		return earliest
	}
	return ordered
}

// resumed reports whether the order came so long before any daemon knew of it that all
// must have restarted: what was counted before is lost.
func (t *Trial) resumed() bool {
	return !t.recorded.IsZero() && t.began.Sub(t.recorded) > resumeTolerance
}

// elapsed returns the time since the order.
func (t *Trial) elapsed(now time.Time) time.Duration {
	if t.resumed() {
		return now.Sub(t.recorded)
	}
	return now.Sub(t.began)
}

// planned returns the step and share by the plan. After the counts were lost, the
// version gets no more than the share of the step Canary until it has passed the test,
// since what it showed before is not known, and then goes through the step Ramp.
func (t *Trial) planned(now time.Time) (Step, float64) {
	step, share := t.plan.At(t.elapsed(now))
	if !t.resumed() {
		return step, share
	}
	if t.rampSince.IsZero() {
		t.rampSince = now
	}
	// Fast answers come first: the test waits for slow ones.
	tested := now.Sub(t.rampSince)
	if t.judge.accepted() && tested >= t.allTime() || t.judge.calm() && tested >= resumeRampTime {
		t.loadSince = cmp.Or(t.loadSince, now)
	}
	loaded := !t.loadSince.IsZero()
	switch {
	case loaded && step == All && now.Sub(t.loadSince) >= rampTime:
		return All, 1
	case loaded && step >= Ramp:
		return Ramp, t.plan.rampShare
	}
	return Ramp, t.plan.canaryShare
}

// expected returns the requests to expect for the service from the order to its deadline,
// and those that the version may have got before the counts were lost. A bad version was
// found soon after the step All began, so no more than that is assumed.
func (t *Trial) expected(now time.Time) (all, lost float64) {
	sent := float64(t.sentOld + t.sentNew)
	passed := max(now.Sub(t.began), time.Second)
	if !t.resumed() {
		return sent * max(1, float64(t.order.Duration)/float64(passed)), 0
	}
	before := min(t.began.Sub(t.recorded), t.plan.all+tellTime)
	total := max(t.order.Duration-downTime, passed)
	return sent * float64(total) / float64(passed), sent * float64(t.plan.Exposure(before)) / float64(passed)
}

// mayGiveUp reports whether the deadline has passed without a decision. After a restart
// of all daemons, targets and answers have membersGrace to come.
func (t *Trial) mayGiveUp(now time.Time) bool {
	return t.elapsed(now) >= t.order.Duration && (!t.resumed() || now.Sub(t.began) >= 2*membersGrace)
}

// passed reports whether the version may be completed by the test. A service with few
// requests does not pass it in time.
func (t *Trial) passed(now time.Time) bool {
	if t.judge.accepted() {
		return true
	}
	late := t.elapsed(now) >= t.order.Duration-lastChance
	return late && (!t.resumed() || now.Sub(t.allSince) >= maxAllTime)
}
