package call_test

import (
	"context"
	"net"
	"net/http"
	"strings"
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
	for _, member := range view.ByService.At("railway/status") {
		if member.Host != n.name {
			peers = append(peers, member)
		}
	}
	view.ByService = membership.NewMap(map[string][]membership.Member{"railway/status": peers})
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

// Calls wait at a daemon that never answers, until membership has another word of it.
func TestCallDoesNotWaitForGoneDaemon(t *testing.T) {
	unreachable := func(m *membership.Member) { m.Reachability = membership.Unreachable }
	replaced := func(m *membership.Member) { m.Version.Incarnation++ }
	changes := map[string]func(*membership.Member){"unreachable": unreachable, "replaced": replaced}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			m, frozen := frozenPeer(t, withRefusals)
			from, other := m.nodes[0], m.nodes[2]
			var tasks conc.WaitGroup
			defer tasks.Wait()
			tasks.Go(func() { assert.Check(t, is.Equal(from.get(t, lookups).status, http.StatusOK)) })
			eventually(t, "the call waits", func() bool { return frozen.server.Load().Busy == 1 })
			time.Sleep(2 * call.PeerWatchDelay)
			gone := frozen.member
			change(&gone)
			from.dir.change(gone)
			tasks.Wait()
			assert.Equal(t, len(other.target.Runs()), 1)
		})
	}
}

// A call that may run only once waits for its response: the host may come back.
func TestUnrepeatableCallIsNotGivenUp(t *testing.T) {
	m, frozen := frozenPeer(t, withRefusals)
	from, other := m.nodes[0], m.nodes[2]
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { _, _ = from.do(t, ctx, http.MethodPost, orders, strings.NewReader("order")) })
	eventually(t, "the call waits", func() bool { return frozen.server.Load().Busy == 1 })
	gone := frozen.member
	gone.Reachability = membership.Unreachable
	from.dir.change(gone)
	time.Sleep(2 * call.PeerWatchDelay)
	assert.Equal(t, from.server.InProgress(), 1)
	cancel()
	tasks.Wait()
	assert.Equal(t, len(other.target.Runs()), 0)
}

// Of four calls that wait at a gone daemon three find a retry in the budget; the other
// one waits on, as the daemon may answer yet.
func TestCallBeyondRetryBudgetWaitsOn(t *testing.T) {
	const calls, retries = 4, 3
	almostNoBudget := func(_ *publish.Service, route *publish.Route) { route.RetryBudget = 0.001 }
	m, frozen := frozenPeer(t, almostNoBudget)
	from, other := m.nodes[0], m.nodes[2]
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for range calls {
		tasks.Go(func() { _, _ = from.do(t, ctx, http.MethodGet, lookups, nil) })
	}
	eventually(t, "the calls wait", func() bool { return frozen.server.Load().Busy == calls })
	time.Sleep(2 * call.PeerWatchDelay)
	gone := frozen.member
	gone.Reachability = membership.Unreachable
	from.dir.change(gone)
	eventually(t, "the budget is used up", func() bool { return len(other.target.Runs()) == retries })
	time.Sleep(2 * call.PeerWatchDelay)
	assert.Equal(t, from.server.InProgress(), calls-retries)
}

// frozenPeer returns three hosts; calls of the first go to the second, whose target
// never answers, and otherwise to the third.
func frozenPeer(t *testing.T, change func(*publish.Service, *publish.Route)) (*mesh, *node) {
	longDeadline := func(service *publish.Service, route *publish.Route) {
		route.Deadline = time.Hour
		route.Keyless = true
		change(service, route)
	}
	m := newMesh(t, 3, config(longDeadline), nil)
	m.nodes[2].member.Zone = "zone-2"
	m.shareView()
	m.nodes[0].routeOnlyToPeers()
	m.nodes[1].setBehaviour(target.Behaviour{Hang: true})
	return m, m.nodes[1]
}
