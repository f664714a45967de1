package call_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// withRefusals allows free retries after refusals, as the front ends do.
func withRefusals(_ *publish.Service, route *publish.Route) { route.Refusals = 3 }

// routeOnlyToPeers removes the host's own target from its view.
func (n *node) routeOnlyToPeers() {
	view := *n.dir.View()
	var peers []membership.Member
	for _, member := range view.ByService["railway/status"] {
		if member.Host != n.name {
			peers = append(peers, member)
		}
	}
	view.ByService = map[string][]membership.Member{"railway/status": peers}
	n.dir.view.Store(&view)
}

// timedOutDial fails as a dial does that has reached its time limit.
func timedOutDial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now())
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func TestDialTimeoutDoesNotEndCallWithTimeLeft(t *testing.T) {
	var unreachable atomic.Pointer[string]
	var dials atomic.Int64
	m := newMesh(t, 3, config(withRefusals), func(i int, o *call.Options) {
		if i > 0 {
			return
		}
		o.DialPeers = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address != *unreachable.Load() {
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			dials.Add(1)
			return timedOutDial(ctx, network, address)
		}
	})
	unreachable.Store(&m.nodes[1].member.CallsAddress)
	m.nodes[0].routeOnlyToPeers()
	const calls = 20
	for range calls {
		assert.Equal(t, m.nodes[0].get(t, lookups).status, http.StatusOK)
	}
	assert.Assert(t, dials.Load() > 0)
}
