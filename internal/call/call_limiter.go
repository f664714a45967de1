package call

import "sync"

// serviceDivisor sets the share of the limit, 1/serviceDivisor, that the calls of
// one service may use.
const serviceDivisor = 2

// callLimiter limits the calls in progress so that callers of one service cannot
// use up the capacity of a daemon.
type callLimiter struct {
	limit int

	mu       sync.Mutex
	total    int
	services map[string]int
}

func newCallLimiter(limit int) *callLimiter {
	return &callLimiter{limit: limit, services: make(map[string]int)}
}

// acquire reports whether another call of a service is allowed, and counts it.
func (l *callLimiter) acquire(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.limit || l.services[service] >= max(l.limit/serviceDivisor, 1) {
		return false
	}
	l.total++
	l.services[service]++
	return true
}

// release ends a call that acquire counted.
func (l *callLimiter) release(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.services[service]--
	if l.services[service] == 0 {
		delete(l.services, service)
	}
}
