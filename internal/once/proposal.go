package once

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// firstGrantLead is how far before now a grant begins when the chain ended
// long ago. Keys of the time between get no home: they are old by now, and a
// grant that reached back to them would only make the chain longer.
const firstGrantLead = time.Second

// NextGrant extends the chain to reach ahead of now, with the members that
// take work now as homes. It returns nil when the chain reaches that far.
func NextGrant(grants Grants, view *membership.View, now time.Time, reach time.Duration) *Grant {
	until := now.Add(reach).UnixMilli()
	from := now.Add(-firstGrantLead).UnixMilli()
	if end := grants.End(); end > now.Add(-KeyWindow).UnixMilli() {
		from = end
	}
	if until <= from {
		return nil
	}
	return grants.compact(&Grant{FromMs: from, UntilMs: until, Services: homesOf(view)})
}

// NextAddition gives homes to the services that have targets now and no home
// somewhere between now and the end of the chain, such as a service that was
// published after the last grant. It returns nil when there is none.
func NextAddition(grants Grants, view *membership.View, now time.Time) *Grant {
	from := now.Add(-firstGrantLead).UnixMilli()
	if grants.End() <= now.UnixMilli() {
		return nil
	}
	var lacking []*ServiceHomes
	for _, entry := range homesOf(view) {
		if grants.lacks(entry.GetService(), from) {
			lacking = append(lacking, entry)
		}
	}
	if len(lacking) == 0 {
		return nil
	}
	return &Grant{FromMs: from, UntilMs: grants.End(), Services: lacking, Additions: true}
}

// homesOf lists the homes of every service.
func homesOf(view *membership.View) []*ServiceHomes {
	services := map[string]*ServiceHomes{}
	for service, members := range view.ByService {
		if hosts := homes(members); service != "" && len(hosts) > 0 {
			services[service] = &ServiceHomes{Service: service, Hosts: hosts}
		}
	}
	return inOrder(services)
}

// homes returns the hosts that take work. When none is reachable loss of
// contact is not taken as death, and all that took work are homes.
func homes(members []membership.Member) []string {
	reachable := selectHosts(members, func(m membership.Member) bool {
		return takesWork(m) && m.Reachability != membership.Unreachable
	})
	if len(reachable) > 0 {
		return reachable
	}
	return selectHosts(members, takesWork)
}

func takesWork(m membership.Member) bool {
	working := m.TargetState == membership.Ready || m.TargetState == membership.Cold
	return m.State == membership.Alive && working
}

func selectHosts(members []membership.Member, keep func(membership.Member) bool) []string {
	var hosts []string
	for _, member := range members {
		if keep(member) {
			hosts = append(hosts, member.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// rankOf is the place of a host in the order of those that may extend a chain
// ending at a time: 0 goes first.
func rankOf(host string, view *membership.View, end int64) int {
	own := proposerScore(host, end)
	rank := 0
	for _, member := range view.Members {
		if member.Host == host || member.State != membership.Alive || member.Reachability != membership.Reachable {
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
