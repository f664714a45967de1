package call

import (
	"math"
	"time"
)

// placeWait is the moving mean time that each place in the queue costs a rank.
// More urgent requests that come later push others back, so it may be far above
// the service time over the slots.
type placeWait struct {
	mean    time.Duration
	updated time.Time
}

// placeHalfLife is how long it takes until half of a learnt wait counts, so that
// a rank that was refused for a while is tried again.
const placeHalfLife = 500 * time.Millisecond

// patience is the share of an objective that a request may at least wait, also
// one that is late.
const patience = 0.25

// canMeet reports whether a request that queues now is expected to end by its
// deadline, and to wait no longer than its objective leaves room for.
func (g *gate) canMeet(request ticket) bool {
	wait := time.Duration(g.ahead(request)+1) * g.placeTime(request.rank())
	if !g.now().Add(wait + g.timeOf(request.priority)).Before(request.deadline) {
		return false
	}
	return request.objective <= 0 || wait <= g.room(request)
}

// mayWait returns how long a request waits before it is refused.
func (g *gate) mayWait(request ticket) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := request.deadline.Sub(g.now()) - g.timeOf(request.priority)
	if request.objective > 0 {
		left = min(left, g.room(request))
	}
	return max(left, 0)
}

// room returns how long a request may wait within its objective.
func (g *gate) room(request ticket) time.Duration {
	least := time.Duration(patience * float64(request.objective))
	if request.late {
		return least
	}
	return max(request.objective-g.timeOf(request.priority), least)
}

// placeTime returns what one place in the queue is expected to cost a rank.
func (g *gate) placeTime(rank int) time.Duration {
	least := g.serviceTime / time.Duration(max(g.limits.slots, 1))
	known := g.waits[rank]
	if known == nil {
		return least
	}
	fade := math.Exp2(-float64(g.now().Sub(known.updated)) / float64(placeHalfLife))
	return max(least, time.Duration(fade*float64(known.mean)))
}

// learn notes how long a waiter waited for its place.
func (g *gate) learn(entry *waiter) {
	known := g.waits[entry.rank()]
	if known == nil {
		known = &placeWait{}
		g.waits[entry.rank()] = known
	}
	now := g.now()
	known.mean = moved(known.mean, now.Sub(entry.since)/time.Duration(max(entry.place, 1)))
	known.updated = now
}
