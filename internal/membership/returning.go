package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// returnTime is how long a host that is gone is dialled, so that a process
	// that starts again there hears of the others without the log.
	returnTime = 20 * time.Second
	// returnCallers is how many daemons dial one host that is gone.
	returnCallers = 3
	// maxReturning bounds the hosts that are dialled so, the latest gone first.
	maxReturning = 32
	// maxReturnRedial bounds the time between two dials of such a host.
	maxReturnRedial = 500 * time.Millisecond
)

// wantReturning adds the hosts that have been gone for a short time and that
// this daemon is chosen to dial.
func (m *Membership) wantReturning(wanted map[string]wantedPeer, zones zoneMap) {
	gone := m.goneLately(time.Now())
	if len(gone) == 0 {
		return
	}
	var living []Member
	for _, zone := range zones {
		living = append(living, zone.members...)
	}
	for _, host := range gone {
		callers := callersOf(host.Host, living)
		if slices.ContainsFunc(callers, func(c Member) bool { return c.Host == m.options.Self.Host }) {
			m.want(wanted, host, returnRole)
		}
	}
}

// goneLately returns the hosts that left or are unreachable, the latest first.
func (m *Membership) goneLately(now time.Time) []Member {
	var rows []*row
	for _, r := range m.table.rows {
		if !r.gone.IsZero() && now.Sub(r.gone) < returnTime {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int { return cmp.Or(b.gone.Compare(a.gone), cmp.Compare(a.host, b.host)) })
	var gone []Member
	for _, r := range rows[:min(maxReturning, len(rows))] {
		gone = append(gone, r.member())
	}
	return gone
}

// callersOf returns the living members that dial a host that is gone, chosen by
// rendezvous hash.
func callersOf(host string, living []Member) []Member {
	sorted := byHash(living, func(m Member) string { return host + "\x00" + m.Host })
	return sorted[:min(returnCallers, len(sorted))]
}
