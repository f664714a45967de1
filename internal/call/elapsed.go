package call

import (
	"slices"
	"sync"
	"time"
)

// timeoutSamples is the number of recent calls per route from which the timeout of
// first attempts is estimated.
const timeoutSamples = 64

// firstAttemptQuantile is the quantile of the recent timeouts that is taken for
// the timeout of a first attempt. Callers that retry after a refusal give shorter
// ones.
const firstAttemptQuantile = 0.75

// elapsedEstimator estimates from the timeouts that callers give how long ago they
// made their first attempt: a caller that retries after a refusal gives only what
// is left of its timeout.
type elapsedEstimator struct {
	mu     sync.Mutex
	routes map[string]*timeoutRing
}

// timeoutRing holds the most recent timeouts given by callers of one route.
type timeoutRing struct {
	timeouts     [timeoutSamples]time.Duration
	count        int
	firstTimeout time.Duration
	sorted       [timeoutSamples]time.Duration
}

func newElapsedEstimator() *elapsedEstimator {
	return &elapsedEstimator{routes: make(map[string]*timeoutRing)}
}

// estimate records the timeout that a caller of a route gave and returns an
// estimate of the time since its first attempt.
func (e *elapsedEstimator) estimate(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ring := e.routes[route]
	if ring == nil {
		ring = &timeoutRing{}
		e.routes[route] = ring
	}
	return max(ring.add(timeout)-timeout, 0)
}

// add records a timeout and returns the estimated timeout of first attempts.
func (r *timeoutRing) add(timeout time.Duration) time.Duration {
	r.timeouts[r.count%timeoutSamples] = timeout
	r.count++
	known := min(r.count, timeoutSamples)
	if r.count <= timeoutSamples || r.count%(timeoutSamples/4) == 0 {
		sorted := r.sorted[:copy(r.sorted[:], r.timeouts[:known])]
		slices.Sort(sorted)
		r.firstTimeout = sorted[int(firstAttemptQuantile*float64(known-1))]
	}
	return r.firstTimeout
}
