package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// simulation is a fleet of daemons that place calls on the targets beside them.
type simulation struct {
	clock   time.Time
	members []membership.Member
	routers []*Router
	queues  []simulatedTarget
	random  *rand.Rand
	ends    callEnds
	waits   []time.Duration
	remote  int
	choose  func(*Router, Request) (membership.Member, error)
}

// simulatedTarget has slots that are free again at a time each.
type simulatedTarget struct{ freeAt [modelSlots]time.Time }

type callEnd struct {
	at     time.Time
	router *Router
	target int
	took   time.Duration
}

type callEnds []callEnd

func (e callEnds) Len() int           { return len(e) }
func (e callEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e callEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *callEnds) Push(x any)        { *e = append(*e, x.(callEnd)) }
func (e *callEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simulatedTargets = 63
	simulatedCalls   = 60_000
	simulatedWork    = 100 * time.Millisecond
	// simulatedLoad is the fraction of the slots that the calls keep busy.
	simulatedLoad = 0.85
)

func newSimulation(choose func(*Router, Request) (membership.Member, error)) *simulation {
	s := &simulation{clock: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(7, 7)), choose: choose}
	s.queues = make([]simulatedTarget, simulatedTargets)
	for i := range simulatedTargets {
		zone := i % 9
		s.members = append(s.members, membership.Member{
			Host: fmt.Sprint(i), Zone: fmt.Sprint("zone-", zone), Region: fmt.Sprint("region-", zone/3), Service: modelService.Name,
			Slots: modelSlots, State: membership.Alive, TargetState: membership.Ready,
		})
	}
	d := &modelDirectory{}
	d.set(s.members)
	for i, member := range s.members {
		s.routers = append(s.routers, New(Options{
			Directory: d, Self: peer.Identity{Host: member.Host, Zone: member.Zone, Region: member.Region},
			Now: func() time.Time { return s.clock }, Rand: rand.New(rand.NewPCG(uint64(i), 3)),
		}))
	}
	return s
}

// run makes calls at random times from random daemons, more of them in two zones.
func (s *simulation) run(t *testing.T) {
	pause := float64(simulatedWork) / (simulatedLoad * simulatedTargets * modelSlots)
	for range simulatedCalls {
		s.advance(s.clock.Add(time.Duration(s.random.ExpFloat64() * pause)))
		from := s.random.IntN(len(s.routers))
		if zone := from % 9; zone > 1 && s.random.IntN(6) == 0 {
			from = from - zone + s.random.IntN(2)
		}
		s.call(t, s.routers[from])
	}
}

func (s *simulation) advance(to time.Time) {
	for len(s.ends) > 0 && !s.ends[0].at.After(to) {
		end := heap.Pop(&s.ends).(callEnd)
		s.clock = end.at
		busy := 0
		for _, free := range s.queues[end.target].freeAt {
			if free.After(s.clock) {
				busy++
			}
		}
		end.router.Done(s.members[end.target].Host, Result{Outcome: Success, Load: &Load{Busy: busy, Slots: modelSlots, ServiceTime: end.took}})
	}
	s.clock = to
}

func (s *simulation) call(t *testing.T, r *Router) {
	member, err := s.choose(r, Request{Service: modelService})
	assert.NilError(t, err)
	number := slices.IndexFunc(s.members, func(m membership.Member) bool { return m.Host == member.Host })
	r.Begin(member.Host)
	slot := 0
	free := &s.queues[number].freeAt
	for i := range free {
		if free[i].Before(free[slot]) {
			slot = i
		}
	}
	begin := s.clock
	if free[slot].After(begin) {
		begin = free[slot]
	}
	took := time.Duration(s.random.ExpFloat64() * float64(simulatedWork))
	free[slot] = begin.Add(took)
	heap.Push(&s.ends, callEnd{at: free[slot], router: r, target: number, took: took})
	s.waits = append(s.waits, begin.Sub(s.clock))
	if member.Region != r.self.Region {
		s.remote++
	}
}

func (s *simulation) percentile(fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s.waits))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// In a simulated fleet with uneven load, the waits for a slot and the calls to other
// regions are no worse than those of the model.
func TestSimulatedWaitsMatchModel(t *testing.T) {
	index := newSimulation(func(r *Router, q Request) (membership.Member, error) { return r.Pick(q.Service, nil) })
	index.run(t)
	old := newSimulation(func(r *Router, q Request) (membership.Member, error) {
		return model{r}.choose(r.directory.View().ByService.At(q.Service.Name), q)
	})
	old.run(t)
	t.Logf("index: waits of 90 and 99 in 100 %s and %s, %d of %d calls to other regions", index.percentile(0.9), index.percentile(0.99), index.remote, simulatedCalls)
	t.Logf("model: waits of 90 and 99 in 100 %s and %s, %d of %d calls to other regions", old.percentile(0.9), old.percentile(0.99), old.remote, simulatedCalls)
	const margin = 1.1
	assert.Assert(t, float64(index.percentile(0.99)) <= margin*float64(old.percentile(0.99)))
	assert.Assert(t, float64(index.remote) <= margin*float64(old.remote)+simulatedCalls/100)
}
