package route

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// spillUtilization is the weighted utilization of the local choice from which
	// targets of other zones are considered, and below which a target of another
	// region has a free slot.
	spillUtilization = 1.0
	// spillMargin is how much lower the weighted utilization of a target in
	// another zone must be.
	spillMargin = 0.2
	// crossRegionUtilization is the weighted utilization of the choice in the own
	// region from which targets of other regions are considered: calls would queue.
	crossRegionUtilization = 1.0
	// spareUtilization is the utilization below which a target has spare slots.
	spareUtilization = 0.5
	// minSlowStartWeight is the weight of a target that has just started.
	minSlowStartWeight = 0.1
	// leastCostSamples is how many randomly drawn targets are compared.
	leastCostSamples = 3
	// maxSlowStartDraws bounds the draws that skip targets in slow start.
	maxSlowStartDraws = 4
)

// chooseByLocality prefers the own zone, then the own region when the zone is
// loaded, then another region, but there only a target with a free slot. The
// selection must not be empty.
func (s *selection) chooseByLocality() (chosen candidate, freeSlotOnly bool) {
	near, found := s.chooseInRegion()
	if !found {
		s.router.counters.remote.Inc()
		return s.leastCost(otherRegion), false
	}
	if s.sizes[otherRegion] == 0 || s.request.NearOnly || near.weightedUtilization() < crossRegionUtilization {
		return near, false
	}
	other := s.leastCost(otherRegion)
	if other.weightedUtilization() < spillUtilization {
		s.router.counters.spilled.Inc()
		return other, true
	}
	return near, false
}

// chooseInRegion returns a target of the own zone, or one of another zone of the
// region when the zone is loaded and the other target clearly less so.
func (s *selection) chooseInRegion() (candidate, bool) {
	counters := &s.router.counters
	if s.sizes[sameZone] == 0 && s.sizes[sameRegion] == 0 {
		return candidate{}, false
	}
	if s.sizes[sameZone] == 0 {
		counters.remote.Inc()
		return s.leastCost(sameRegion), true
	}
	near := s.leastCost(sameZone)
	if s.sizes[sameRegion] == 0 || near.weightedUtilization() < spillUtilization {
		counters.local.Inc()
		return near, true
	}
	other := s.leastCost(sameRegion)
	if other.weightedUtilization()+spillMargin < near.weightedUtilization() {
		counters.spilled.Inc()
		return other, true
	}
	counters.local.Inc()
	return near, true
}

// slowStartWeight grows from minSlowStartWeight to 1 while a cold target warms up.
func slowStartWeight(member *membership.Member, service *publish.Service, now time.Time) float64 {
	if member.TargetState != membership.Cold || service.SlowStart <= 0 {
		return 1
	}
	weight := float64(now.Sub(member.TargetStateSince)) / float64(service.SlowStart)
	return min(max(weight, minSlowStartWeight), 1)
}
