package route

import (
	"container/heap"
	"iter"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// locality is how far a target is from this daemon.
type locality int

// Localities, the nearest first.
const (
	sameZone locality = iota
	sameRegion
	otherRegion
	localityCount
)

// tier ranks targets: those of a lower one get calls only while the higher has none.
type tier int

// Tiers of targets.
const (
	// healthy targets are reachable and accept calls.
	healthy tier = iota
	// fallback targets are suspect, unreachable, or refused work because they leave.
	fallback
	tierCount
	// closed targets accept no calls.
	closed
)

// failureRefresh is how often the reported failure rates of a service's targets are
// compared while any is above 0.
const failureRefresh = 100 * time.Millisecond

// target is one target in the index of its service.
type target struct {
	index *serviceIndex
	// next is the target of the same host in another index of the service.
	next     *target
	member   *membership.Member
	locality locality
	tier     tier
	// places holds the target's place in each classIndex, by classIndex.id.
	places []place
	// synced is the index's sync number when the target was last in the view.
	synced uint64
	// wakeAt is when the target must be classified again, zero for never, and wake
	// its position in the queue, -1 if it is not there.
	wakeAt time.Time
	wake   int
}

// serviceIndex holds the targets of one service by what decides a choice, so that
// choosing one does not look at all. It is updated when a target changes in the view,
// when a call shows something of it, and when that expires.
type serviceIndex struct {
	router  *Router
	service string
	// filter restricts the targets, nil for all of the service.
	filter *VersionFilter
	// members is the service's part of the view that the index holds.
	members []membership.Member
	syncs   uint64
	targets map[string]*target
	classes []*classIndex
	wakes   wakeQueue
	// rates sums up the reported service rates of the healthy targets, by priority.
	rates map[int]rateSum
	// failuresKnown is set while a target may have a failure rate above 0,
	// refreshedAt is when the rates were last compared.
	failuresKnown bool
	refreshedAt   time.Time
	usedAt        time.Time
}

// rateSum sums up rates, the inverse of times in seconds.
type rateSum struct {
	sum   float64
	count int
}

// indexOf returns the up-to-date index of the targets that a request may get.
func (r *Router) indexOf(request Request, now time.Time) *serviceIndex {
	members := r.directory.View().ByService.At(request.Service.Name)
	ix := r.findIndex(request)
	ix.usedAt = now
	ix.sync(members, now)
	ix.expire(now)
	ix.refreshFailures(now)
	return ix
}

// sync updates the targets that differ between two views.
func (ix *serviceIndex) sync(members []membership.Member, now time.Time) {
	if sameSlice(ix.members, members) {
		return
	}
	ix.members = members
	ix.syncs++
	held := 0
	for i := range members {
		if ix.holds(&members[i]) {
			ix.syncTarget(&members[i], now)
			held++
		}
	}
	if len(ix.targets) == held {
		return
	}
	for host, t := range ix.targets {
		if t.synced != ix.syncs {
			ix.remove(host, t)
		}
	}
}

func sameSlice(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (ix *serviceIndex) syncTarget(member *membership.Member, now time.Time) {
	t := ix.targets[member.Host]
	if t != nil && sameForRouting(t.member, member) {
		t.member, t.synced = member, ix.syncs
		return
	}
	if t == nil {
		t = ix.add(member)
	}
	ix.unplace(t)
	t.member, t.synced, t.locality = member, ix.syncs, ix.router.localityOf(member)
	ix.classify(t, now)
}

// add adds a target that has no place yet. Its host may have been one of another
// service before.
func (ix *serviceIndex) add(member *membership.Member) *target {
	for former := ix.router.targets[member.Host]; former != nil; former = former.next {
		if former.index.service != ix.service {
			former.index.remove(member.Host, former)
		}
	}
	t := &target{index: ix, next: ix.router.targets[member.Host], member: member, tier: closed, wake: notQueued, places: make([]place, len(ix.classes))}
	ix.targets[member.Host] = t
	ix.router.targets[member.Host] = t
	return t
}

// sameForRouting reports whether two states of a member give it the same place.
func sameForRouting(a, b *membership.Member) bool {
	return a.Version == b.Version && a.State == b.State && a.TargetState == b.TargetState &&
		a.Reachability == b.Reachability && a.Zone == b.Zone && a.Region == b.Region
}

func (r *Router) localityOf(member *membership.Member) locality {
	switch {
	case member.Zone == r.self.Zone:
		return sameZone
	case member.Region == r.self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

func (ix *serviceIndex) remove(host string, t *target) {
	ix.unplace(t)
	ix.setTier(t, closed)
	if t.wake != notQueued {
		heap.Remove(&ix.wakes, t.wake)
	}
	delete(ix.targets, host)
	ix.router.unlink(host, t)
}

// unlink takes a target out of the list of its host.
func (r *Router) unlink(host string, t *target) {
	first := r.targets[host]
	if first == t {
		first = t.next
	}
	for other := first; other != nil; other = other.next {
		if other.next == t {
			other.next = t.next
		}
	}
	if first == nil {
		delete(r.targets, host)
		return
	}
	r.targets[host] = first
}

// unplace takes a target out of all classes.
func (ix *serviceIndex) unplace(t *target) {
	for _, class := range ix.classes {
		class.remove(t)
	}
}

// classify gives a target its tier and its place in each class.
func (ix *serviceIndex) classify(t *target, now time.Time) {
	stats := ix.router.hosts[t.member.Host]
	ix.setTier(t, tierOf(t.member, stats, now))
	for _, class := range ix.classes {
		class.place(t, stats, now)
	}
	ix.setWake(t, stats.nextExpiry(now))
}

func tierOf(member *membership.Member, stats *hostStats, now time.Time) tier {
	switch {
	case !acceptsCalls(member):
		return closed
	case member.Reachability != membership.Reachable, stats != nil && stats.leaving(member, now):
		return fallback
	default:
		return healthy
	}
}

// acceptsCalls reports whether the target accepts new calls according to its daemon.
func acceptsCalls(member *membership.Member) bool {
	if member.State != membership.Alive {
		return false
	}
	return member.TargetState == membership.Cold || member.TargetState == membership.Ready
}

// setTier changes the tier of a target. Service times count while it is healthy.
func (ix *serviceIndex) setTier(t *target, next tier) {
	if t.tier == next {
		return
	}
	stats := ix.router.hosts[t.member.Host]
	if stats != nil && t.tier == healthy {
		ix.addRates(stats, -1)
	}
	if stats != nil && next == healthy {
		ix.addRates(stats, 1)
	}
	t.tier = next
}

// addRates adds the reported service rates of a host to the sums, or with a count of
// -1 takes them away.
func (ix *serviceIndex) addRates(stats *hostStats, count int) {
	for priority, report := range stats.serviceTimes {
		ix.addRate(priority, report.mean, count)
	}
}

func (ix *serviceIndex) addRate(priority int, mean time.Duration, count int) {
	total := ix.rates[priority]
	total.count += count
	total.sum += float64(count) / mean.Seconds()
	if total.count == 0 {
		total.sum = 0
	}
	ix.rates[priority] = total
}

// expire classifies the targets of which something known has expired.
func (ix *serviceIndex) expire(now time.Time) {
	for len(ix.wakes) > 0 && !ix.wakes[0].wakeAt.After(now) {
		ix.classify(ix.wakes[0], now)
	}
}

// refreshFailures compares the reported failure rates of all targets again, at most
// once in failureRefresh.
func (ix *serviceIndex) refreshFailures(now time.Time) {
	if !ix.failuresKnown || now.Sub(ix.refreshedAt) < failureRefresh {
		return
	}
	ix.refreshedAt = now
	ix.failuresKnown = false
	for _, class := range ix.classes {
		class.resetLowestRates()
	}
	for t := range ix.inOrder() {
		stats := ix.router.hosts[t.member.Host]
		if stats != nil && stats.reportedFailures.forget(now) {
			ix.failuresKnown = true
		}
		for _, class := range ix.classes {
			class.includeRate(t, stats, now)
		}
	}
	for t := range ix.inOrder() {
		ix.classify(t, now)
	}
}

// inOrder iterates over the targets in the order of the view, so that equal inputs give
// equal places and choices.
func (ix *serviceIndex) inOrder() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for i := range ix.members {
			if t := ix.targets[ix.members[i].Host]; t != nil && !yield(t) {
				return
			}
		}
	}
}

// classOf returns the index of a class of calls.
func (ix *serviceIndex) classOf(key callClass, now time.Time) *classIndex {
	for _, class := range ix.classes {
		if class.callClass == key {
			return class
		}
	}
	class := &classIndex{callClass: key, id: len(ix.classes)}
	ix.classes = append(ix.classes, class)
	for _, t := range ix.targets {
		t.places = append(t.places, place{})
	}
	ix.failuresKnown, ix.refreshedAt = true, time.Time{}
	ix.refreshFailures(now)
	return class
}

// notQueued is the position of a target that is not in the wakeQueue.
const notQueued = -1

// setWake sets when a target is classified again, zero for never.
func (ix *serviceIndex) setWake(t *target, at time.Time) {
	t.wakeAt = at
	switch {
	case at.IsZero() && t.wake != notQueued:
		heap.Remove(&ix.wakes, t.wake)
	case at.IsZero():
	case t.wake == notQueued:
		heap.Push(&ix.wakes, t)
	default:
		heap.Fix(&ix.wakes, t.wake)
	}
}

// wakeQueue is a heap of targets, the one with the earliest wakeAt first.
type wakeQueue []*target

func (q wakeQueue) Len() int { return len(q) }

func (q wakeQueue) Less(i, j int) bool { return q[i].wakeAt.Before(q[j].wakeAt) }

func (q wakeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].wake, q[j].wake = i, j
}

// Push implements heap.Interface.
func (q *wakeQueue) Push(x any) {
	t := x.(*target)
	t.wake = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *wakeQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	t.wake = notQueued
	(*q)[last] = nil
	*q = (*q)[:last]
	return t
}
