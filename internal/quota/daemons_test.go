package quota

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// fixedDirectory is a view that does not change.
type fixedDirectory struct {
	view atomic.Pointer[membership.View]
}

func (d *fixedDirectory) View() *membership.View   { return d.view.Load() }
func (d *fixedDirectory) Changed() <-chan struct{} { return nil }

// testDaemon is a Quota with its control server on loopback.
type testDaemon struct {
	quota *Quota
	stop  context.CancelFunc
	done  conc.WaitGroup
}

// startDaemons starts daemons that know each other.
func startDaemons(t *testing.T, count int) []*testDaemon {
	members := make(map[string]membership.Member)
	listeners := make([]net.Listener, count)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = listener
		host := fmt.Sprintf("accra-%d", i)
		members[host] = membership.Member{Host: host, State: membership.Alive, ControlAddress: listener.Addr().String()}
	}
	directory := &fixedDirectory{}
	directory.view.Store(&membership.View{Members: membership.NewMap(members)})
	var daemons []*testDaemon
	for i, listener := range listeners {
		self := peer.Identity{Host: fmt.Sprintf("accra-%d", i), Zone: "a", Region: "r", Incarnation: 1}
		traffic := peer.NewTrafficCounter()
		server := peer.NewServer(self, traffic, logging.ForComponent(logging.Discard(), "peer"))
		d := &testDaemon{quota: New(Options{
			Self: self, Directory: directory, Dialer: peer.NewDialer(self, traffic, nil),
			Limit: func(string) (Limit, bool) { return Limit{}, false }, Bound: simBound,
		})}
		assert.NilError(t, d.quota.Register(server.Mux()))
		ctx, cancel := context.WithCancel(t.Context())
		d.stop = cancel
		d.done.Go(func() { _ = server.Serve(ctx, listener) })
		d.done.Go(func() { _ = d.quota.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			d.done.Wait()
		})
		daemons = append(daemons, d)
	}
	return daemons
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}

// mode returns the mode of a workspace at a daemon, and whether its home has answered.
func (d *testDaemon) mode(workspace string) (Mode, bool) {
	d.quota.mu.Lock()
	defer d.quota.mu.Unlock()
	a := d.quota.limiter.accounts[workspace]
	if a == nil {
		return Free, false
	}
	return a.grant.Mode, a.answered
}

// TestDaemonsAreLimitedAndOutliveTheirHome guards against grants that reach only the
// daemon that reported, and against daemons that admit without a limit once the home is
// gone.
func TestDaemonsAreLimitedAndOutliveTheirHome(t *testing.T) {
	daemons := startDaemons(t, 4)
	client := &publish.ClientWorkspace{Name: "huka270", Rate: 100, Burst: 100}
	for i, d := range daemons {
		await(t, fmt.Sprintf("limit at daemon %d", i), func() bool {
			for _, each := range daemons {
				each.quota.Admit(client)
			}
			mode, answered := d.mode(client.Name)
			return answered && mode == Limited
		})
	}
	home := daemons[0].quota.homes.Of(client.Name)
	var others []*testDaemon
	for _, d := range daemons {
		if d.quota.options.Self.Host == home {
			d.stop()
			d.done.Wait()
			continue
		}
		others = append(others, d)
	}
	for _, d := range others {
		await(t, "refusal without a home", func() bool {
			d.quota.Admit(client)
			return d.quota.metrics.refusedWithoutHome.Get() > 0
		})
		_, retryAfter, ok := d.quota.Admit(client)
		for ok {
			_, retryAfter, ok = d.quota.Admit(client)
		}
		assert.Assert(t, retryAfter > 0)
	}
}

// TestUnusedQuotaHasNoState guards against tasks, links and accounts for workspaces
// without a rate.
func TestUnusedQuotaHasNoState(t *testing.T) {
	daemons := startDaemons(t, 2)
	for range 100 {
		giveBack, _, ok := daemons[0].quota.Admit(&publish.ClientWorkspace{Name: "free"})
		assert.Assert(t, ok)
		giveBack()
	}
	q := daemons[0].quota
	q.mu.Lock()
	defer q.mu.Unlock()
	assert.Equal(t, q.limiter.Len()+len(q.links)+len(q.followers)+q.ledger.Len(), 0)
}

// TestReturnedRequestMayBeMadeAgain guards against calls that have not run and still use
// the quota.
func TestReturnedRequestMayBeMadeAgain(t *testing.T) {
	q := newLoneQuota()
	client := &publish.ClientWorkspace{Name: "huka270", Rate: 0.001, Burst: 1}
	for range 5 {
		q.limiter.Connected("accra-1", time.Now())
		giveBack, _, ok := q.Admit(client)
		assert.Assert(t, ok)
		giveBack()
	}
	_, _, ok := q.Admit(client)
	assert.Assert(t, ok)
	_, retryAfter, ok := q.Admit(client)
	assert.Assert(t, !ok && retryAfter > 0)
}
