package route

import (
	"slices"
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Splits distributes the calls of each route over its services by smooth weighted
// round robin, so that the weights also hold over short runs of calls.
type Splits struct {
	mu     sync.Mutex
	routes map[string]*split
}

// split is the round-robin state of one route.
type split struct {
	shares []publish.Share
	// current holds the current weight of each share.
	current []int
}

// NewSplits returns the splits of routes that have had no calls.
func NewSplits() *Splits { return &Splits{routes: make(map[string]*split)} }

// Pick returns the full name of the service for the next call of a route.
func (s *Splits) Pick(route *publish.Route) string {
	if len(route.Split) <= 1 {
		return route.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[route.Name]
	if state == nil || !slices.Equal(state.shares, route.Split) {
		state = &split{shares: route.Split, current: make([]int, len(route.Split))}
		s.routes[route.Name] = state
	}
	return state.shares[state.next()].Service
}

// next returns the index of the share with the highest current weight.
func (s *split) next() int {
	total, best := 0, 0
	for i, share := range s.shares {
		s.current[i] += share.Weight
		total += share.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= total
	return best
}
