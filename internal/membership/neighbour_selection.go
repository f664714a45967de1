package membership

import (
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

const (
	// extraNeighboursPerSuspect is the number of further members observed for
	// each suspect.
	extraNeighboursPerSuspect = 2
	// maxExtraNeighbours bounds the number of further members observed.
	maxExtraNeighbours = 32
)

// zoneMonitor is a bridge's record of its contact with another zone, or with
// another region as a whole.
type zoneMonitor struct {
	startedAt time.Time
	// failedAttempts counts the failed attempts to reach peers there.
	failedAttempts int
	silent         bool
}

// desiredPeers returns the peers to dial, by control address.
func (m *Membership) desiredPeers() map[string]desiredPeer {
	desired := make(map[string]desiredPeer)
	zones := liveZones(m.table.rows, m.reported.hosts)
	own := zones.zoneOf(m.options.Self)
	for _, member := range ringNeighbours(m.options.Self.Host, own.members) {
		m.addMember(desired, member, zoneRole)
	}
	for _, member := range ringSuccessors(m.options.Self.Host, own.members, m.extraNeighbours()) {
		m.addMember(desired, member, zoneRole)
	}
	for host := range m.failedPeers {
		if r, ok := m.table.rows[host]; ok && r.state != Left {
			m.addMember(desired, r.member(), zoneRole)
		}
	}
	rank, isBridge := bridgeRank(m.options.Self.Host, own.members)
	if isBridge {
		m.addBridgePeers(desired, rank, own, zones)
	} else {
		clear(m.zoneMonitors)
	}
	m.addGoneHosts(desired, zones)
	m.addSeeds(desired, isBridge)
	delete(desired, m.options.Self.ControlAddress)
	return desired
}

// extraNeighbours returns the number of further members to observe. It grows
// with the number of suspects, so that the failure of many hosts at once is
// detected in few rounds.
func (m *Membership) extraNeighbours() int {
	suspects := 0
	for _, failed := range m.failedPeers {
		if failed.reachability == Suspect {
			suspects++
		}
	}
	return min(extraNeighboursPerSuspect*suspects, maxExtraNeighbours)
}

// addMember adds a member, unless it is this host, has no control address or
// was added before.
func (m *Membership) addMember(desired map[string]desiredPeer, member Member, role role) {
	if member.Host == m.options.Self.Host || member.ControlAddress == "" {
		return
	}
	if _, ok := desired[member.ControlAddress]; ok {
		return
	}
	desired[member.ControlAddress] = desiredPeer{
		address: member.ControlAddress,
		host:    member.Host,
		scope:   m.scopeOf(member),
		role:    role,
	}
}

func (m *Membership) scopeOf(member Member) peer.Scope {
	remote := peer.Identity{Zone: member.Zone, Region: member.Region}
	return peer.ScopeOf(m.options.Identity, remote)
}

// addBridgePeers adds the peers in other zones and regions that a bridge of
// the given rank dials, and keeps a monitor for each of those zones and regions.
func (m *Membership) addBridgePeers(desired map[string]desiredPeer, rank int, own *zoneMembers, zones zoneMap) {
	monitored := make(map[string]bool)
	for name, zone := range zones {
		if zone.region == own.region && name != own.zone {
			monitored[name] = true
			m.addMember(desired, bridgeAt(zone, rank, m.monitorZone(name).failedAttempts), bridgeRole)
		}
	}
	near := linkZones(zones.zonesIn(own.zone, own.region, m.silentZones))
	link := slices.IndexFunc(near, func(z *zoneMembers) bool { return z.zone == own.zone })
	for _, region := range zones.regions() {
		if region == own.region || link < 0 {
			continue
		}
		key := regionKey(region)
		monitored[key] = true
		far := zones.zonesIn("", region, nil)
		m.addMember(desired, linkAt(far, link, rank, m.monitorZone(key).failedAttempts), bridgeRole)
	}
	for name := range m.zoneMonitors {
		if !monitored[name] {
			delete(m.zoneMonitors, name)
		}
	}
}

// monitorZone returns the monitor of a zone or region. A new one takes over
// the silence found by the previous bridges.
func (m *Membership) monitorZone(name string) *zoneMonitor {
	monitor, ok := m.zoneMonitors[name]
	if !ok {
		monitor = &zoneMonitor{startedAt: time.Now(), silent: m.silentZones[name]}
		m.zoneMonitors[name] = monitor
	}
	return monitor
}

// addSeeds adds the seeds while no other peer answers. A bridge always adds
// the peers that no entry names, so that parts of the mesh that never had
// contact, or dropped each other's entries, merge.
func (m *Membership) addSeeds(desired map[string]desiredPeer, isBridge bool) {
	connected := false
	for _, n := range m.neighbours {
		connected = connected || n.connected && n.role.isPermanent()
	}
	switch {
	case !connected:
		for _, address := range m.seeds() {
			m.addAddress(desired, address, seedRole)
		}
	case isBridge:
		m.addUnknown(desired)
	}
}

// addAddress adds a peer of which only the control address is known, unless it
// was added before.
func (m *Membership) addAddress(desired map[string]desiredPeer, address string, role role) {
	if _, ok := desired[address]; !ok {
		desired[address] = desiredPeer{address: address, role: role}
	}
}

// inRecentContact reports whether this daemon exchanged a heartbeat with a
// host within contactTimeout.
func (m *Membership) inRecentContact(host string, now time.Time) bool {
	return m.heardWithin(host, contactTimeout, now)
}

func (m *Membership) heardWithin(host string, limit time.Duration, now time.Time) bool {
	c, ok := m.contacts[host]
	return ok && now.Sub(c.lastHeard) < limit
}
