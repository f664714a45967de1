package call_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
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

// Two calls hold all connections to a host; the others are served by another one.
func TestBusyConnectionsDoNotUseUpDeadline(t *testing.T) {
	const connections = 2
	m := newMesh(t, 3, config(withRefusals), func(i int, o *call.Options) { o.PeerConnections = connections })
	from, busy, other := m.nodes[0], m.nodes[1], m.nodes[2]
	other.member.Zone = "zone-2"
	m.shareView()
	busy.setBehaviour(target.Behaviour{Hang: true})
	from.routeOnlyTo(busy)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for range connections {
		tasks.Go(func() { _, _ = from.do(t, ctx, http.MethodGet, lookups, nil) })
	}
	eventually(t, "all connections are in use", func() bool { return busy.server.Load().Busy == connections })
	m.shareView()
	from.routeOnlyToPeers()
	const calls = 3
	for range calls {
		assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
	}
	assert.Equal(t, len(other.target.Runs()), calls)
}

// A host that cannot be reached, but neither refuses connections, is given up for
// another one; without another one the attempt waits on.
func TestSlowDialDoesNotUseUpDeadline(t *testing.T) {
	var slow atomic.Pointer[string]
	accept := make(chan struct{})
	m := newMesh(t, 3, config(withRefusals), func(_ int, o *call.Options) {
		o.DialPeers = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == *slow.Load() {
				<-accept
			}
			return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
		}
	})
	from, unreachable, other := m.nodes[0], m.nodes[1], m.nodes[2]
	slow.Store(&unreachable.member.CallsAddress)
	other.member.Zone = "zone-2"
	m.shareView()
	from.routeOnlyToPeers()
	assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
	assert.Equal(t, len(other.target.Runs()), 1)
	from.routeOnlyTo(unreachable)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { assert.Check(t, is.Equal(from.get(t, lookups).status, http.StatusOK)) })
	time.Sleep(2 * call.MaxConnWait)
	close(accept)
}
