package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// returnTime is how long a host that is gone is dialled, so that a process
	// that starts again there hears of the others without the log.
	goneRedialWindow = 20 * time.Second
	// returnCallers is how many daemons dial one host that is gone.
	diallersPerGoneHost = 3
	// maxReturning bounds the hosts that are dialled so, the latest gone first.
	maxGoneHosts = 32
	// maxReturnRedial bounds the time between two dials of such a host.
	maxGoneRedialInterval = 500 * time.Millisecond
)

// wantReturning adds the hosts that have been gone for a short time and that
// this daemon is chosen to dial.
func (m *Membership) addGoneHosts(desired map[string]desiredPeer, zones zoneMap) {
	gone := m.recentlyGone(time.Now())
	if len(gone) == 0 {
		return
	}
	var live []Member
	for _, zone := range zones {
		live = append(live, zone.members...)
	}
	for _, host := range gone {
		diallers := diallersOf(host.Host, live)
		if slices.ContainsFunc(diallers, func(c Member) bool { return c.Host == m.options.Self.Host }) {
			m.addMember(desired, host, goneRole)
		}
	}
}

// goneLately returns the hosts that left or are unreachable, the latest first.
func (m *Membership) recentlyGone(now time.Time) []Member {
	var rows []*row
	for _, r := range m.table.rows {
		if !r.goneSince.IsZero() && now.Sub(r.goneSince) < goneRedialWindow {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int { return cmp.Or(b.goneSince.Compare(a.goneSince), cmp.Compare(a.host, b.host)) })
	var gone []Member
	for _, r := range rows[:min(maxGoneHosts, len(rows))] {
		gone = append(gone, r.member())
	}
	return gone
}

// callersOf returns the living members that dial a host that is gone, chosen by
// rendezvous hash.
func diallersOf(host string, live []Member) []Member {
	sorted := byHash(live, func(m Member) string { return host + "\x00" + m.Host })
	return sorted[:min(diallersPerGoneHost, len(sorted))]
}
