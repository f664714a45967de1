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
}

// Router chooses targets for the calls of one daemon.
type Router struct {
	directory membership.Directory
	self      peer.Identity
	now       func() time.Time
	counters  counters

	mu    sync.Mutex
	rand  Rand
	hosts map[string]*hostStats
	// evictedAt is when idle hosts were last evicted.
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
		directory: options.Directory,
		self:      options.Self,
		now:       options.Now,
		rand:      options.Rand,
		counters:  newCounters(options.Metrics),
		hosts:     make(map[string]*hostStats),
	}
}

// Request describes the call that needs a target.
type Request struct {
	Service *publish.Service
	// Exclude holds hosts that must not be chosen.
	Exclude map[string]bool
	// Priority of the call, 0 the highest.
	Priority int
	// Repeatable reports whether the call may run on another target after a failure.
	Repeatable bool
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
	return Choice{Member: chosen.member, FreeSlotOnly: freeSlotOnly}, err
}

// PickWithSpareSlots is Pick for optional work: it also fails with ErrNoTarget
// when the chosen target has no spare slots.
func (r *Router) PickWithSpareSlots(service *publish.Service, exclude map[string]bool) (membership.Member, error) {
	chosen, _, err := r.pick(Request{Service: service, Exclude: exclude})
	if err == nil && chosen.utilization >= spareUtilization {
		return membership.Member{}, ErrNoTarget
	}
	return chosen.member, err
}

// HasTarget reports whether a reachable target may take a call that has not recently
// refused calls of its priority as full.
func (r *Router) HasTarget(request Request) bool {
	members := r.directory.View().ByService[request.Service.Name]
	r.mu.Lock()
	defer r.mu.Unlock()
	healthy, _ := r.candidates(members, request, r.now())
	return len(excludeFull(healthy)) > 0
}

func (r *Router) pick(request Request) (candidate, bool, error) {
	members := r.directory.View().ByService[request.Service.Name]
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	healthy, fallback := r.candidates(members, request, now)
	if len(healthy) == 0 {
		healthy = fallback
	}
	if len(healthy) == 0 {
		r.counters.noTarget.Inc()
		return candidate{}, false, &NoTargetError{Known: len(members), Excluded: len(request.Exclude)}
	}
	r.setRelativeServiceTimes(healthy, request.Priority, now)
	ejectFailing(healthy)
	chosen, freeSlotOnly, ok := r.chooseByLocality(r.excludeEjected(healthy))
	if !ok {
		r.counters.allFull.Inc()
		return candidate{}, false, newAllFullError(healthy, now)
	}
	return chosen, freeSlotOnly, nil
}

// candidate is a target that may take a call.
type candidate struct {
	member membership.Member
	// utilization is the estimated load per slot: at 1 all slots are busy.
	utilization float64
	// relativeServiceTime compares the service time of the target with the mean
	// of all candidates, which is 1.
	relativeServiceTime float64
	// weight is the slow-start weight, 1 for a warm target.
	weight float64
	// failureRate is the fraction of requests that the target failed recently.
	failureRate float64
	ejected     bool
	// full is set when the target has recently refused a call of this priority,
	// refusedAt is when it last refused any call.
	full      bool
	refusedAt time.Time
}

// candidates returns the reachable targets, and as a fallback those that are
// suspect, unreachable, or refused work because they are leaving.
func (r *Router) candidates(members []membership.Member, request Request, now time.Time) (healthy, fallback []candidate) {
	healthy = make([]candidate, 0, len(members))
	for _, member := range members {
		if request.Exclude[member.Host] || !acceptsCalls(member) {
			continue
		}
		c := r.newCandidate(member, request, now)
		if member.Reachability == membership.Reachable && !r.leaving(member, now) {
			healthy = append(healthy, c)
		} else {
			fallback = append(fallback, c)
		}
	}
	return healthy, fallback
}

// leaving reports whether a host refused work because it is leaving.
func (r *Router) leaving(member membership.Member, now time.Time) bool {
	stats, found := r.hosts[member.Host]
	return found && stats.leaving(member, now)
}

// acceptsCalls reports whether the target accepts new calls according to its daemon.
func acceptsCalls(member membership.Member) bool {
	if member.State != membership.Alive {
		return false
	}
	return member.TargetState == membership.Cold || member.TargetState == membership.Ready
}

// newCandidate combines the membership of a target with the stats of its host.
func (r *Router) newCandidate(member membership.Member, request Request, now time.Time) candidate {
	service := request.Service
	weight := slowStartWeight(member, service, now)
	stats, found := r.hosts[member.Host]
	if !found {
		return candidate{member: member, weight: weight}
	}
	slots := float64(stats.slots(slotCount(member, service), now))
	return candidate{
		member:      member,
		utilization: stats.load(now) / (slots * weight),
		weight:      weight,
		failureRate: stats.reportedFailures.decayed(now, request.Repeatable),
		ejected:     now.Before(stats.ejectedUntil),
		full:        stats.full(request.Priority, now),
		refusedAt:   stats.refusedAt,
	}
}

// defaultSlots is assumed when neither the member nor the service gives a slot count.
const defaultSlots = 1

func slotCount(member membership.Member, service *publish.Service) int {
	switch {
	case member.Slots > 0:
		return member.Slots
	case service.Slots > 0:
		return service.Slots
	default:
		return defaultSlots
	}
}
