package route

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// spillScore is the score of the better local choice at which targets of
	// other zones are looked at.
	spillScore = 0.8
	// spillMargin is how much lower a remote score must be.
	spillMargin = 0.2
	// spareScore is the score below which a target has slots to spare.
	spareScore = 0.5
	// minStartShare is the share of a target that has just started.
	minStartShare = 0.1
	// coldSamples bounds the tries to find a choice other than a cold target.
	coldSamples = 4
)

// choose takes the better of two random targets of the own zone, or of two of
// other zones when the own zone is loaded and they are clearly less so.
func (r *Router) choose(candidates []candidate) candidate {
	local, remote := splitByZone(candidates, r.self.Zone)
	if len(local) == 0 {
		r.counters.remote.Inc()
		return r.better(remote)
	}
	near := r.better(local)
	if len(remote) == 0 || near.score < spillScore {
		r.counters.local.Inc()
		return near
	}
	far := r.better(remote)
	if far.score+spillMargin < near.score {
		r.counters.spilled.Inc()
		return far
	}
	r.counters.local.Inc()
	return near
}

func splitByZone(candidates []candidate, zone string) (local, remote []candidate) {
	for _, one := range candidates {
		if one.member.Zone == zone {
			local = append(local, one)
		} else {
			remote = append(remote, one)
		}
	}
	return local, remote
}

// better returns the less loaded of two random choices.
func (r *Router) better(candidates []candidate) candidate {
	first := r.sample(candidates)
	second := r.sample(candidates)
	if candidates[second].score < candidates[first].score {
		return candidates[second]
	}
	return candidates[first]
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
	share := float64(now.Sub(member.Since)) / float64(service.SlowStart)
	return min(max(share, minStartShare), 1)
}
