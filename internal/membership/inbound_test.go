package membership

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpccache"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// slowCloseListener accepts connections that wait for mayClose when they are closed.
type slowCloseListener struct {
	net.Listener
	mayClose chan struct{}
}

func (l *slowCloseListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowCloseConn{Conn: conn, mayClose: l.mayClose}, err
}

type slowCloseConn struct {
	net.Conn
	mayClose chan struct{}
}

func (c *slowCloseConn) Close() error {
	<-c.mayClose
	return c.Conn.Close()
}

func TestIdleConnectionThatClosesSlowlyHoldsNoLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		defer network.tasks.Wait()
		m := newUnconnected("a")
		server := peer.NewServer(m.options.Identity, peer.NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
		assert.NilError(t, m.Register(server.Mux()))
		listener := &slowCloseListener{Listener: network.listen(m.options.Identity), mayClose: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		defer tasks.Wait()
		defer cancel()
		defer close(listener.mayClose)
		tasks.Go(func() { _ = server.Serve(ctx, listener) })

		id := peer.Identity{Host: "b", Zone: "z", Region: "r"}
		conn, err := peer.NewDialer(id, peer.NewTrafficCounter(), network.dialFrom(id)).Dial(ctx, trafficKind, "a")
		assert.NilError(t, err)
		defer conn.Close()
		_, err = NewDRPCMembershipClient(conn).Heartbeat(ctx, &HeartbeatRequest{First: true})
		assert.NilError(t, err)
		tasks.Go(func() { m.maintain(time.Now().Add(inboundIdleTimeout)) })
		synctest.Wait()
		unlocked := m.mu.TryLock()
		assert.Assert(t, unlocked, "the lock is held while a connection closes")
		defer m.mu.Unlock()
		assert.Equal(t, len(m.inbound), 0)
	})
}

func TestConnectionOfFirstHeartbeatInProgressIsNotIdle(t *testing.T) {
	m := newUnconnected("a")
	m.inboundConnFor(drpccache.WithContext(t.Context(), drpccache.New()))
	m.maintain(time.Now())
	assert.Equal(t, len(m.inbound), 1)
}
