// Package route chooses the target that gets a call.
//
// Knowledge of targets is old, incomplete and sometimes false. The router
// therefore weighs what membership says against the answers to this daemon's
// own calls: load that is reported with answers, failures, and the calls that
// are still outstanding.
package route

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// ErrNoTarget says that no target of the service may take a new call.
var ErrNoTarget = errors.New("no target takes new calls")

// ErrAllFull says that every target has just refused calls as full.
var ErrAllFull = errors.New("all targets are full")

// Rand is a source of random numbers. It need not be safe for concurrent use.
type Rand interface {
	IntN(n int) int
	Float64() float64
}

// Options of a router.
type Options struct {
	Directory membership.Directory
	Self      peer.Identity
	// Now is the clock, time.Now when nil.
	Now func() time.Time
	// Rand chooses among targets, a random seed when nil.
	Rand Rand
	// Metrics takes the router's counters, none when nil.
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
	hosts map[string]*host
	// cleaned is when hosts without recent calls were last forgotten.
	cleaned time.Time
}

// New returns a router that has seen no calls.
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
		hosts:     make(map[string]*host),
	}
}

// Request is what a call asks for.
type Request struct {
	Service *publish.Service
	// Exclude holds hosts that are not to be picked.
	Exclude map[string]bool
	// Priority is the rank of the call, 0 the highest.
	Priority int
	// Repeatable says that the call may run on another target after a failure.
	Repeatable bool
}

// Choice is the target for the next attempt of a call.
type Choice struct {
	Member membership.Member
	// FreeSlotOnly says that the attempt is worth making only if a slot is free:
	// waiting elsewhere is as good and nearer.
	FreeSlotOnly bool
}

// Pick is Choose for a call of the highest rank that waits anywhere.
func (r *Router) Pick(service *publish.Service, exclude map[string]bool) (membership.Member, error) {
	picked, err := r.Choose(Request{Service: service, Exclude: exclude})
	return picked.Member, err
}

// Choose returns the target for the next attempt of a call, never one whose
// host is excluded. The error is ErrNoTarget when there is none, and ErrAllFull
// when all have just refused calls of the rank as full.
func (r *Router) Choose(want Request) (Choice, error) {
	picked, freeSlotOnly, err := r.pick(want)
	return Choice{Member: picked.member, FreeSlotOnly: freeSlotOnly}, err
}

// PickWithSpareSlots is Pick for work that may be left undone: the error is ErrNoTarget
// too when the target picked has no slots to spare.
func (r *Router) PickWithSpareSlots(service *publish.Service, exclude map[string]bool) (membership.Member, error) {
	picked, _, err := r.pick(Request{Service: service, Exclude: exclude})
	if err == nil && picked.score >= spareScore {
		return membership.Member{}, ErrNoTarget
	}
	return picked.member, err
}

func (r *Router) pick(want Request) (candidate, bool, error) {
	members := r.directory.View().ByService[want.Service.Name]
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	healthy, doubtful := r.candidates(members, want, now)
	if len(healthy) == 0 {
		healthy = doubtful
	}
	if len(healthy) == 0 {
		r.counters.noTarget.Inc()
		return candidate{}, false, ErrNoTarget
	}
	r.setPaces(healthy, want.Priority, now)
	markFailing(healthy)
	picked, freeSlotOnly, ok := r.choose(r.withoutEjected(healthy))
	if !ok {
		r.counters.allFull.Inc()
		return candidate{}, false, ErrAllFull
	}
	return picked, freeSlotOnly, nil
}

// candidate is a target that may take a call, with its weighed load.
type candidate struct {
	member membership.Member
	score  float64
	// pace is the time that the target takes relative to others.
	pace  float64
	share float64
	// failing is the share of requests that the target failed of late.
	failing float64
	ejected bool
	// full is set when the target has just refused a call of the rank.
	full bool
}

// candidates returns the targets in contact, and those out of contact or that
// refused work as leaving.
func (r *Router) candidates(members []membership.Member, want Request, now time.Time) (healthy, doubtful []candidate) {
	healthy = make([]candidate, 0, len(members))
	for _, member := range members {
		if want.Exclude[member.Host] || !takesWork(member) {
			continue
		}
		one := r.weigh(member, want, now)
		if member.Reachability == membership.Reachable && !r.leaving(member, now) {
			healthy = append(healthy, one)
		} else {
			doubtful = append(doubtful, one)
		}
	}
	return healthy, doubtful
}

// leaving reports whether a host refused work as leaving.
func (r *Router) leaving(member membership.Member, now time.Time) bool {
	known, found := r.hosts[member.Host]
	return found && known.leaving(member, now)
}

// takesWork reports whether the target's daemon says it takes new calls.
func takesWork(member membership.Member) bool {
	if member.State != membership.Alive {
		return false
	}
	return member.TargetState == membership.Cold || member.TargetState == membership.Ready
}

// weigh rates one target. A score of 1 means that all its slots are busy.
func (r *Router) weigh(member membership.Member, want Request, now time.Time) candidate {
	service := want.Service
	share := startShare(member, service, now)
	slots := float64(slotsOf(member, service))
	known, found := r.hosts[member.Host]
	if !found {
		return candidate{member: member, share: share}
	}
	return candidate{
		member:  member,
		score:   known.load(now) / (slots * share),
		share:   share,
		failing: known.failing.present(now, want.Repeatable),
		ejected: now.Before(known.ejectedUntil),
		full:    known.full(want.Priority, now),
	}
}

// defaultSlots stands for the slots of a target that nobody knows.
const defaultSlots = 1

func slotsOf(member membership.Member, service *publish.Service) int {
	switch {
	case member.Slots > 0:
		return member.Slots
	case service.Slots > 0:
		return service.Slots
	default:
		return defaultSlots
	}
}
