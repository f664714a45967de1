package membership

import (
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

const (
	// extraPerSuspect is the number of further members observed for each suspect.
	extraPerSuspect = 2
	// maxExtraNeighbours bounds the further members observed.
	maxExtraNeighbours = 32
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
	own := zones.of(m.options.Self)
	for _, member := range ringNeighbours(m.options.Self.Host, own.members) {
		m.want(wanted, member, zoneRole)
	}
	for _, member := range ringSuccessors(m.options.Self.Host, own.members, m.extraNeighbours()) {
		m.want(wanted, member, zoneRole)
	}
	for host := range m.lost {
		if r, ok := m.table.rows[host]; ok && r.state != Left {
			m.want(wanted, r.member(), zoneRole)
		}
	}
	rank, isBridge := bridgeRank(m.options.Self.Host, own.members)
	if isBridge {
		m.wantBridgePeers(wanted, rank, own, zones)
	} else {
		clear(m.watches)
	}
	m.wantReturning(wanted, zones)
	m.wantSeeds(wanted, isBridge)
	delete(wanted, m.options.Self.ControlAddress)
	return wanted
}

// extraNeighbours is the number of further members to observe. It grows with
// the suspects, so that the death of many is found in few rounds.
func (m *Membership) extraNeighbours() int {
	suspects := 0
	for _, lost := range m.lost {
		if lost.reach == Suspect {
			suspects++
		}
	}
	return min(extraPerSuspect*suspects, maxExtraNeighbours)
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

// wantBridgePeers adds the peers in other zones that a bridge of some rank
// dials, and keeps the watches over those zones.
func (m *Membership) wantBridgePeers(wanted map[string]wantedPeer, rank int, own *zoneMembers, zones zoneMap) {
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

// wantSeeds adds the seeds while no other peer answers. A bridge adds those
// that no entry names at any time, so that parts of the mesh that never met or
// forgot each other come together.
func (m *Membership) wantSeeds(wanted map[string]wantedPeer, isBridge bool) {
	connected := false
	for _, n := range m.neighbours {
		connected = connected || n.connected && n.role != seedRole && n.role != returnRole
	}
	if connected && !isBridge {
		return
	}
	addresses := m.seeds()
	if connected {
		addresses = m.strangers()
	}
	for _, address := range addresses {
		if _, ok := wanted[address]; !ok {
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
