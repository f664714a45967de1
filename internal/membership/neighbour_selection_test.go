package membership

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// TestLastHostOfZoneLeaves selects the peers of a daemon that left as the last
// one of its zone, so that the zone has no live member.
func TestLastHostOfZoneLeaves(t *testing.T) {
	self := Member{Host: "accra-1", Zone: "greater-accra-a", Region: "greater-accra", ControlAddress: "127.0.0.1:1"}
	identity := peer.Identity{Host: self.Host, Zone: self.Zone, Region: self.Region, Incarnation: 1}
	m := New(Options{Self: self, Identity: identity, Dialer: peer.NewDialer(identity, peer.NewTrafficCounter(), nil)})
	m.updateSelf(func(e *entry) { e.state = Left })
	assert.Equal(t, len(m.desiredPeers()), 0)
}

// TestGoneHostOfLogIsNotDialledAgainBeforeOthers has a bridge whose dials all fail.
func TestGoneHostOfLogIsNotDialledAgainBeforeOthers(t *testing.T) {
	const recorded, rounds = 20, 3
	m := newUnconnected("a")
	m.neighbours["b"] = &neighbour{desiredPeer: desiredPeer{address: "b", host: "b", role: zoneRole}, connected: true}
	var hosts []Member
	for i := range recorded {
		host := fmt.Sprintf("gone-%d", i)
		hosts = append(hosts, Member{Host: host, Zone: "z", Region: "r", ControlAddress: host})
	}
	m.hostsFromLog = m.groupByZone(hosts)
	for round := range rounds {
		dialled := make(map[string]bool)
		for range recorded {
			desired := m.desiredPeers()
			assert.Equal(t, len(desired), 1)
			for address, spec := range desired {
				assert.Equal(t, m.failedDials[address], round)
				dialled[address] = true
				m.handleFailure(t.Context(), &neighbour{desiredPeer: spec}, syscall.ECONNREFUSED)
			}
		}
		assert.Equal(t, len(dialled), recorded)
	}
}

// TestUnansweredDialsOfUnknownHostsSlowDown bounds the cost of records of gone hosts.
func TestUnansweredDialsOfUnknownHostsSlowDown(t *testing.T) {
	m := newUnconnected("a")
	assert.Assert(t, m.unknownHostDelay("gone") <= 2*firstDialSpread)
	m.failedDials["gone"] = 1000
	assert.Assert(t, m.unknownHostDelay("gone") >= maxRedialInterval/2)
}
