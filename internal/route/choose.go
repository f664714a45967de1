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
// loaded, then another region, but there only a target with a free slot. It
// reports false when all candidates are full.
func (r *Router) chooseByLocality(candidates []candidate) (chosen candidate, freeSlotOnly, ok bool) {
	open := excludeFull(candidates)
	if len(open) == 0 {
		return candidate{}, false, false
	}
	sameZone, sameRegion, otherRegions := r.byLocality(open)
	near, found := r.chooseInRegion(sameZone, sameRegion)
	if !found {
		r.counters.remote.Inc()
		return r.leastCost(otherRegions), false, true
	}
	if len(otherRegions) == 0 || near.weightedUtilization() < crossRegionUtilization {
		return near, false, true
	}
	other := r.leastCost(otherRegions)
	if other.weightedUtilization() < spillUtilization {
		r.counters.spilled.Inc()
		return other, true, true
	}
	return near, false, true
}

// chooseInRegion returns a target of the own zone, or one of another zone of the
// region when the zone is loaded and the other target clearly less so.
func (r *Router) chooseInRegion(sameZone, sameRegion []candidate) (candidate, bool) {
	if len(sameZone) == 0 && len(sameRegion) == 0 {
		return candidate{}, false
	}
	if len(sameZone) == 0 {
		r.counters.remote.Inc()
		return r.leastCost(sameRegion), true
	}
	near := r.leastCost(sameZone)
	if len(sameRegion) == 0 || near.weightedUtilization() < spillUtilization {
		r.counters.local.Inc()
		return near, true
	}
	other := r.leastCost(sameRegion)
	if other.weightedUtilization()+spillMargin < near.weightedUtilization() {
		r.counters.spilled.Inc()
		return other, true
	}
	r.counters.local.Inc()
	return near, true
}

// excludeFull drops the targets that have recently refused calls of this priority.
func excludeFull(candidates []candidate) []candidate {
	open := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.full {
			open = append(open, c)
		}
	}
	return open
}

// byLocality partitions targets into those of the own zone, of other zones of
// the own region and of other regions.
func (r *Router) byLocality(candidates []candidate) (sameZone, sameRegion, otherRegions []candidate) {
	for _, c := range candidates {
		switch {
		case c.member.Zone == r.self.Zone:
			sameZone = append(sameZone, c)
		case c.member.Region == r.self.Region:
			sameRegion = append(sameRegion, c)
		default:
			otherRegions = append(otherRegions, c)
		}
	}
	return sameZone, sameRegion, otherRegions
}

// leastCost returns the cheapest of leastCostSamples random candidates.
func (r *Router) leastCost(candidates []candidate) candidate {
	best := candidates[r.drawIndex(candidates)]
	for range leastCostSamples - 1 {
		if other := candidates[r.drawIndex(candidates)]; other.cheaper(best) {
			best = other
		}
	}
	return best
}

// drawIndex returns a random index. Targets in slow start are drawn in
// proportion to their weight.
func (r *Router) drawIndex(candidates []candidate) int {
	index := 0
	for range maxSlowStartDraws {
		index = r.rand.IntN(len(candidates))
		weight := candidates[index].weight
		if weight >= 1 || r.rand.Float64() < weight {
			return index
		}
	}
	return index
}

// slowStartWeight grows from minSlowStartWeight to 1 while a cold target warms up.
func slowStartWeight(member membership.Member, service *publish.Service, now time.Time) float64 {
	if member.TargetState != membership.Cold || service.SlowStart <= 0 {
		return 1
	}
	weight := float64(now.Sub(member.TargetStateSince)) / float64(service.SlowStart)
	return min(max(weight, minSlowStartWeight), 1)
}
