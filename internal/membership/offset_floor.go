package membership

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// floorPeers bounds the peers asked for the floor at one time.
	maxFloorPeers = 8
	// floorRetry is the time between two attempts to find a peer that answers.
	floorRetryInterval = 200 * time.Millisecond
)

// floorAnswer is what one peer answered.
type floorAnswer struct {
	floor    uint64
	answered bool
}

// QueryOffsetFloor asks peers for the highest offset that they saw in force on this host
// or have in force themselves, and returns it with the number of peers that
// answered. It asks the seeds, learns from them who observed this host, and
// asks these. While nobody answers it tries again until ctx ends. It returns
// at once when there are no seeds.
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

// askAllFloors asks the seeds and then the observers of this host.
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

// seedPeers returns the seeds as peers.
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

// observers returns the members of the zone that dial this host or that it dials.
func (m *Membership) observers() []desiredPeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.options.Self.Host
	own := liveZones(m.table.rows, m.reportedUnreachable).zoneOf(m.options.Self).members
	near := append(ringNeighbours(self, own), ringObservers(self, own)...)
	var peers []desiredPeer
	for _, member := range near {
		if member.Host != self && len(peers) < maxFloorPeers {
			peers = append(peers, desiredPeer{address: member.ControlAddress, host: member.Host})
		}
	}
	return peers
}

// askFloor asks some peers at once.
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

// askPeerFloor exchanges heartbeats with one peer until it has no more entries.
func (m *Membership) queryPeerFloor(ctx context.Context, candidate desiredPeer) floorAnswer {
	conn, err := m.dial(ctx, candidate.host, candidate.address)
	if err != nil {
		m.log.WithError(err).Debugf("ask floor")
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
