package call

import (
	"math"
	"time"
)

// waitClass holds requests that wait alike.
type waitClass struct {
	rank int
	late bool
}

func (r admissionRequest) waitClass() waitClass { return waitClass{rank: r.rank(), late: r.late} }

// positionWait is the moving mean of the wait per position in the queue, for
// requests of one waitClass. More urgent requests that arrive later push others back,
// so it may be far above the service time divided by the slots.
type positionWait struct {
	mean    time.Duration
	updated time.Time
}

// positionWaitHalfLife is the time after which a recorded wait counts half, so
// that a priority that was refused for a while is admitted again.
const positionWaitHalfLife = 500 * time.Millisecond

// minWaitFraction is the fraction of its objective that any request may wait, even
// a late one.
const minWaitFraction = 0.25

// canMeetDeadline reports whether a request that is enqueued now is expected to
// end by its deadline and to wait no longer than its objective allows.
func (a *admissionQueue) canMeetDeadline(request admissionRequest) bool {
	wait := time.Duration(a.waitersAhead(request)+1) * a.expectedPositionWait(request.waitClass())
	if !a.now().Add(wait + a.serviceTimeOf(request.rank())).Before(request.deadline) {
		return false
	}
	return request.objective <= 0 || wait <= a.objectiveWait(request)
}

// maxWait returns how long a request waits before it is refused.
func (a *admissionQueue) maxWait(request admissionRequest) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := request.deadline.Sub(a.now()) - a.serviceTimeOf(request.rank())
	if request.objective > 0 {
		remaining = min(remaining, a.objectiveWait(request))
	}
	return max(remaining, 0)
}

// objectiveWait returns how long a request may wait within its objective.
func (a *admissionQueue) objectiveWait(request admissionRequest) time.Duration {
	least := time.Duration(minWaitFraction * float64(request.objective))
	if request.late {
		return least
	}
	return max(request.objective-a.serviceTimeOf(request.rank()), least)
}

// expectedPositionWait returns the expected wait per position in the queue.
func (a *admissionQueue) expectedPositionWait(class waitClass) time.Duration {
	least := max(a.serviceTime/time.Duration(max(a.usableSlots(), 1)), a.rate.interval())
	known := a.positionWaits[class]
	if known == nil {
		return least
	}
	decay := math.Exp2(-float64(a.now().Sub(known.updated)) / float64(positionWaitHalfLife))
	return max(least, time.Duration(decay*float64(known.mean)))
}

// recordWait records how long a waiter waited per position.
func (a *admissionQueue) recordWait(w *waiter) {
	known := a.positionWaits[w.waitClass()]
	if known == nil {
		known = &positionWait{}
		a.positionWaits[w.waitClass()] = known
	}
	now := a.now()
	known.mean = movingMean(known.mean, now.Sub(w.enqueued)/time.Duration(max(w.position, 1)))
	known.updated = now
}
