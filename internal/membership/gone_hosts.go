package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goneRedialWindow is how long a host that is gone is dialled, so that a
	// process restarted there learns of the other hosts without the log.
	goneRedialWindow = 20 * time.Second
	// diallersPerGoneHost is the number of daemons that dial one gone host.
	diallersPerGoneHost = 3
	// maxGoneHosts bounds the number of gone hosts that are dialled; the most
	// recently gone take precedence.
	maxGoneHosts = 32
	// maxGoneRedialInterval is the upper limit of the back-off between two dials
	// of a gone host.
	maxGoneRedialInterval = 500 * time.Millisecond
)

// addGoneHosts adds the recently gone hosts that this daemon is selected to dial.
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
		if slices.ContainsFunc(diallers, func(dialler Member) bool { return dialler.Host == m.options.Self.Host }) {
			m.addMember(desired, host, goneRole)
		}
	}
}

// recentlyGone returns the hosts that left or became unreachable within
// goneRedialWindow, the most recent first.
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

// diallersOf returns the live members that dial a gone host, selected by
// rendezvous hashing.
func diallersOf(host string, live []Member) []Member {
	sorted := byHash(live, func(m Member) string { return host + "\x00" + m.Host })
	return sorted[:min(diallersPerGoneHost, len(sorted))]
}
