package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

// channelListener accepts the connections that are sent on a channel.
type channelListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *channelListener) Close() error   { close(l.closed); return nil }
func (l *channelListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// serve runs a server until the test ends and returns it with a function that
// connects to it.
func serve(t *testing.T, limiter *connLimiter) (*Server, DialFunc) {
	server := NewServer(Identity{Host: "server", Zone: "a"}, NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
	server.limiter = limiter
	listener := &channelListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
	return server, func(context.Context, string, string) (net.Conn, error) {
		client, accepted := net.Pipe()
		listener.conns <- accepted
		return client, nil
	}
}

func TestConnectionsOverTheLimitsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dial := serve(t, newConnLimiter(2, 1, 3))
		dialer := NewDialer(Identity{Host: "client", Zone: "b"}, NewTrafficCounter(), dial)
		first, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		second, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		_, err = dialer.Dial(t.Context(), "test", "server")
		assert.Assert(t, err != nil, "connection over the limit of open connections was accepted")
		assert.NilError(t, first.Close())
		synctest.Wait()
		_, err = dialer.Dial(t.Context(), "test", "server")
		assert.Assert(t, err != nil, "connection over the accept rate was accepted")
		time.Sleep(time.Second)
		third, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		assert.Equal(t, server.limiter.refused.Load(), uint64(2))
		assert.NilError(t, second.Close())
		assert.NilError(t, third.Close())
	})
}

// stopSlack is what a grace time of 6 s leaves when calls in progress are aborted.
const stopSlack = time.Second

// TestSilentHandshakeDelaysNoStop has a connection on which no Hello comes.
func TestSilentHandshakeDelaysNoStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(Identity{Host: "server", Zone: "a"}, NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
		listener := &channelListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		tasks.Go(func() { _ = server.Serve(ctx, listener) })
		silent, accepted := net.Pipe()
		defer silent.Close()
		listener.conns <- accepted
		synctest.Wait()
		start := time.Now()
		cancel()
		tasks.Wait()
		took := time.Since(start)
		assert.Assert(t, took < stopSlack, "the server ended %v after its context", took)
	})
}

// TestSilentPeerDelaysNoCancelledDial dials a peer that sends no Hello.
func TestSilentPeerDelaysNoCancelledDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		dialer := NewDialer(Identity{Host: "client", Zone: "b"}, NewTrafficCounter(), func(context.Context, string, string) (net.Conn, error) { return local, nil })
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		tasks.Go(func() { _, _ = dialer.Dial(ctx, "test", "server") })
		_, _, err := readHello(remote)
		assert.NilError(t, err)
		synctest.Wait()
		start := time.Now()
		cancel()
		tasks.Wait()
		took := time.Since(start)
		assert.Assert(t, took < stopSlack, "the dial ended %v after its context", took)
	})
}

func TestTrafficIsCountedByScope(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := serve(t, newConnLimiter(2, 1, 3))
		traffic := NewTrafficCounter()
		dialer := NewDialer(Identity{Host: "client", Zone: "b"}, traffic, dial)
		conn, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		assert.Equal(t, conn.Peer.Host, "server")
		err = conn.Invoke(t.Context(), "/nobody/serves", emptyEncoding{}, nil, nil)
		assert.Assert(t, err != nil)
		bytes := traffic.Snapshot()[TrafficClass{Kind: "test", Scope: BetweenZones}]
		assert.Assert(t, bytes.Sent > 0 && bytes.Received > 0, "%+v", bytes)
		assert.NilError(t, conn.Close())
	})
}

func TestWriteToPeerThatStoppedReadingTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		conn := drpcconn.New(writeDeadlineConn{local})
		defer conn.Close()
		start := time.Now()
		err := conn.Invoke(t.Context(), "/nobody/reads", emptyEncoding{}, nil, nil)
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(start), writeTimeout)
	})
}

// emptyEncoding encodes every message as zero bytes.
type emptyEncoding struct{}

func (emptyEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, nil }
func (emptyEncoding) Unmarshal([]byte, drpc.Message) error { return nil }
