package call

import "sync"

// serviceShare is the part of all calls in progress that one service may hold.
const serviceShare = 2

// shares bounds the calls in progress so that callers of one service cannot
// take all of a daemon.
type shares struct {
	limit int

	mu       sync.Mutex
	total    int
	services map[string]int
}

func newShares(limit int) *shares {
	return &shares{limit: limit, services: make(map[string]int)}
}

// take counts a call of a service and reports whether it may go on.
func (s *shares) take(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total >= s.limit || s.services[service] >= max(s.limit/serviceShare, 1) {
		return false
	}
	s.total++
	s.services[service]++
	return true
}

// give ends a call that take counted.
func (s *shares) give(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	s.services[service]--
	if s.services[service] == 0 {
		delete(s.services, service)
	}
}
