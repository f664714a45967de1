package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

const (
	// hostsPerHome is how many hosts share one home. At 75 hosts there are three homes,
	// at 1,900 there are 60.
	hostsPerHome = 32
	// forgetHost is how long a host out of reach counts as one that may admit requests.
	// A longer partition gives each part the quota of the hosts that it knows; without an
	// end, hosts that are gone for good would lower all quotas.
	forgetHost = 10 * time.Minute
	// homesKey is the key of the rendezvous hash that ranks the homes.
	homesKey = "quota homes"
)

// Homes selects the homes of workspaces from the hosts that live and can be reached.
type Homes struct {
	selector *rendezvous.Rendezvous
	hosts    []string
	// Known counts the hosts that have not left or been forgotten, Reachable those of
	// them that can be reached.
	Known, Reachable int
	addresses        map[string]string
}

// homeCount returns the number of homes of a mesh.
func homeCount(known int) int { return max(1, (known+hostsPerHome-1)/hostsPerHome) }

// SelectHomes returns the homes in a view of the mesh.
func SelectHomes(view *membership.View, now time.Time) *Homes {
	h := &Homes{addresses: make(map[string]string)}
	type ranked struct {
		host  string
		score uint64
	}
	var candidates []ranked
	for host, member := range view.Members.All() {
		if member.State == membership.Left {
			continue
		}
		if member.Reachability == membership.Unreachable && now.Sub(member.LastHeard) > forgetHost {
			continue
		}
		h.Known++
		if member.Reachability == membership.Unreachable {
			continue
		}
		h.Reachable++
		if member.State == membership.Alive {
			candidates = append(candidates, ranked{host, xxhash.Sum64String(homesKey + host)})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.host, b.host))
	})
	for _, c := range candidates[:min(len(candidates), homeCount(h.Known))] {
		h.hosts = append(h.hosts, c.host)
		h.addresses[c.host] = view.Members.At(c.host).ControlAddress
	}
	slices.Sort(h.hosts)
	if len(h.hosts) > 0 {
		h.selector = rendezvous.New(h.hosts, xxhash.Sum64String)
	}
	return h
}

// Of returns the home of a workspace, empty if no host can be one.
func (h *Homes) Of(workspace string) string {
	if h.selector == nil {
		return ""
	}
	return h.selector.Lookup(workspace)
}

// Address returns the control address of a home.
func (h *Homes) Address(host string) string { return h.addresses[host] }

// equal reports whether both select the same homes at the same addresses.
func (h *Homes) equal(other *Homes) bool {
	if !slices.Equal(h.hosts, other.hosts) {
		return false
	}
	for _, host := range h.hosts {
		if h.addresses[host] != other.addresses[host] {
			return false
		}
	}
	return true
}
