package membership

import (
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const (
	// unreachableRetention is how long entries of unreachable hosts are kept.
	unreachableRetention = 24 * time.Hour
	// leftRetention is how long entries of hosts that left are kept.
	leftRetention = time.Hour
	// tombstoneRetention is how long tombstones and offset floors of dropped
	// hosts are kept.
	tombstoneRetention = 48 * time.Hour
	// contactRetention is how long a contact is kept after the last heartbeat.
	contactRetention = 10 * time.Minute
)

// maintain applies the changes that depend on time alone.
func (m *Membership) maintain(now time.Time) {
	m.mu.Lock()
	m.updateZoneMonitors(now)
	idle := m.removeIdleInbound(now)
	m.dropExpired(now)
	rebuild := m.contactOverrides || m.isStale(now) != m.view.current.Load().Stale
	m.mu.Unlock()
	if rebuild {
		m.requestRebuild()
	}
	m.updateSelf(nil)
	m.refute(now)
	closeInbound(idle)
}

// updateZoneMonitors detects which of the zones and regions that this bridge
// monitors became silent or were heard again.
func (m *Membership) updateZoneMonitors(now time.Time) {
	if len(m.zoneMonitors) == 0 {
		return
	}
	heard := m.lastHeardByZone()
	for name, monitor := range m.zoneMonitors {
		limit := zoneSilenceTimeout
		if strings.HasPrefix(name, regionKey("")) {
			limit = regionSilenceTimeout
		}
		since := now.Sub(heard[name])
		silent := since >= limit && (monitor.silent || now.Sub(monitor.startedAt) >= limit)
		if silent != monitor.silent {
			monitor.silent = silent
			m.recordZoneReachability(name, silent)
		}
	}
}

// lastHeardByZone returns when this daemon last heard directly from a host of
// each zone and region.
func (m *Membership) lastHeardByZone() map[string]time.Time {
	heard := make(map[string]time.Time)
	for host, c := range m.contacts {
		r, ok := m.table.rows[host]
		if !ok {
			continue
		}
		for _, name := range []string{r.zone, regionKey(r.region)} {
			if c.lastHeard.After(heard[name]) {
				heard[name] = c.lastHeard
			}
		}
	}
	return heard
}

func (m *Membership) recordZoneReachability(name string, silent bool) {
	event := timeline.Event{Kind: timeline.Recovered, Detail: name}
	if silent {
		event.Kind = timeline.Unreachable
	}
	m.log.Infof("contact with zone or region %s: %s", name, event.Kind)
	m.options.Events.Record(event)
}

// dropExpired drops entries, tombstones and contacts whose retention has ended.
func (m *Membership) dropExpired(now time.Time) {
	for host, r := range m.table.rows {
		retention := unreachableRetention
		if r.state == Left {
			retention = leftRetention
		}
		if !r.goneSince.IsZero() && now.Sub(r.goneSince) >= retention {
			m.table.drop(host, now)
			delete(m.failedPeers, host)
			m.viewChanges.all = true
			m.requestRebuild()
		}
	}
	for host, dropped := range m.table.tombstones {
		if now.Sub(dropped.droppedAt) >= tombstoneRetention {
			delete(m.table.tombstones, host)
			delete(m.offsetFloors, host)
		}
	}
	for host, c := range m.contacts {
		if now.Sub(c.lastHeard) >= contactRetention {
			delete(m.contacts, host)
		}
	}
}

// setReachability sets the reachability of a member and when it was last
// heard. Direct contact within directContactWindow overrides reports of others.
func (m *Membership) setReachability(member *Member, now time.Time) {
	failed, hasFailed := m.failedPeers[member.Host]
	if hasFailed {
		member.Reachability = failed.reachability
	}
	if m.reported.hosts[member.Host] || m.silentZones[member.Zone] || m.silentZones[regionKey(member.Region)] {
		member.Reachability = Unreachable
	}
	if c, ok := m.contacts[member.Host]; ok {
		if c.lastHeard.After(member.LastHeard) {
			member.LastHeard = c.lastHeard
		}
	}
	if member.Reachability != Reachable && !hasFailed && m.heardWithin(member.Host, directContactWindow, now) {
		member.Reachability = Reachable
		m.contactOverrides = true
	}
}

// updateGoneSince sets or clears the time since when a host has been gone.
func (m *Membership) updateGoneSince(r *row, member Member, now time.Time) {
	gone := member.State == Left || member.Reachability == Unreachable
	switch {
	case !gone:
		r.goneSince = time.Time{}
	case r.goneSince.IsZero():
		r.goneSince = now
	}
}
