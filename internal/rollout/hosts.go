package rollout

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// hostIndex holds what the view gives for one order. A change of the view updates only the
// parts of the members that it changed, so that it costs the same in a large mesh.
type hostIndex struct {
	order publish.Rollout

	mu   sync.Mutex
	view *membership.View
	// known counts the hosts of each part that are alive, in reach or not.
	known [membership.PartCount]int
	// candidates holds for each part the hosts that rendezvous hashing chooses first and
	// second, empty if it has none that may be the home. home and watcher are those of all.
	candidates    [membership.PartCount]candidates
	home, watcher string
	reach         Reach
	targets       []membership.Member
}

// candidates are the first and the second choice among some hosts, empty without one.
type candidates struct{ first, second string }

// watcherAt returns the host that watches the order beside the home, the second choice of
// rendezvous hashing: it becomes the home when that is gone. It reports false if there is
// none.
func (x *hostIndex) watcherAt(view *membership.View) (membership.Member, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.view != view {
		x.update(view)
	}
	if x.watcher == "" {
		return membership.Member{}, false
	}
	return view.Members.At(x.watcher), true
}

// at returns the home and the reach in a view. The home is the host that rendezvous hashing
// chooses among those in reach. Hosts of the new targets are left out, since they appear
// while the rollout runs and may be taken away again.
func (x *hostIndex) at(view *membership.View) (home membership.Member, reach Reach) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.view != view {
		x.update(view)
	}
	if x.home == "" {
		return view.Self, x.reach
	}
	return view.Members.At(x.home), x.reach
}

func (x *hostIndex) update(view *membership.View) {
	var before membership.Map[membership.Member]
	if x.view != nil {
		before = x.view.Members
	}
	copied, changed := false, false
	for number, members := range view.Members.ChangedParts(before) {
		if !copied {
			// Callers hold the slice of the former reach.
			copied = true
			x.reach.Hosts = append(make([][]string, 0, membership.PartCount), x.reach.Hosts...)[:membership.PartCount]
		}
		chosen := x.updatePart(number, members)
		changed = changed || chosen != x.candidates[number]
		x.candidates[number] = chosen
	}
	if changed {
		var hosts []string
		for _, part := range x.candidates {
			hosts = append(hosts, part.first, part.second)
		}
		all := chooseCandidates(slices.DeleteFunc(hosts, func(host string) bool { return host == "" }), x.order.Service)
		x.home, x.watcher = all.first, all.second
	}
	if targets := view.ByService.At(x.order.Service); x.view == nil || !sameMembers(x.targets, targets) {
		counts := countVersions(targets, x.order.Version)
		x.targets, x.reach.OldTargets, x.reach.NewTargets = targets, counts.old, counts.new
	}
	x.view = view
}

// updatePart takes one part of the members and returns the candidates among them.
func (x *hostIndex) updatePart(number int, members map[string]membership.Member) candidates {
	var hosts, homes []string
	known := 0
	for name, member := range members {
		if member.State == membership.Alive {
			known++
		}
		if !isAlive(&member) {
			continue
		}
		hosts = append(hosts, name)
		if member.Service != x.order.Service || member.TargetVersion != x.order.Version {
			homes = append(homes, name)
		}
	}
	x.reach.Reached += len(hosts) - len(x.reach.Hosts[number])
	x.reach.Known += known - x.known[number]
	x.reach.Hosts[number], x.known[number] = hosts, known
	return chooseCandidates(homes, x.order.Service)
}

// chooseCandidates returns the hosts that rendezvous hashing chooses first and second.
func chooseCandidates(hosts []string, service string) candidates {
	first := firstByHash(hosts, service)
	rest := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == first })
	return candidates{first: first, second: firstByHash(rest, service)}
}

// firstByHash returns the host that rendezvous hashing chooses, empty if there is none.
func firstByHash(hosts []string, service string) string {
	if len(hosts) == 0 {
		return ""
	}
	slices.Sort(hosts)
	return rendezvous.New(hosts, xxhash.Sum64String).Lookup(service)
}

// home returns the home of the order.
func (s *service) home() membership.Member {
	home, _ := s.hosts.at(s.rollouts.options.Directory.View())
	return home
}

// watcher returns the host that watches the order, false if there is none.
func (s *service) watcher() (membership.Member, bool) {
	return s.hosts.watcherAt(s.rollouts.options.Directory.View())
}

// reach returns what this daemon reaches.
func (s *service) reach() Reach {
	_, reach := s.hosts.at(s.rollouts.options.Directory.View())
	return reach
}
