package once

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// firstGrantLead is how far before now a grant begins when no chain holds now.
const firstGrantLead = time.Second

// NextGrant extends the chain to reach ahead of now, with the members that
// serve now as homes. It returns nil when the chain reaches that far already.
func NextGrant(grants Grants, view *membership.View, now time.Time, reach time.Duration) *Grant {
	until := now.Add(reach).UnixMilli()
	from := max(grants.End(), now.Add(-firstGrantLead).UnixMilli())
	if until <= from {
		return nil
	}
	return &Grant{FromMs: from, UntilMs: until, Services: homesOf(view)}
}

// homesOf lists the homes of every service, sorted by service and host.
func homesOf(view *membership.View) []*ServiceHomes {
	services := make([]*ServiceHomes, 0, len(view.ByService))
	for service, members := range view.ByService {
		if homes := serviceHomes(members); service != "" && len(homes) > 0 {
			services = append(services, &ServiceHomes{Service: service, Homes: homes})
		}
	}
	slices.SortFunc(services, func(a, b *ServiceHomes) int {
		return cmp.Compare(a.GetService(), b.GetService())
	})
	return services
}

// serviceHomes returns the members that take work. When none is reachable
// loss of contact is not taken as death, and all that took work are homes.
func serviceHomes(members []membership.Member) []*Home {
	reachable := selectHomes(members, func(m membership.Member) bool {
		return takesWork(m) && m.Reach != membership.Unreachable
	})
	if len(reachable) > 0 {
		return reachable
	}
	return selectHomes(members, takesWork)
}

func takesWork(m membership.Member) bool {
	working := m.TargetState == membership.Ready || m.TargetState == membership.Cold
	return m.State == membership.Alive && working
}

func selectHomes(members []membership.Member, keep func(membership.Member) bool) []*Home {
	var homes []*Home
	for _, member := range members {
		if keep(member) {
			homes = append(homes, &Home{Host: member.Host, Incarnation: member.Position.Incarnation})
		}
	}
	slices.SortFunc(homes, func(a, b *Home) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return homes
}

// rankOf is the place of a host in the order of those that may extend a chain
// ending at a time: 0 goes first.
func rankOf(host string, view *membership.View, end int64) int {
	own := proposerScore(host, end)
	rank := 0
	for _, member := range view.Members {
		if member.Host == host || member.State != membership.Alive || member.Reach != membership.Reachable {
			continue
		}
		if proposerScore(member.Host, end) > own {
			rank++
		}
	}
	return rank
}

func proposerScore(host string, end int64) uint64 {
	return xxhash.Sum64String(host + "/" + strconv.FormatInt(end, 10))
}
