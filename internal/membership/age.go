package membership

import (
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const (
	// unreachableRetention is how long hosts without contact are kept.
	unreachableRetention = 24 * time.Hour
	// leftRetention is how long hosts that left in order are kept.
	leftRetention = time.Hour
	// tombstoneRetention is how long positions and floors of dropped hosts are kept.
	tombstoneRetention = 48 * time.Hour
	// contactRetention is how long the state of a contact is kept.
	contactRetention = 10 * time.Minute
)

// age moves on what depends on time alone.
func (m *Membership) age(now time.Time) {
	m.mu.Lock()
	m.checkSilence(now)
	m.closeSilent(now)
	m.forget(now)
	stale := m.isStale(m.view.current.Load().Members, now)
	refresh := m.overridden || stale != m.view.current.Load().Stale
	m.mu.Unlock()
	if refresh {
		m.askRebuild()
	}
	m.rewrite(nil)
	m.dispute(now)
}

// checkSilence updates the watches of a bridge over other zones.
func (m *Membership) checkSilence(now time.Time) {
	if len(m.watches) == 0 {
		return
	}
	heard := m.heardByZone()
	for name, watch := range m.watches {
		limit := silenceTime
		if strings.HasPrefix(name, regionMark("")) {
			limit = farSilenceTime
		}
		since := now.Sub(heard[name])
		silent := since >= limit && (watch.silent || now.Sub(watch.began) >= limit)
		if silent != watch.silent {
			watch.silent = silent
			m.recordSilence(name, silent)
		}
	}
}

// heardByZone returns when each zone and region was heard directly last.
func (m *Membership) heardByZone() map[string]time.Time {
	heard := make(map[string]time.Time)
	for host, c := range m.contacts {
		r, ok := m.table.rows[host]
		if !ok {
			continue
		}
		for _, name := range []string{r.zone, regionMark(r.region)} {
			if c.heard.After(heard[name]) {
				heard[name] = c.heard
			}
		}
	}
	return heard
}

func (m *Membership) recordSilence(name string, silent bool) {
	event := timeline.Event{Kind: timeline.Recovered, Detail: name}
	if silent {
		event.Kind = timeline.Unreachable
	}
	m.log.Infof("%s is %s", name, event.Kind)
	m.options.Events.Record(event)
}

// forget drops entries of hosts that have been gone for long.
func (m *Membership) forget(now time.Time) {
	for host, r := range m.table.rows {
		retention := unreachableRetention
		if r.state == Left {
			retention = leftRetention
		}
		if !r.gone.IsZero() && now.Sub(r.gone) >= retention {
			m.table.drop(host, now)
			delete(m.lost, host)
			m.askRebuild()
		}
	}
	for host, stone := range m.table.forgotten {
		if now.Sub(stone.dropped) >= tombstoneRetention {
			delete(m.table.forgotten, host)
			delete(m.floors, host)
		}
	}
	for host, c := range m.contacts {
		if now.Sub(c.heard) >= contactRetention {
			delete(m.contacts, host)
		}
	}
}

// publishLocked builds the view anew. The caller holds the mutex.
func (m *Membership) publishLocked(now time.Time) {
	own := m.options.Self
	m.listed = listedUnreachable(m.table.rows)
	delete(m.listed, own.Host)
	zones := livingZones(m.table.rows, m.listed)
	m.silent = silentZones(own.Zone, own.Region, zones, m.table.rows)
	m.overridden = false
	members := make(map[string]Member, len(m.table.rows))
	holders := addressHolders(m.table.rows)
	for host, r := range m.table.rows {
		member := r.member()
		member.AppliedOffset = m.floors[host]
		if host != own.Host {
			m.describeContact(&member, now)
		}
		if holders[r.callsAddress] > r.position.Incarnation {
			member.Reachability = Unreachable
		}
		m.noteGone(r, member, now)
		members[host] = member
	}
	view := newView(own.Host, members)
	view.Stale = m.isStale(members, now)
	m.view.set(view)
}

// addressHolders returns the newest incarnation that names each address for
// calls. A machine that takes over an address takes the place of the one before,
// whose entry still names it.
func addressHolders(rows map[string]*row) map[string]uint64 {
	holders := make(map[string]uint64, len(rows))
	for _, r := range rows {
		if r.callsAddress != "" && r.state != Left {
			holders[r.callsAddress] = max(holders[r.callsAddress], r.position.Incarnation)
		}
	}
	return holders
}

// describeContact sets what this daemon knows of its contact with a member.
func (m *Membership) describeContact(member *Member, now time.Time) {
	lost, isLost := m.lost[member.Host]
	if isLost {
		member.Reachability = lost.reach
	}
	if m.listed[member.Host] || m.silent[member.Zone] || m.silent[regionMark(member.Region)] {
		member.Reachability = Unreachable
	}
	if c, ok := m.contacts[member.Host]; ok {
		if c.heard.After(member.LastHeard) {
			member.LastHeard = c.heard
		}
	}
	if member.Reachability != Reachable && !isLost && m.heardWithin(member.Host, directTime, now) {
		member.Reachability = Reachable
		m.overridden = true
	}
}

// noteGone keeps the time since when a host has been gone.
func (m *Membership) noteGone(r *row, member Member, now time.Time) {
	gone := member.State == Left || member.Reachability == Unreachable
	switch {
	case !gone:
		r.gone = time.Time{}
	case r.gone.IsZero():
		r.gone = now
	}
}

// isStale reports whether this daemon has reason to doubt its own links: it
// talks with nobody, or most hosts are unreachable.
func (m *Membership) isStale(members map[string]Member, now time.Time) bool {
	others, unreachable := 0, 0
	for host, member := range members {
		if host == m.options.Self.Host || member.State == Left {
			continue
		}
		others++
		if member.Reachability == Unreachable {
			unreachable++
		}
	}
	if others == 0 {
		return false
	}
	if 2*unreachable > others {
		return true
	}
	for host := range m.contacts {
		if m.inContact(host, now) {
			return false
		}
	}
	return now.Sub(m.started) >= contactTime
}
