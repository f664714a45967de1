package membership

import (
	"slices"
	"time"
)

// rebuildDivisor is the part of the rows, as 1/rebuildDivisor, from which on the whole
// view is built again in place of the changed members.
const rebuildDivisor = 8

// viewChanges is what the next view has to take up.
type viewChanges struct {
	// hosts are those whose members have changed, all is set if any may have.
	hosts map[string]bool
	all   bool
	// silentKnown is set while any daemon reports a silent zone. Which members say so for
	// their zone then depends on all members of it.
	silentKnown bool
	// addresses holds the newest claim to each address for calls, shared the addresses
	// that more than one host claims.
	addresses map[string]addressClaim
	shared    map[string]bool
	// others and unreachable count the members besides this daemon that have not left,
	// and those of them that are unreachable.
	others, unreachable int
}

// addressClaim is a host whose entry names an address for calls. The incarnation is 0 if
// the host has left.
type addressClaim struct {
	host        string
	incarnation uint64
}

// noteChange records that the member of a host has changed.
func (c *viewChanges) noteChange(host string) {
	if c.hosts == nil {
		c.hosts = make(map[string]bool)
	}
	c.hosts[host] = true
}

// noteEntry records that a host has a new entry; before is its former one, nil if it
// had none. known are the reports of the current view.
func (c *viewChanges) noteEntry(before, after *entry, known *reports) {
	c.noteChange(after.host)
	if c.silentKnown || len(after.silentZones) > 0 || !known.same(before, after) {
		c.all = true
	}
	if before != nil && before.callsAddress != "" && (c.shared[before.callsAddress] || !c.release(before)) {
		c.all = true
	}
	if !c.claim(after) {
		c.all = true
	}
}

// same reports whether the hosts that are reported as unreachable, besides the one with
// a new entry, stay the same.
func (r *reports) same(before, after *entry) bool {
	if before == nil {
		return len(after.unreachableKeys) == 0
	}
	if len(before.unreachableKeys) == 0 && len(after.unreachableKeys) == 0 {
		return true
	}
	ignored := func(e *entry) bool { return e.state == Left || r.ignored[e.key()] }
	return !ignored(before) && !ignored(after) && slices.Equal(before.unreachableKeys, after.unreachableKeys)
}

// release takes back the claim of an entry, and reports whether no other host has one.
func (c *viewChanges) release(e *entry) bool {
	claim, found := c.addresses[e.callsAddress]
	if !found {
		return true
	}
	if claim.host != e.host {
		return false
	}
	delete(c.addresses, e.callsAddress)
	return true
}

// claim records the claim of an entry, and reports whether no other host has one.
func (c *viewChanges) claim(e *entry) bool {
	if e.callsAddress == "" {
		return true
	}
	if claim, found := c.addresses[e.callsAddress]; found && claim.host != e.host {
		return false
	}
	c.addresses[e.callsAddress] = claimOf(e)
	return true
}

func claimOf(e *entry) addressClaim {
	if e.state == Left {
		return addressClaim{host: e.host}
	}
	return addressClaim{host: e.host, incarnation: e.version.Incarnation}
}

// reset starts anew from all rows.
func (c *viewChanges) reset(rows map[string]*row) {
	*c = viewChanges{addresses: make(map[string]addressClaim, len(rows)), shared: make(map[string]bool)}
	for _, r := range rows {
		c.silentKnown = c.silentKnown || len(r.silentZones) > 0
		if r.callsAddress == "" {
			continue
		}
		known, found := c.addresses[r.callsAddress]
		if found {
			c.shared[r.callsAddress] = true
		}
		if claim := claimOf(&r.entry); !found || claim.incarnation > known.incarnation {
			c.addresses[r.callsAddress] = claim
		}
	}
}

// count adds a member of another host to the counts, or with a weight of -1 takes it
// away.
func (c *viewChanges) count(member *Member, weight int) {
	if member.State == Left {
		return
	}
	c.others += weight
	if member.Reachability == Unreachable {
		c.unreachable += weight
	}
}

// replacedAt reports whether a host with a newer incarnation has taken over the address
// of a row. The entry of the earlier host still names it.
func (c *viewChanges) replacedAt(r *row) bool {
	return c.addresses[r.callsAddress].incarnation > r.version.Incarnation
}

// publishLocked publishes a view with what has changed. The caller holds the mutex.
func (m *Membership) publishLocked(now time.Time) {
	changes := &m.viewChanges
	if changes.all || m.contactOverrides || rebuildDivisor*len(changes.hosts) > len(m.table.rows)+rebuildDivisor {
		m.publishAll(now)
		return
	}
	view := m.view.current.Load()
	for host := range changes.hosts {
		m.updateReport(host)
		view = m.withMember(view, m.table.rows[host], now)
	}
	changes.hosts = nil
	next := *view
	next.Stale = m.isStale(now)
	m.view.set(&next)
}

// updateReport brings up to date whether a host is reported as unreachable. Reports name
// one version of its entry.
func (m *Membership) updateReport(host string) {
	if host == m.options.Self.Host {
		return
	}
	if m.reported.keys[m.table.rows[host].entryKey] {
		m.reported.hosts[host] = true
		return
	}
	delete(m.reported.hosts, host)
}

// withMember returns a view with the member of a row.
func (m *Membership) withMember(view *View, r *row, now time.Time) *View {
	member := m.memberOf(r, now)
	if r.host != m.options.Self.Host {
		if before, known := view.Members.Get(r.host); known {
			m.viewChanges.count(&before, -1)
		}
		m.viewChanges.count(&member, 1)
	}
	return view.with(member)
}

// publishAll publishes a view that is built anew from all rows.
func (m *Membership) publishAll(now time.Time) {
	own := m.options.Self
	m.viewChanges.reset(m.table.rows)
	m.reported = unreachableHosts(m.table.rows)
	delete(m.reported.hosts, own.Host)
	zones := liveZones(m.table.rows, m.reported.hosts)
	m.silentZones = silentZonesFrom(own.Zone, own.Region, zones, m.table.rows)
	m.contactOverrides = false
	members := make(map[string]Member, len(m.table.rows))
	for host, r := range m.table.rows {
		member := m.memberOf(r, now)
		if host != own.Host {
			m.viewChanges.count(&member, 1)
		}
		members[host] = member
	}
	view := newView(own.Host, members)
	view.Stale = m.isStale(now)
	m.view.set(view)
}

// memberOf returns the member of a row as this daemon sees it.
func (m *Membership) memberOf(r *row, now time.Time) Member {
	member := r.member()
	member.AppliedOffset = m.offsetFloors[r.host]
	if r.host != m.options.Self.Host {
		m.setReachability(&member, now)
	}
	if m.viewChanges.replacedAt(r) {
		member.Reachability = Unreachable
	}
	m.updateGoneSince(r, member, now)
	return member
}

// isStale reports whether this daemon's own links are probably at fault: it is
// in contact with no host, or more than half of the others are unreachable.
func (m *Membership) isStale(now time.Time) bool {
	if m.viewChanges.others == 0 {
		return false
	}
	if 2*m.viewChanges.unreachable > m.viewChanges.others {
		return true
	}
	for host := range m.contacts {
		if m.inRecentContact(host, now) {
			return false
		}
	}
	return now.Sub(m.startedAt) >= contactTimeout
}
