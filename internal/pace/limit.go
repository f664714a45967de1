package pace

import (
	"math"
	"time"
)

const (
	// initialDivisor gives the first limit of a target as a part of its slots. A target
	// that answers in time is full after one service time.
	initialDivisor = 2
	// growthTimeout is after how long answers later than their objective no longer hold
	// the growth of a target that has just started: its objective is then out of reach
	// at any load. It is the time of the ramp that the limit replaces.
	growthTimeout = 3 * time.Second

	// baselineWeight is the weight of a sample in the usual time of a rank while the
	// target is not slow, slowBaselineWeight while it is. A spell of 5 s hardly moves
	// the usual time, a lasting change does within some hundred answers.
	baselineWeight     = 0.05
	slowBaselineWeight = 0.01
	// slowdownWeight is the least weight of a sample in the slowdown. At a low limit
	// answers are rare, so that each counts more.
	slowdownWeight = 0.25
	// maxSlowdown bounds one sample: noisy spells are up to 8 times slower.
	maxSlowdown = 8
	// abandonedFactor multiplies the time of an abandoned request, which had not ended.
	abandonedFactor = 1.5
	// slowSlowdown is the slowdown from which late answers shrink the limit: usual
	// answers spread by less, noisy spells by more.
	slowSlowdown = 2
	// normalSlowdown is the slowdown up to which answers let the limit grow.
	normalSlowdown = 1.5
	// slowFactor multiplies the limit for each late answer of a slow target, and for
	// each failure of a failing one.
	slowFactor = 0.7
	// slowDivisor gives the least limit of a slow target as a part of its slots. A lower
	// one would leave the target idle after the end of a slow period.
	slowDivisor = 2
	// silenceFactor is how many usual times may pass without an answer, while requests
	// are at the target, before only one may be there.
	silenceFactor = 4
	// minSilence is the least such time: pauses of the runtimes on either side are
	// shorter.
	minSilence = 100 * time.Millisecond

	// failedWeight is the weight of a request in the failed share, failingShare the
	// share from which failures shrink the limit. Ambient failures stay below it.
	failedWeight = 0.15
	failingShare = 0.5
	// brokenShare is the failed share from which failures are followed by pauses like
	// refusals: a target that fails at once would get hundreds of requests a second at
	// any limit. It takes eleven failures in a row.
	brokenShare = 0.8

	// refusedFactor multiplies what was at the target when it refused.
	refusedFactor = 0.8
	// minPause is the time without new requests after a refusal, unless another request
	// ends before. It doubles up to maxPause with each refusal in a row.
	minPause = 25 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// refusingCount is the number of refusals in a row from which the target is taken
	// for one that refuses all.
	refusingCount = 3
	// refusalMemory is how long after a refusal the limit grows slowly.
	refusalMemory = time.Second

	// maxAbandonedTime bounds how long an abandoned request counts as at the target,
	// since the gate cannot see its end.
	maxAbandonedTime = 2 * time.Second
	// maxAbandoned bounds the abandoned requests that are remembered.
	maxAbandoned = 64
)

// Limit is the concurrency limit of one target. It is not safe for concurrent use.
type Limit struct {
	instance string
	slots    int
	// value is the limit, between 1 and slots.
	value     float64
	startedAt time.Time
	// atTarget counts the requests that have begun and not ended, progressAt is when
	// the last one ended or the first began.
	atTarget   int
	progressAt time.Time
	// abandoned holds when each abandoned request is taken to end at the target.
	abandoned []time.Time

	// usual is the usual time by rank.
	usual map[int]time.Duration
	// slowdown is the recent time relative to the usual one.
	slowdown    float64
	failedShare float64

	// refusals counts refusals in a row, and failures in a row beyond brokenShare.
	refusals    int
	refusedAt   time.Time
	pausedUntil time.Time

	low       bool
	changedAt time.Time
	change    *Change
}

// New returns the limit of a target that is not known yet.
func New() *Limit { return &Limit{slots: 1, value: 1, slowdown: 1, usual: make(map[int]time.Duration)} }

// SetTarget sets the instance of the target and its announced slots. A new instance
// begins with a small limit. Requests at the former one still count until they end.
func (l *Limit) SetTarget(instance string, slots int, now time.Time) {
	slots = max(slots, 1)
	if !l.startedAt.IsZero() && l.instance == instance {
		l.setSlots(slots)
		return
	}
	*l = Limit{
		instance:   instance,
		slots:      slots,
		value:      float64(InitialLimit(slots)),
		startedAt:  now,
		changedAt:  now,
		atTarget:   l.atTarget,
		progressAt: now,
		usual:      make(map[int]time.Duration),
		slowdown:   1,
	}
}

func (l *Limit) setSlots(slots int) {
	if slots == l.slots {
		return
	}
	l.slots = slots
	l.value = min(l.value, float64(slots))
}

// InitialLimit returns the limit of a target of a number of slots that has just
// started.
func InitialLimit(slots int) int { return max(slots/initialDivisor, min(slots, 2)) }

// Limit returns how many requests may be at the target, the abandoned ones that it may
// still run included.
func (l *Limit) Limit(now time.Time) int {
	if l.silent(now) {
		return 1
	}
	return int(l.value)
}

// Usable returns the limit without the part that abandoned requests occupy, at least 1.
func (l *Limit) Usable(now time.Time) int {
	return max(l.Limit(now)-l.occupied(now), 1)
}

// Allows reports whether another request may go to the target now.
func (l *Limit) Allows(now time.Time) bool {
	return !now.Before(l.pausedUntil) && l.atTarget < l.Usable(now)
}

// Refusing reports whether the target refuses or fails all requests, and it is not time
// to try it again.
func (l *Limit) Refusing(now time.Time) bool {
	return l.refusals >= refusingCount && now.Before(l.pausedUntil)
}

// NextChange returns when, without a further request or answer, Allows may change from
// false to true, zero for never.
func (l *Limit) NextChange(now time.Time) time.Time {
	if now.Before(l.pausedUntil) {
		return l.pausedUntil
	}
	var next time.Time
	for _, end := range l.abandoned {
		if end.After(now) && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	return next
}

// AtTarget returns the number of requests that have begun and not ended.
func (l *Limit) AtTarget() int { return l.atTarget }

// Working reports whether the target is known to have work, abandoned requests included.
func (l *Limit) Working(now time.Time) bool { return l.atTarget+l.occupied(now) > 0 }

// Expected returns the time that a request of a rank is expected to take, 0 when
// unknown.
func (l *Limit) Expected(rank int) time.Duration {
	return time.Duration(float64(l.usual[rank]) * max(l.slowdown, 1))
}

// Begin counts a request that goes to the target.
func (l *Limit) Begin(now time.Time) {
	if l.atTarget == 0 {
		l.progressAt = now
	}
	l.atTarget++
}

// End counts the end of a request that began.
func (l *Limit) End(answer Answer, now time.Time) {
	l.atTarget = max(l.atTarget-1, 0)
	l.occupied(now)
	if answer.Outcome == NotSent {
		return
	}
	l.progressAt = now
	if answer.Outcome == Refused {
		l.refuse(now)
		return
	}
	l.failedShare += failedWeight * (share(answer.Outcome == Failed) - l.failedShare)
	if answer.Outcome == Failed && l.failedShare >= brokenShare {
		l.pause(now)
	} else {
		l.refusals, l.pausedUntil = 0, time.Time{}
	}
	switch answer.Outcome {
	case Failed:
		if l.failedShare >= failingShare {
			l.shrink(slowFactor, ReasonFailed, now)
		}
	case Abandoned:
		l.abandon(answer, now)
	case Succeeded:
		l.succeed(answer, now)
	}
}

func share(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// refuse lowers the limit below what the target had when it refused.
func (l *Limit) refuse(now time.Time) {
	l.refusedAt = now
	l.pause(now)
	l.value = min(l.value, float64(l.atTarget+len(l.abandoned)+1))
	l.shrink(refusedFactor, ReasonRefused, now)
}

// pause stops new requests for a time that doubles with each refusal in a row.
func (l *Limit) pause(now time.Time) {
	l.refusals++
	l.pausedUntil = now.Add(min(minPause<<min(l.refusals-1, 8), maxPause))
}

// abandon counts a request that the target may go on with. Its time is a lower bound.
func (l *Limit) abandon(answer Answer, now time.Time) {
	usual := l.usual[answer.Rank]
	if usual > 0 && answer.Time > usual {
		whole := answer
		whole.Time = time.Duration(abandonedFactor * float64(answer.Time))
		l.recordSlowdown(whole)
		l.judge(answer, now)
	}
	remaining := max(l.Expected(answer.Rank)-answer.Time, answer.Time/2)
	if len(l.abandoned) < maxAbandoned {
		l.abandoned = append(l.abandoned, now.Add(min(remaining, maxAbandonedTime)))
	}
}

func (l *Limit) succeed(answer Answer, now time.Time) {
	l.recordSlowdown(answer)
	usual := l.usual[answer.Rank]
	weight := baselineWeight
	if l.slowdown > slowSlowdown {
		weight = slowBaselineWeight
	}
	if usual == 0 {
		l.usual[answer.Rank] = answer.Time
	} else {
		l.usual[answer.Rank] = usual + time.Duration(weight*float64(answer.Time-usual))
	}
	if !l.judge(answer, now) {
		l.grow(answer, now)
	}
}

func (l *Limit) recordSlowdown(answer Answer) {
	usual := l.usual[answer.Rank]
	if usual <= 0 {
		return
	}
	sample := min(float64(answer.Time)/float64(usual), maxSlowdown)
	if sample <= normalSlowdown && !late(answer) {
		// In a spell of 5 times the usual time no answer is as fast as that.
		l.slowdown = min(l.slowdown, normalSlowdown)
	}
	weight := max(slowdownWeight, 1/(l.value+1))
	l.slowdown += weight * (sample - l.slowdown)
}

// judge shrinks the limit after a late answer of a slow target, and reports whether it
// did.
func (l *Limit) judge(answer Answer, now time.Time) bool {
	if !late(answer) || l.slowdown < slowSlowdown {
		return false
	}
	if least := max(float64(l.slots/slowDivisor), 1); l.value > least {
		l.shrink(max(slowFactor, least/l.value), ReasonSlow, now)
	}
	return true
}

func late(answer Answer) bool { return answer.Objective > 0 && answer.Time > answer.Objective }

// grow raises the limit after an answer: by one, which doubles it in the time of an
// answer, or by one in that time if the target has lately refused.
func (l *Limit) grow(answer Answer, now time.Time) {
	switch {
	case l.slowdown > normalSlowdown && late(answer), l.failedShare >= failingShare:
		return
	case late(answer) && now.Sub(l.startedAt) < growthTimeout:
		return
	case late(answer), now.Sub(l.refusedAt) < refusalMemory:
		l.value += 1 / l.value
	default:
		l.value++
	}
	l.value = min(l.value, float64(l.slots))
	if l.low && int(l.value) == l.slots {
		l.low = false
		l.recordChange(ReasonNone, now)
	}
}

func (l *Limit) shrink(factor float64, reason Reason, now time.Time) {
	l.value = max(l.value*factor, 1)
	if !l.low && l.value <= float64(l.slots)/2 {
		l.low = true
		l.recordChange(reason, now)
	}
}

func (l *Limit) recordChange(reason Reason, now time.Time) {
	l.change = &Change{
		Instance:    l.instance,
		Limit:       int(l.value),
		Slots:       l.slots,
		Recovered:   reason == ReasonNone,
		Reason:      reason,
		Slowdown:    math.Round(100*l.slowdown) / 100,
		FailedShare: math.Round(100*l.failedShare) / 100,
		Refusals:    l.refusals,
		Abandoned:   len(l.abandoned),
		Age:         now.Sub(l.changedAt),
	}
	l.changedAt = now
}

// TakeChange returns the latest change that was not taken yet, nil for none.
func (l *Limit) TakeChange() *Change {
	change := l.change
	l.change = nil
	return change
}

// silent reports whether no request has ended for so long that the target is taken for
// frozen.
func (l *Limit) silent(now time.Time) bool {
	if l.atTarget == 0 {
		return false
	}
	quiet := now.Sub(l.progressAt)
	if quiet <= minSilence {
		return false
	}
	longest := time.Duration(0)
	for _, usual := range l.usual {
		longest = max(longest, usual)
	}
	return longest > 0 && quiet > silenceFactor*longest
}

// occupied returns the number of abandoned requests that the target may still run, and
// forgets the others.
func (l *Limit) occupied(now time.Time) int {
	kept := l.abandoned[:0]
	for _, end := range l.abandoned {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	l.abandoned = kept
	return len(kept)
}
