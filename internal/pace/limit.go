package pace

import (
	"slices"
	"time"
)

const (
	// initialDivisor gives the first reported slots of a target, and the first limit of
	// one that refused or failed all requests, as a part of its slots. A target that
	// answers in time is full after one service time.
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
	// slowSlowdown is the slowdown from which late answers lower the reported
	// slots: usual answers spread by less, noisy spells by more.
	slowSlowdown = 2
	// normalSlowdown is the slowdown up to which late answers let the reported
	// slots grow.
	normalSlowdown = 1.5
	// slowFactor multiplies the reported slots for each late answer of a slow target.
	slowFactor = 0.7
	// slowDivisor gives the least reported slots of a slow target as a part of its slots.
	// A lower one would leave the target idle after the end of a slow period.
	slowDivisor = 2
	// silenceFactor is how many usual times may pass without an answer, while requests
	// are at the target, before only one may be there, and silenceSpread how many times
	// the longest time of an answer since the start.
	silenceFactor = 4
	silenceSpread = 1.2
	// minSilence is the least such time: pauses of the runtimes on either side are
	// shorter.
	minSilence = 100 * time.Millisecond

	// failedWeight is the weight of a request in the failed share.
	failedWeight = 0.15

	// minConsecutiveRefusals is how many refusals, with nothing else answered, show that
	// the target refuses all requests. A target that sheds 0.8 of its requests at random
	// refuses that many once in 7,500 times.
	minConsecutiveRefusals = 40
	// refusalsPerRequest is added for each other request at the target, which it may have
	// accepted meanwhile.
	refusalsPerRequest = 8
	// minConsecutiveFailures and failuresPerRequest are the same for failures, with a
	// target that fails 0.55 of its requests at random.
	minConsecutiveFailures = 16
	failuresPerRequest     = 3

	// refusedFactor multiplies the limit when a full target refused.
	refusedFactor = 0.8
	// minPause is the time without new requests after a refusal, unless another request
	// ends before. It doubles up to maxPause with each refusal in a row.
	minPause = 25 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// refusingCount is the number of pauses in a row from which requests are refused
	// during a pause in place of waiting for its end.
	refusingCount = 3
	// sheddingMemory is how long after a refusal with free slots the target is taken for
	// one that sheds at random. Spells of shedding last for seconds and come back.
	sheddingMemory = time.Minute
	// refusalMemory is how long after a refusal by a full target the limit grows slowly
	// and abandoned requests count as at the target.
	refusalMemory = 2 * time.Second

	// maxAbandonedTime bounds how long an abandoned request counts as at the target,
	// since the gate cannot see its end.
	maxAbandonedTime = 2 * time.Second
	// maxAbandoned bounds the abandoned requests that are remembered.
	maxAbandoned = 64
	// leastTimeSamples is the number of answers of a rank after which a time shorter
	// than all of theirs is taken for one in which the target cannot answer.
	leastTimeSamples = 20
)

// Limit is the concurrency limit of one target. It is not safe for concurrent use.
type Limit struct {
	instance string
	slots    int
	// value is the limit, between 1 and slots. reported is the number of slots reported to
	// callers: a slow target keeps its slots, but reports fewer.
	value, reported float64
	startedAt       time.Time
	// atTarget counts the requests that have begun and not ended, unanswered those of
	// them whose response has not begun. progressAt is when the last response began, or
	// the first of the unanswered requests.
	atTarget, unanswered int
	progressAt           time.Time
	// abandoned holds when each abandoned request is taken to end at the target.
	abandoned []time.Time
	// abandonedAt holds when requests were abandoned in the last maxAbandonedTime.
	abandonedAt []time.Time

	// usual is the usual time by rank, least the least time, longest the longest time
	// of all ranks.
	usual   map[int]time.Duration
	least   map[int]leastTime
	longest time.Duration
	// slowdown is the recent time relative to the usual one.
	slowdown    float64
	failedShare float64

	// consecutiveRefusals and consecutiveFailures count those since the target last
	// answered in another way.
	consecutiveRefusals, consecutiveFailures int
	// refusals counts the pauses since then, fullAt is when the target last refused
	// because it was full.
	refusals int
	fullAt   time.Time
	// shedAt is when the target last refused while it had free slots.
	shedAt      time.Time
	pausedUntil time.Time

	low       bool
	changedAt time.Time
	change    *Change
}

// leastTime is the least time of a number of answers.
type leastTime struct {
	time    time.Duration
	answers int
}

// New returns the limit of a target that is not known yet.
func New() *Limit {
	return &Limit{slots: 1, value: 1, reported: 1, slowdown: 1, usual: make(map[int]time.Duration), least: make(map[int]leastTime)}
}

// SetTarget sets the instance of the target and its announced slots. A new instance
// begins with few reported slots. Requests at the former one still count until they end.
func (l *Limit) SetTarget(instance string, slots int, now time.Time) {
	slots = max(slots, 1)
	if !l.startedAt.IsZero() && l.instance == instance {
		l.setSlots(slots)
		return
	}
	*l = Limit{
		instance:   instance,
		slots:      slots,
		value:      float64(slots),
		reported:   float64(InitialLimit(slots)),
		startedAt:  now,
		changedAt:  now,
		atTarget:   l.atTarget,
		unanswered: l.unanswered,
		progressAt: now,
		usual:      make(map[int]time.Duration),
		least:      make(map[int]leastTime),
		slowdown:   1,
	}
}

func (l *Limit) setSlots(slots int) {
	if slots == l.slots {
		return
	}
	// What nothing has lowered follows the announced slots.
	if l.value == float64(l.slots) {
		l.value = float64(slots)
	}
	if l.reported == float64(l.slots) {
		l.reported = float64(slots)
	}
	l.slots = slots
	l.value, l.reported = min(l.value, float64(slots)), min(l.reported, float64(slots))
}

// InitialLimit returns for how many slots a target that has just started counts.
func InitialLimit(slots int) int { return max(slots/initialDivisor, min(slots, 2)) }

// Limit returns how many requests may be at the target, the abandoned ones that it may
// still run included.
func (l *Limit) Limit(now time.Time) int {
	if l.silent(now) || l.unresponsive() {
		return 1
	}
	return int(l.value)
}

// Usable returns the limit without the part that abandoned requests occupy, at least 1.
func (l *Limit) Usable(now time.Time) int {
	return max(l.Limit(now)-l.occupied(now), 1)
}

// ReportedSlots returns how many slots callers should count the target for, at most Usable.
func (l *Limit) ReportedSlots(now time.Time) int { return min(l.Usable(now), max(int(l.reported), 1)) }

// Allows reports whether another request may go to the target now.
func (l *Limit) Allows(now time.Time) bool {
	return !now.Before(l.pausedUntil) && l.atTarget < l.Usable(now)
}

// Refusing reports whether the target is full or refuses or fails all requests, and it is
// not time to try it again.
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
	if l.occupied(now) > 0 {
		next = l.fullAt.Add(refusalMemory)
	}
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

// Least returns a time within which the target has not answered any request of a rank, 0
// when unknown.
func (l *Limit) Least(rank int) time.Duration {
	if l.least[rank].answers < leastTimeSamples {
		return 0
	}
	return l.least[rank].time
}

// expected returns the time that a request of a rank is expected to take, 0 when
// unknown.
func (l *Limit) expected(rank int) time.Duration {
	return time.Duration(float64(l.usual[rank]) * max(l.slowdown, 1))
}

// Begin counts a request that goes to the target.
func (l *Limit) Begin(now time.Time) {
	if l.unanswered == 0 {
		l.progressAt = now
	}
	l.atTarget++
	l.unanswered++
}

// Respond counts a response that begins. Its request must be ended with Responded.
func (l *Limit) Respond(now time.Time) {
	l.unanswered = max(l.unanswered-1, 0)
	l.progressAt = now
}

// End counts the end of a request that began.
func (l *Limit) End(answer Answer, now time.Time) {
	l.atTarget = max(l.atTarget-1, 0)
	if !answer.Responded {
		l.unanswered = max(l.unanswered-1, 0)
	}
	l.forgetAbandoned(now)
	if answer.Outcome == Inconclusive {
		return
	}
	if !answer.Responded {
		l.progressAt = now
	}
	if answer.Outcome == Refused {
		l.refuse(now)
		return
	}
	l.failedShare += failedWeight * (share(answer.Outcome == Failed) - l.failedShare)
	if answer.Outcome == Failed {
		l.fail(now)
		return
	}
	l.resetConsecutive()
	if answer.Outcome == Abandoned {
		l.abandon(answer, now)
	} else {
		l.succeed(answer, now)
	}
}

func share(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// refuse counts a refusal. It is a sign of too many requests if those known at the target
// fill its slots, or if the target refuses everything: some targets shed a part of their
// requests while slots are free. One that did so lately must refuse everything.
func (l *Limit) refuse(now time.Time) {
	l.consecutiveRefusals++
	if l.atTarget+l.possiblyAbandoned(now) < l.slots {
		l.recordShedding(now)
	}
	if l.atTarget+len(l.abandoned) >= l.slots && !l.sheds(now) {
		l.fullAt = now
		l.pause(now)
		l.shrink(refusedFactor, ReasonRefused, now)
		return
	}
	if l.refusesAll() {
		l.pause(now)
		l.shrinkToInitial(ReasonRefused, now)
	}
}

// recordShedding records a refusal with free slots. Refusals that looked like those of a
// full target were then probably random too, so that their effect ends.
func (l *Limit) recordShedding(now time.Time) {
	l.shedAt = now
	if l.fullAt.IsZero() || l.unresponsive() {
		return
	}
	l.fullAt, l.pausedUntil, l.refusals = time.Time{}, time.Time{}, 0
	l.value = float64(l.slots)
}

// sheds reports whether the target has lately refused with free slots.
func (l *Limit) sheds(now time.Time) bool {
	return !l.shedAt.IsZero() && now.Sub(l.shedAt) < sheddingMemory
}

// fail counts a failure.
func (l *Limit) fail(now time.Time) {
	l.consecutiveFailures++
	if l.failsAll() {
		l.pause(now)
		l.shrinkToInitial(ReasonFailed, now)
	}
}

func (l *Limit) refusesAll() bool {
	return l.consecutiveRefusals >= minConsecutiveRefusals+refusalsPerRequest*min(l.atTarget, l.slots)
}

func (l *Limit) failsAll() bool {
	return l.consecutiveFailures >= minConsecutiveFailures+failuresPerRequest*min(l.atTarget, l.slots)
}

// unresponsive reports whether the target refuses or fails all requests. One at a time
// shows whether it still does.
func (l *Limit) unresponsive() bool { return l.refusesAll() || l.failsAll() }

// resetConsecutive forgets the consecutive refusals and failures, and ends the pause.
func (l *Limit) resetConsecutive() {
	l.consecutiveRefusals, l.consecutiveFailures, l.refusals, l.pausedUntil = 0, 0, 0, time.Time{}
}

// pause stops new requests for a time that doubles with each pause in a row.
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
	if len(l.abandonedAt) == maxAbandoned {
		l.abandonedAt = slices.Delete(l.abandonedAt, 0, 1)
	}
	l.abandonedAt = append(l.abandonedAt, now)
	remaining := max(l.expected(answer.Rank)-answer.Time, answer.Time/2)
	if len(l.abandoned) < maxAbandoned {
		l.abandoned = append(l.abandoned, now.Add(min(remaining, maxAbandonedTime)))
	}
}

func (l *Limit) succeed(answer Answer, now time.Time) {
	l.recordTime(answer)
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

// recordTime records the range of the times of a rank.
func (l *Limit) recordTime(answer Answer) {
	known := l.least[answer.Rank]
	if known.answers == 0 || answer.Time < known.time {
		known.time = answer.Time
	}
	known.answers++
	l.least[answer.Rank] = known
	l.longest = max(l.longest, answer.Time)
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

// judge lowers the reported slots of the target after a late answer of a slow one, and
// returns whether the target is slow.
func (l *Limit) judge(answer Answer, now time.Time) bool {
	if !late(answer) || l.slowdown < slowSlowdown {
		return false
	}
	if least := max(float64(l.slots/slowDivisor), 1); l.reported > least {
		l.reported = max(l.reported*slowFactor, least)
		l.recordFall(l.reported, ReasonSlow, now)
	}
	return true
}

func late(answer Answer) bool { return answer.Objective > 0 && answer.Time > answer.Objective }

// grow raises the limit after an answer: by one, which doubles it in the time of an
// answer, or by one in that time if the target has lately refused.
func (l *Limit) grow(answer Answer, now time.Time) {
	switch {
	case l.slowdown > normalSlowdown && late(answer):
		return
	case late(answer) && now.Sub(l.startedAt) < growthTimeout:
		return
	case late(answer), !l.fullAt.IsZero() && now.Sub(l.fullAt) < refusalMemory:
		l.value += 1 / l.value
		l.reported += 1 / l.reported
	default:
		l.value++
		l.reported++
	}
	l.value, l.reported = min(l.value, float64(l.slots)), min(l.reported, float64(l.slots))
	if l.low && int(l.value) == l.slots && int(l.reported) == l.slots {
		l.low = false
		l.recordChange(ReasonNone, now)
	}
}

func (l *Limit) shrink(factor float64, reason Reason, now time.Time) {
	l.value = max(l.value*factor, 1)
	l.recordFall(l.value, reason, now)
}

// shrinkToInitial makes a target that recovers begin like one that has just started.
func (l *Limit) shrinkToInitial(reason Reason, now time.Time) {
	l.value = min(l.value, float64(InitialLimit(l.slots)))
	l.recordFall(1, reason, now)
}
