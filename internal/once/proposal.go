package once

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// grantLookback is how far before now a grant begins when the chain ended long
// ago. Keys from the gap get no home: they are old by now, and a grant that
// covered them would only make the chain longer.
const grantLookback = time.Second

// NextGrant returns the grant that extends the chain to the horizon, with the
// members that accept calls now as homes, or nil when the chain extends that far.
func NextGrant(grants Grants, view *membership.View, now time.Time, horizon time.Duration) *Grant {
	until := now.Add(horizon).UnixMilli()
	from := now.Add(-grantLookback).UnixMilli()
	if end := grants.End(); end > now.Add(-KeyTTL).UnixMilli() {
		from = end
	}
	if until <= from {
		return nil
	}
	return grants.compact(&Grant{FromMs: from, UntilMs: until, Services: serviceHomes(view)})
}

// NextAddition returns an addition with homes for the services that have targets
// now and miss a home between now and the end of the chain, for example a service
// that was published after the last grant, or nil when there are none.
func NextAddition(grants Grants, view *membership.View, now time.Time) *Grant {
	from := now.Add(-grantLookback).UnixMilli()
	if grants.End() <= now.UnixMilli() {
		return nil
	}
	var missing []*ServiceHomes
	for _, entry := range serviceHomes(view) {
		if grants.missesHome(entry.GetService(), from) {
			missing = append(missing, entry)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return &Grant{FromMs: from, UntilMs: grants.End(), Services: missing, Additions: true}
}

// serviceHomes lists the homes of every service.
func serviceHomes(view *membership.View) []*ServiceHomes {
	services := map[string]*ServiceHomes{}
	for service, members := range view.ByService.All() {
		if hosts := homeHosts(members); service != "" && len(hosts) > 0 {
			services[service] = &ServiceHomes{Service: service, Hosts: hosts}
		}
	}
	return sortedServices(services)
}

// homeHosts returns the hosts that accept calls, without unreachable ones. When all
// are unreachable it returns them all: lost contact alone does not prove a failure.
func homeHosts(members []membership.Member) []string {
	reachable := selectHosts(members, func(m membership.Member) bool {
		return acceptsCalls(m) && m.Reachability != membership.Unreachable
	})
	if len(reachable) > 0 {
		return reachable
	}
	return selectHosts(members, acceptsCalls)
}

func acceptsCalls(m membership.Member) bool {
	serving := m.TargetState == membership.Ready || m.TargetState == membership.Cold
	return m.State == membership.Alive && serving
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

// proposerRank returns the rank of a host among those that may extend a chain with
// this end, by rendezvous hashing: 0 proposes first.
func proposerRank(host string, view *membership.View, end int64) int {
	own := proposerScore(host, end)
	rank := 0
	for _, member := range view.Members.All() {
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
