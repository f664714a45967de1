package route

import (
	"slices"
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Splits divides the calls of each route between its services. It is smooth
// weighted round robin, so that the shares hold over short spans of calls.
type Splits struct {
	mu     sync.Mutex
	routes map[string]*split
}

// split is the state of one route.
type split struct {
	shares []publish.Share
	// credit is what each share has saved up.
	credit []int
}

// NewSplits returns splits of routes that have seen no calls.
func NewSplits() *Splits { return &Splits{routes: make(map[string]*split)} }

// Pick returns the full name of the service for the next call of a route.
func (s *Splits) Pick(route *publish.Route) string {
	if len(route.Split) <= 1 {
		return route.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.routes[route.Name]
	if known == nil || !slices.Equal(known.shares, route.Split) {
		known = &split{shares: route.Split, credit: make([]int, len(route.Split))}
		s.routes[route.Name] = known
	}
	return known.shares[known.next()].Service
}

// next returns the index of the share with the most credit.
func (s *split) next() int {
	total, best := 0, 0
	for i, share := range s.shares {
		s.credit[i] += share.Weight
		total += share.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return best
}
