package route

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// spillScore is the burden of the local choice at which targets of other zones
	// are looked at, and below which a target of another region has a free slot.
	spillScore = 1.0
	// spillMargin is how much lower a remote burden must be.
	spillMargin = 0.2
	// farScore is the burden of the near choice at which targets of other regions
	// are looked at: calls would have to wait for a slot.
	farScore = 1.0
	// spareScore is the score below which a target has slots to spare.
	spareScore = 0.5
	// minStartShare is the share of a target that has just started.
	minStartShare = 0.1
	// choiceSamples is how many random targets are compared for a choice.
	choiceSamples = 3
	// coldSamples bounds the tries to find a choice other than a cold target.
	coldSamples = 4
)

// choose takes a target of the own zone, of the own region when the zone is
// loaded, and of another region only for a slot that is free there. It reports
// false when all of them are full.
func (r *Router) choose(candidates []candidate) (picked candidate, freeSlotOnly, ok bool) {
	open := withoutFull(candidates)
	if len(open) == 0 {
		return candidate{}, false, false
	}
	zone, region, far := r.byDistance(open)
	near, found := r.nearest(zone, region)
	if !found {
		r.counters.remote.Inc()
		return r.better(far), false, true
	}
	if len(far) == 0 || near.burden() < farScore {
		return near, false, true
	}
	other := r.better(far)
	if other.burden() < spillScore {
		r.counters.spilled.Inc()
		return other, true, true
	}
	return near, false, true
}

// nearest takes a target of the own zone, or of the region when the zone is loaded
// and the region clearly less so.
func (r *Router) nearest(zone, region []candidate) (candidate, bool) {
	if len(zone) == 0 && len(region) == 0 {
		return candidate{}, false
	}
	if len(zone) == 0 {
		r.counters.remote.Inc()
		return r.better(region), true
	}
	near := r.better(zone)
	if len(region) == 0 || near.burden() < spillScore {
		r.counters.local.Inc()
		return near, true
	}
	other := r.better(region)
	if other.burden()+spillMargin < near.burden() {
		r.counters.spilled.Inc()
		return other, true
	}
	r.counters.local.Inc()
	return near, true
}

// withoutFull drops the targets that have just refused calls of the rank.
func withoutFull(candidates []candidate) []candidate {
	open := make([]candidate, 0, len(candidates))
	for _, one := range candidates {
		if !one.full {
			open = append(open, one)
		}
	}
	return open
}

// byDistance divides targets into those of the own zone, of other zones of the
// region and of other regions.
func (r *Router) byDistance(candidates []candidate) (zone, region, far []candidate) {
	for _, one := range candidates {
		switch {
		case one.member.Zone == r.self.Zone:
			zone = append(zone, one)
		case one.member.Region == r.self.Region:
			region = append(region, one)
		default:
			far = append(far, one)
		}
	}
	return zone, region, far
}

// better returns the one of a few random choices that costs least.
func (r *Router) better(candidates []candidate) candidate {
	best := candidates[r.sample(candidates)]
	for range choiceSamples - 1 {
		if other := candidates[r.sample(candidates)]; other.cheaper(best) {
			best = other
		}
	}
	return best
}

// sample returns a random index. Cold targets come up by their share.
func (r *Router) sample(candidates []candidate) int {
	index := 0
	for range coldSamples {
		index = r.rand.IntN(len(candidates))
		share := candidates[index].share
		if share >= 1 || r.rand.Float64() < share {
			return index
		}
	}
	return index
}

// startShare is the share of its full work that a target gets. It grows from
// minStartShare to 1 while a cold target warms up.
func startShare(member membership.Member, service *publish.Service, now time.Time) float64 {
	if member.TargetState != membership.Cold || service.SlowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(member.TargetStateSince)) / float64(service.SlowStart)
	return min(max(share, minStartShare), 1)
}
