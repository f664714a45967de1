package route

import (
	"container/list"
	"math"
	"time"
)

// callClass holds the calls of a service for which the same targets are open.
type callClass struct {
	priority   int
	repeatable bool
}

// classIndex holds the targets of a service as they are for one class of calls.
type classIndex struct {
	callClass
	id    int
	tiers [tierCount]tierIndex
}

// tierIndex holds the targets of one tier.
type tierIndex struct {
	// open and ejected hold the targets that are not full.
	open, ejected targetSets
	// refused holds a refusal for each target that is full for calls of the class, the
	// oldest first.
	refused list.List
	// count and ejectedCount include full targets.
	count, ejectedCount int
	// lowestRate is the lowest failure rate of the targets when it was last compared.
	lowestRate float64
}

// targetSets holds targets by locality.
type targetSets [localityCount][]*target

// place is where a target is in a classIndex.
type place struct {
	placed        bool
	tier          tier
	ejected, full bool
	// position is the index in open or ejected, refusal the element in refused.
	position int
	refusal  *list.Element
	// refusedAt is when the target last refused a call as full.
	refusedAt time.Time
}

// place puts a target where it now belongs.
func (c *classIndex) place(t *target, stats *hostStats, now time.Time) {
	next := place{placed: t.tier != closed, tier: t.tier}
	if next.placed && stats != nil {
		next.full = stats.full(c.priority, now)
		next.refusedAt = stats.refusedAt
		next.ejected = now.Before(stats.ejectedUntil) || c.tiers[t.tier].failing(stats.reportedFailures.decayed(now, c.repeatable))
	}
	current := &t.places[c.id]
	if current.sameAs(&next) {
		return
	}
	c.remove(t)
	if next.placed {
		c.tiers[next.tier].add(t, &next)
	}
	*current = next
}

// sameAs reports whether a target that moves from one place to another stays there.
func (p *place) sameAs(other *place) bool {
	return p.placed == other.placed && p.tier == other.tier && p.ejected == other.ejected &&
		p.full == other.full && (!p.full || p.refusedAt.Equal(other.refusedAt))
}

// remove takes a target out of the index.
func (c *classIndex) remove(t *target) {
	p := &t.places[c.id]
	if !p.placed {
		return
	}
	c.tiers[p.tier].remove(c.id, t, p)
	*p = place{}
}

func (i *tierIndex) add(t *target, p *place) {
	i.count++
	if p.ejected {
		i.ejectedCount++
	}
	if p.full {
		p.refusal = i.addRefusal(&refusal{target: t, at: p.refusedAt})
		return
	}
	set := i.setOf(t, p)
	p.position = len(*set)
	*set = append(*set, t)
}

func (i *tierIndex) remove(class int, t *target, p *place) {
	i.count--
	if p.ejected {
		i.ejectedCount--
	}
	if p.full {
		i.refused.Remove(p.refusal)
		return
	}
	set := i.setOf(t, p)
	last := len(*set) - 1
	moved := (*set)[last]
	(*set)[p.position] = moved
	moved.places[class].position = p.position
	(*set)[last] = nil
	*set = (*set)[:last]
}

func (i *tierIndex) setOf(t *target, p *place) *[]*target {
	if p.ejected {
		return &i.ejected[t.locality]
	}
	return &i.open[t.locality]
}

// refusal is a target that refused a call as full, and when.
type refusal struct {
	target *target
	at     time.Time
}

// addRefusal adds a refusal, usually the latest one, in its order by time.
func (i *tierIndex) addRefusal(added *refusal) *list.Element {
	before := i.refused.Back()
	for before != nil && before.Value.(*refusal).at.After(added.at) {
		before = before.Prev()
	}
	if before == nil {
		return i.refused.PushFront(added)
	}
	return i.refused.InsertAfter(added, before)
}

// failing reports whether a failure rate is far above the lowest of the tier. When
// all targets fail at a similar rate, the cause is a common one.
func (i *tierIndex) failing(rate float64) bool { return rate >= i.lowestRate+failureRateMargin }

func (c *classIndex) resetLowestRates() {
	for number := range c.tiers {
		c.tiers[number].lowestRate = math.Inf(1)
	}
}

// includeRate takes the failure rate of a target into account.
func (c *classIndex) includeRate(t *target, stats *hostStats, now time.Time) {
	if t.tier == closed {
		return
	}
	rate := 0.0
	if stats != nil {
		rate = stats.reportedFailures.decayed(now, c.repeatable)
	}
	i := &c.tiers[t.tier]
	i.lowestRate = min(i.lowestRate, rate)
}
