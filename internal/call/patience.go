package call

import (
	"slices"
	"sync"
	"time"
)

// patienceSamples is how many calls of a route tell how long its callers wait.
const patienceSamples = 64

// freshShare is the place, among the sorted times that callers gave, of the time
// of a first attempt. Callers that were refused come back with less.
const freshShare = 0.75

// patiences learns from the time that callers give how long ago they made their
// first attempt: a caller that comes back after a refusal has less left.
type patiences struct {
	mu     sync.Mutex
	routes map[string]*patienceRing
}

// patienceRing holds the newest times given by callers of one route.
type patienceRing struct {
	given  [patienceSamples]time.Duration
	count  int
	fresh  time.Duration
	sorted [patienceSamples]time.Duration
}

func newPatiences() *patiences { return &patiences{routes: make(map[string]*patienceRing)} }

// waited notes the time that a caller of a route gave and returns how long ago
// its first attempt was made, as far as that can be told.
func (p *patiences) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ring := p.routes[route]
	if ring == nil {
		ring = &patienceRing{}
		p.routes[route] = ring
	}
	return max(ring.note(left)-left, 0)
}

// note adds a sample and returns the time that first attempts are given.
func (r *patienceRing) note(left time.Duration) time.Duration {
	r.given[r.count%patienceSamples] = left
	r.count++
	known := min(r.count, patienceSamples)
	if r.count <= patienceSamples || r.count%(patienceSamples/4) == 0 {
		sorted := r.sorted[:copy(r.sorted[:], r.given[:known])]
		slices.Sort(sorted)
		r.fresh = sorted[int(freshShare*float64(known-1))]
	}
	return r.fresh
}
