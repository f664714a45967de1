package membership

import (
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// zoneWatch is what a bridge knows of its contact with another zone, or with
// another region as a whole.
type zoneWatch struct {
	began time.Time
	// attempt counts the peers given up since the last contact.
	attempt int
	silent  bool
}

// wantedPeers returns the peers to talk with, by control address.
func (m *Membership) wantedPeers() map[string]wantedPeer {
	wanted := make(map[string]wantedPeer)
	zones := livingZones(m.table.rows, m.listed)
	own := zones[m.options.Self.Zone]
	for _, member := range ringNeighbours(m.options.Self.Host, own.members) {
		m.want(wanted, member, zoneRole)
	}
	for host := range m.lost {
		if r, ok := m.table.rows[host]; ok && r.state != Left {
			m.want(wanted, r.member(), zoneRole)
		}
	}
	m.wantBridgePeers(wanted, own, zones)
	m.wantSeeds(wanted)
	delete(wanted, m.options.Self.ControlAddress)
	return wanted
}

// want adds a member.
func (m *Membership) want(wanted map[string]wantedPeer, member Member, why role) {
	if member.Host == m.options.Self.Host || member.ControlAddress == "" {
		return
	}
	if _, ok := wanted[member.ControlAddress]; ok {
		return
	}
	wanted[member.ControlAddress] = wantedPeer{
		address: member.ControlAddress,
		host:    member.Host,
		scope:   m.scopeOf(member),
		role:    why,
	}
}

func (m *Membership) scopeOf(member Member) peer.Scope {
	remote := peer.Identity{Zone: member.Zone, Region: member.Region}
	return peer.ScopeOf(m.options.Identity, remote)
}

// wantBridgePeers adds the peers in other zones when this daemon is a bridge,
// and keeps the watches over those zones.
func (m *Membership) wantBridgePeers(wanted map[string]wantedPeer, own *zoneMembers, zones zoneMap) {
	rank, ok := bridgeRank(m.options.Self.Host, own.members)
	if !ok && m.aloneInZone(own) {
		rank, ok = 0, true
	}
	if !ok {
		clear(m.watches)
		return
	}
	watched := make(map[string]bool)
	for name, zone := range zones {
		if zone.region == own.region && name != own.zone {
			watched[name] = true
			m.want(wanted, bridgeAt(zone, rank, m.watch(name).attempt), bridgeRole)
		}
	}
	near := linkZones(zones.near(own.zone, own.region, m.silent))
	link := slices.IndexFunc(near, func(z *zoneMembers) bool { return z.zone == own.zone })
	for _, region := range zones.regions() {
		if region == own.region || link < 0 {
			continue
		}
		mark := regionMark(region)
		watched[mark] = true
		far := zones.near("", region, nil)
		m.want(wanted, linkAt(far, link, rank, m.watch(mark).attempt), bridgeRole)
	}
	for name := range m.watches {
		if !watched[name] {
			delete(m.watches, name)
		}
	}
}

// watch returns the watch over a zone or region. A new one takes over what
// the bridges before found.
func (m *Membership) watch(name string) *zoneWatch {
	w, ok := m.watches[name]
	if !ok {
		w = &zoneWatch{began: time.Now(), silent: m.silent[name]}
		m.watches[name] = w
	}
	return w
}

// aloneInZone reports whether this daemon knows others in its zone but talks
// with none of them, as when it returns first.
func (m *Membership) aloneInZone(own *zoneMembers) bool {
	now := time.Now()
	if now.Sub(m.started) < contactTime {
		return false
	}
	for _, member := range own.members {
		if m.inContact(member.Host, now) {
			return false
		}
	}
	return true
}

// wantSeeds adds the seeds while this daemon talks with nobody.
func (m *Membership) wantSeeds(wanted map[string]wantedPeer) {
	now := time.Now()
	connected := false
	for host := range m.contacts {
		connected = connected || m.inContact(host, now)
	}
	for _, address := range m.options.Seeds {
		if _, ok := wanted[address]; ok {
			continue
		}
		if !connected {
			wanted[address] = wantedPeer{address: address, role: seedRole}
		}
	}
}

// inContact reports whether a host was heard directly not long ago.
func (m *Membership) inContact(host string, now time.Time) bool {
	return m.heardWithin(host, contactTime, now)
}

func (m *Membership) heardWithin(host string, limit time.Duration, now time.Time) bool {
	c, ok := m.contacts[host]
	return ok && now.Sub(c.heard) < limit
}
