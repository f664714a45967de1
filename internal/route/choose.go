package route

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/pace"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// spillUtilization is the weighted utilization of the local choice from which
	// targets of other zones are considered, and below which a target of another
	// region has a free slot.
	spillUtilization = 1.0
	// foundSpillUtilization is spillUtilization where targets report the concurrency
	// limit found for them. With the lower value more calls cross between zones and no
	// fewer are late.
	foundSpillUtilization = 1.25
	// spillMargin is how much lower the weighted utilization of a target in
	// another zone must be.
	spillMargin = 0.2
	// crossRegionUtilization is the weighted utilization of the choice in the own
	// region from which targets of other regions are considered: calls would queue. They
	// never are before those of other zones.
	crossRegionUtilization = 1.0
	// spareUtilization is the utilization below which a target has spare slots.
	spareUtilization = 0.5
	// minSlowStartWeight is the weight of a target that has just started.
	minSlowStartWeight = 0.1
	// leastCostSamples is how many randomly drawn targets are compared.
	leastCostSamples = 3
	// foundCostSamples is leastCostSamples where targets report the limit found.
	foundCostSamples = 4
	// maxSlowStartDraws bounds the draws that skip targets in slow start.
	maxSlowStartDraws = 4
)

// placement holds how targets are compared.
type placement struct {
	// samples is how many randomly drawn targets are compared.
	samples int
	// addedBaseCost is added to baseCost.
	addedBaseCost float64
	// spillUtilization is as the constant of that name.
	spillUtilization float64
}

// placementFor returns how targets are compared, given whether they report the
// concurrency limit found for them. The service time then counts more against the load,
// as for a time of completion. The figures are in docs/design/pace.md.
func placementFor(adaptive bool) placement {
	if !adaptive {
		return placement{samples: leastCostSamples, spillUtilization: spillUtilization}
	}
	return placement{samples: foundCostSamples, addedBaseCost: addedBaseCost, spillUtilization: foundSpillUtilization}
}

// chooseByLocality prefers the own zone, then the own region when the zone is
// loaded, then another region, but there only a target with a free slot. The
// selection must not be empty.
func (s *selection) chooseByLocality() (chosen candidate, freeSlotOnly bool) {
	near, found := s.chooseInRegion()
	if !found {
		s.router.counters.remote.Inc()
		return s.leastCost(otherRegion), false
	}
	if s.sizes[otherRegion] == 0 || s.request.NearOnly || near.weightedUtilization() < max(crossRegionUtilization, s.router.placement.spillUtilization) {
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
	if s.sizes[sameRegion] == 0 || near.weightedUtilization() < s.router.placement.spillUtilization {
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

// startWeight is the weight of a target that may have just started. Where targets report
// the concurrency limit found for them, a recent report replaces the ramp by time, and
// until the first one the target counts for as much as it begins with. The stats are nil
// for a host without any.
func (r *Router) startWeight(member *membership.Member, stats *hostStats, service *publish.Service, now time.Time) float64 {
	weight := slowStartWeight(member, service, now)
	if !r.adaptive || weight == 1 {
		return weight
	}
	if stats != nil && stats.reportedSlots(now) {
		return 1
	}
	slots := slotCount(member, service)
	return max(weight, float64(pace.InitialLimit(slots))/float64(slots))
}

// slowStartWeight grows from minSlowStartWeight to 1 while a cold target warms up.
func slowStartWeight(member *membership.Member, service *publish.Service, now time.Time) float64 {
	if member.TargetState != membership.Cold || service.SlowStart <= 0 {
		return 1
	}
	weight := float64(now.Sub(member.TargetStateSince)) / float64(service.SlowStart)
	return min(max(weight, minSlowStartWeight), 1)
}
