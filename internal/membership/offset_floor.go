package membership

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// maxFloorPeers bounds the number of peers asked concurrently.
	maxFloorPeers = 8
	// floorRetryInterval is the time between two attempts to find a peer that
	// answers.
	floorRetryInterval = 200 * time.Millisecond
)

// floorAnswer is the answer of one peer.
type floorAnswer struct {
	floor    uint64
	answered bool
}

// QueryOffsetFloor asks peers for the highest configuration offset that they
// saw applied on this host or have applied themselves, and returns it with the
// number of peers that answered. It asks the seeds, learns from them which
// daemons observe this host, and asks these. While no peer answers it retries
// until ctx ends. It returns at once if there are no seeds.
func (m *Membership) QueryOffsetFloor(ctx context.Context) (offset uint64, answered int) {
	if len(m.seedPeers()) == 0 {
		return 0, 0
	}
	for {
		offset, answered = m.queryAllFloors(ctx)
		if answered > 0 || !wait.For(ctx, floorRetryInterval) {
			return offset, answered
		}
	}
}

// queryAllFloors asks the seeds and then the observers of this host.
func (m *Membership) queryAllFloors(ctx context.Context) (offset uint64, answered int) {
	asked := make(map[string]bool)
	for _, peers := range []func() []desiredPeer{m.seedPeers, m.observers} {
		var group []desiredPeer
		for _, candidate := range peers() {
			if !asked[candidate.address] {
				asked[candidate.address] = true
				group = append(group, candidate)
			}
		}
		floor, count := m.queryFloors(ctx, group)
		offset = max(offset, floor)
		answered += count
	}
	return offset, answered
}

// seedPeers returns up to maxFloorPeers seeds as peers to ask.
func (m *Membership) seedPeers() []desiredPeer {
	var peers []desiredPeer
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range m.seeds() {
		if address != m.options.Self.ControlAddress {
			peers = append(peers, desiredPeer{address: address, role: seedRole})
		}
	}
	return peers[:min(maxFloorPeers, len(peers))]
}

// observers returns up to maxFloorPeers members of the zone that dial this
// host or that it dials.
func (m *Membership) observers() []desiredPeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.options.Self.Host
	own := liveZones(m.table.rows, m.reported.hosts).zoneOf(m.options.Self).members
	near := append(ringNeighbours(self, own), ringObservers(self, own)...)
	var peers []desiredPeer
	for _, member := range near {
		if member.Host != self && len(peers) < maxFloorPeers {
			peers = append(peers, desiredPeer{address: member.ControlAddress, host: member.Host})
		}
	}
	return peers
}

// queryFloors asks peers concurrently. It returns the highest offset and the
// number of peers that answered.
func (m *Membership) queryFloors(ctx context.Context, peers []desiredPeer) (offset uint64, answered int) {
	answers := pool.NewWithResults[floorAnswer]()
	for _, candidate := range peers {
		answers.Go(func() floorAnswer { return m.queryPeerFloor(ctx, candidate) })
	}
	for _, answer := range answers.Wait() {
		if answer.answered {
			offset = max(offset, answer.floor)
			answered++
		}
	}
	return offset, answered
}

// queryPeerFloor exchanges heartbeats with one peer until neither side has
// more to send.
func (m *Membership) queryPeerFloor(ctx context.Context, candidate desiredPeer) floorAnswer {
	conn, err := m.dial(ctx, candidate.host, candidate.address)
	if err != nil {
		m.log.WithError(err).Debugf("failed to query a peer for the offset floor")
		return floorAnswer{}
	}
	defer conn.Close()
	n := &neighbour{desiredPeer: candidate}
	client := NewDRPCMembershipClient(conn)
	return m.exchangeUntilComplete(ctx, client, conn.Peer, n)
}

func (m *Membership) exchangeUntilComplete(ctx context.Context, client DRPCMembershipClient, remote peer.Identity, n *neighbour) floorAnswer {
	var result floorAnswer
	for {
		more, err := m.sendHeartbeat(ctx, client, remote, n, !result.answered)
		if err != nil {
			return result
		}
		m.mu.Lock()
		floor := max(m.offsetFloors[m.options.Self.Host], m.contacts[remote.Host].offset)
		result = floorAnswer{floor: floor, answered: true}
		m.mu.Unlock()
		if !more {
			return result
		}
	}
}
