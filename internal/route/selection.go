package route

import (
	"container/list"
	"time"
)

// selection is what a call may choose from: the best tier that has targets besides
// those that the call excludes.
type selection struct {
	router  *Router
	tier    *tierIndex
	request Request
	now     time.Time
	// excluded counts the targets of the tier that the request excludes.
	excluded excludedCounts
	// withEjected is set when so many targets are ejected that ejection is suspended.
	withEjected bool
	// sizes is the number of targets that can be chosen, by locality.
	sizes [localityCount]int
}

// excludedCounts counts the excluded targets of one tier.
type excludedCounts struct {
	count, ejected, full int
	// open and ejectedOpen count those that are not full, by locality.
	open, ejectedOpen [localityCount]int
}

// newSelection returns what a request may choose from in a tier, and whether that has
// any target.
func (r *Router) newSelection(ix *serviceIndex, class *classIndex, tier tier, request Request, now time.Time) (selection, bool) {
	s := selection{router: r, tier: &class.tiers[tier], request: request, now: now}
	s.excluded = ix.countExcluded(class, tier, request.Exclude)
	count := s.tier.count - s.excluded.count
	if count == 0 {
		return s, false
	}
	ejected := s.tier.ejectedCount - s.excluded.ejected
	s.withEjected = float64(ejected) > maxEjectedFraction*float64(count)
	for l := range localityCount {
		s.sizes[l] = len(s.tier.open[l]) - s.excluded.open[l]
		if s.withEjected {
			s.sizes[l] += len(s.tier.ejected[l]) - s.excluded.ejectedOpen[l]
		}
	}
	return s, true
}

func (ix *serviceIndex) countExcluded(class *classIndex, tier tier, exclude map[string]bool) (counts excludedCounts) {
	for host, excluded := range exclude {
		t := ix.targets[host]
		if !excluded || t == nil || !t.places[class.id].placed || t.tier != tier {
			continue
		}
		p := &t.places[class.id]
		counts.count++
		if p.ejected {
			counts.ejected++
		}
		switch {
		case p.full:
			counts.full++
		case p.ejected:
			counts.ejectedOpen[t.locality]++
		default:
			counts.open[t.locality]++
		}
	}
	return counts
}

// anyNotFull reports whether a target is not full, ejected or not.
func (s *selection) anyNotFull() bool {
	return s.tier.count-s.excluded.count > s.tier.refused.Len()-s.excluded.full
}

// empty reports whether all targets that can be chosen are full.
func (s *selection) empty() bool {
	return s.sizes[sameZone]+s.sizes[sameRegion]+s.sizes[otherRegion] == 0
}

// leastCost returns the cheapest of placement.samples random targets of a locality
// that has any.
func (s *selection) leastCost(l locality) candidate {
	best := s.draw(l)
	for range s.router.placement.samples - 1 {
		if other := s.draw(l); other.cheaper(best) {
			best = other
		}
	}
	return best
}

// draw returns a random target. Targets in slow start are drawn in proportion to
// their weight.
func (s *selection) draw(l locality) candidate {
	var drawn candidate
	for range maxSlowStartDraws {
		drawn = s.router.newCandidate(s.drawTarget(l), s.request, s.now)
		if drawn.weight >= 1 || s.router.rand.Float64() < drawn.weight {
			break
		}
	}
	return drawn
}

// drawTarget returns a random target that is not excluded.
func (s *selection) drawTarget(l locality) *target {
	open, ejected := s.tier.open[l], []*target(nil)
	if s.withEjected {
		ejected = s.tier.ejected[l]
	}
	count := len(open) + len(ejected)
	for number := s.router.rand.IntN(count); ; number = (number + 1) % count {
		t := targetAt(open, ejected, number)
		if !s.request.Exclude[t.member.Host] {
			return t
		}
	}
}

// targetAt returns an element of two slices as if they were one.
func targetAt(first, second []*target, number int) *target {
	if number < len(first) {
		return first[number]
	}
	return second[number-len(first)]
}

// allFull returns the error for a selection whose targets have all refused calls.
func (s *selection) allFull() *AllFullError {
	oldest, latest := s.tier.refused.Front(), s.tier.refused.Back()
	for oldest != nil && s.excludes(oldest) {
		oldest = oldest.Next()
	}
	for latest != nil && s.excludes(latest) {
		latest = latest.Prev()
	}
	if oldest == nil || latest == nil {
		return &AllFullError{}
	}
	return &AllFullError{
		Targets:  s.tier.refused.Len() - s.excluded.full,
		Host:     latest.Value.(*refusal).target.member.Host,
		Latest:   s.now.Sub(latest.Value.(*refusal).at),
		Earliest: s.now.Sub(oldest.Value.(*refusal).at),
	}
}

func (s *selection) excludes(element *list.Element) bool {
	return s.request.Exclude[element.Value.(*refusal).target.member.Host]
}
