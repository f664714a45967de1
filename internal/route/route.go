// Package route chooses the target that gets a call.
//
// The membership view of targets can be stale, incomplete or wrong. The router
// therefore combines it with what this daemon's own calls show: the load that is
// reported with responses, failures, and the calls that are still outstanding.
package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Rand is a source of random numbers. It need not be safe for concurrent use.
type Rand interface {
	IntN(n int) int
	Float64() float64
}

// Options configures a Router.
type Options struct {
	Directory membership.Directory
	Self      peer.Identity
	// Now is the clock, time.Now when nil.
	Now func() time.Time
	// Rand draws candidates, randomly seeded when nil.
	Rand Rand
	// Metrics registers the router's counters, a private set when nil.
	Metrics *metrics.Set
	// AdaptiveConcurrency says that daemons report the concurrency limit found for
	// their targets, so that a target that starts gets calls by its reports.
	AdaptiveConcurrency bool
}

// Router chooses targets for the calls of one daemon.
type Router struct {
	directory membership.Directory
	self      peer.Identity
	now       func() time.Time
	counters  counters
	// adaptive is Options.AdaptiveConcurrency.
	adaptive  bool
	placement placement

	mu    sync.Mutex
	rand  Rand
	hosts map[string]*hostStats
	// services holds the indexes of the services that were called, versions those of
	// calls with a filter, targets the first of a host's targets in all of them.
	services map[string]*serviceIndex
	versions map[versionedService]*serviceIndex
	targets  map[string]*target
	// evictedAt is when idle hosts and services were last evicted.
	evictedAt time.Time
}

// New returns a router without call history.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return &Router{
		adaptive:  options.AdaptiveConcurrency,
		placement: placementFor(options.AdaptiveConcurrency),
		directory: options.Directory,
		self:      options.Self,
		now:       options.Now,
		rand:      options.Rand,
		counters:  newCounters(options.Metrics),
		hosts:     make(map[string]*hostStats),
		services:  make(map[string]*serviceIndex),
		versions:  make(map[versionedService]*serviceIndex),
		targets:   make(map[string]*target),
	}
}

// Request describes the call that needs a target.
type Request struct {
	Service *publish.Service
	// Exclude holds hosts that must not be chosen.
	Exclude map[string]bool
	// Priority orders calls by urgency, 0 the highest. A host that refused a call as
	// full is full for calls that are no more urgent.
	Priority int
	// Repeatable reports whether the call may run on another target after a failure.
	Repeatable bool
	// Version restricts the targets by their version, nil for all.
	Version *VersionFilter
	// NearOnly rules out targets that should be tried only for a free slot.
	NearOnly bool
}

// Choice is the target for the next attempt of a call.
type Choice struct {
	Member membership.Member
	// FreeSlotOnly means that the attempt should be made only if the target has a
	// free slot: queueing there has no advantage over queueing at a nearer target.
	FreeSlotOnly bool
}

// Pick is Choose for a call of the highest priority that may queue at any target.
func (r *Router) Pick(service *publish.Service, exclude map[string]bool) (membership.Member, error) {
	choice, err := r.Choose(Request{Service: service, Exclude: exclude})
	return choice.Member, err
}

// Choose returns the target for the next attempt of a call, never one on an
// excluded host. It fails with ErrNoTarget when there is none, and with
// ErrAllFull when all have recently refused calls of this priority as full.
func (r *Router) Choose(request Request) (Choice, error) {
	chosen, freeSlotOnly, err := r.pick(request)
	if err != nil {
		return Choice{}, err
	}
	return Choice{Member: *chosen.member, FreeSlotOnly: freeSlotOnly}, nil
}

// PickWithSpareSlots is Pick for optional work: it also fails with ErrNoTarget
// when the chosen target has no spare slots.
func (r *Router) PickWithSpareSlots(service *publish.Service, exclude map[string]bool) (membership.Member, error) {
	return r.ChooseWithSpareSlots(Request{Service: service, Exclude: exclude})
}

// ChooseWithSpareSlots is PickWithSpareSlots for any request.
func (r *Router) ChooseWithSpareSlots(request Request) (membership.Member, error) {
	chosen, _, err := r.pick(request)
	if err != nil {
		return membership.Member{}, err
	}
	if chosen.utilization >= spareUtilization {
		return membership.Member{}, ErrNoTarget
	}
	return *chosen.member, nil
}

// HasTarget reports whether a reachable target may take a call that has not recently
// refused calls of its priority as full.
func (r *Router) HasTarget(request Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	ix := r.indexOf(request, now)
	s, found := r.newSelection(ix, ix.classOf(request.class(), now), healthy, request, now)
	return found && s.anyNotFull()
}

func (r *Router) pick(request Request) (candidate, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	ix := r.indexOf(request, now)
	class := ix.classOf(request.class(), now)
	s, found := r.newSelection(ix, class, healthy, request, now)
	if !found {
		s, found = r.newSelection(ix, class, fallback, request, now)
	}
	if !found {
		r.counters.noTarget.Inc()
		return candidate{}, false, &NoTargetError{Known: len(ix.targets), Excluded: len(request.Exclude)}
	}
	if s.withEjected {
		r.counters.ejectionsSuspended.Inc()
	}
	if s.empty() {
		r.counters.allFull.Inc()
		return candidate{}, false, s.allFull()
	}
	chosen, freeSlotOnly := s.chooseByLocality()
	return chosen, freeSlotOnly, nil
}

func (q Request) class() callClass {
	return callClass{priority: q.Priority, repeatable: q.Repeatable}
}

// candidate is a target that may take a call.
type candidate struct {
	member *membership.Member
	// utilization is the estimated load per slot: at 1 all slots are busy.
	utilization float64
	// relativeServiceTime compares the service time of the target with the mean
	// of the healthy targets, which is 1.
	relativeServiceTime float64
	// weight is the slow-start weight, 1 for a warm target.
	weight float64
	// addedBaseCost is that of the router's placement.
	addedBaseCost float64
}

// newCandidate combines the membership of a target with the stats of its host.
func (r *Router) newCandidate(t *target, request Request, now time.Time) candidate {
	stats, found := r.hosts[t.member.Host]
	c := candidate{member: t.member, relativeServiceTime: 1, weight: r.startWeight(t.member, stats, request.Service, now), addedBaseCost: r.placement.addedBaseCost}
	if !found {
		return c
	}
	slots := float64(stats.slots(slotCount(t.member, request.Service), now))
	c.utilization = stats.load(now) / (slots * c.weight)
	c.relativeServiceTime = t.index.relativeServiceTime(stats, request.Priority, now)
	return c
}

// defaultSlots is assumed when neither the member nor the service gives a slot count.
const defaultSlots = 1

func slotCount(member *membership.Member, service *publish.Service) int {
	switch {
	case member.Slots > 0:
		return member.Slots
	case service.Slots > 0:
		return service.Slots
	default:
		return defaultSlots
	}
}
