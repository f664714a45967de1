package membership

import (
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
