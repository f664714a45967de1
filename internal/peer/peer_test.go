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

// oneShotListener accepts the given connections.
type oneShotListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *oneShotListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *oneShotListener) Close() error   { close(l.closed); return nil }
func (l *oneShotListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// serve runs a server whose listener is fed through the returned dial.
func serve(t *testing.T, limit *gate) (*Server, DialFunc) {
	server := NewServer(Identity{Host: "server", Zone: "a"}, NewTrafficCounter(), logging.Part(logging.Discard(), "peer"))
	server.gate = limit
	listener := &oneShotListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
	return server, func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		listener.conns <- far
		return near, nil
	}
}

func TestConnectionsOverTheLimitsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dial := serve(t, newGate(2, 1, 3))
		dialer := NewDialer(Identity{Host: "client", Zone: "b"}, NewTrafficCounter(), dial)
		first, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		second, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		_, err = dialer.Dial(t.Context(), "test", "server")
		assert.Assert(t, err != nil, "a third connection")
		assert.NilError(t, first.Close())
		synctest.Wait()
		_, err = dialer.Dial(t.Context(), "test", "server")
		assert.Assert(t, err != nil, "too soon after the burst")
		time.Sleep(time.Second)
		third, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		assert.Equal(t, server.gate.refused.Load(), uint64(2))
		assert.NilError(t, second.Close())
		assert.NilError(t, third.Close())
	})
}

func TestBytesAreCountedByScope(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := serve(t, newGate(2, 1, 3))
		traffic := NewTrafficCounter()
		dialer := NewDialer(Identity{Host: "client", Zone: "b"}, traffic, dial)
		conn, err := dialer.Dial(t.Context(), "test", "server")
		assert.NilError(t, err)
		assert.Equal(t, conn.Peer.Host, "server")
		err = conn.Invoke(t.Context(), "/nobody/serves", drpcNothing{}, nil, nil)
		assert.Assert(t, err != nil)
		bytes := traffic.Snapshot()[TrafficClass{Kind: "test", Scope: BetweenZones}]
		assert.Assert(t, bytes.Sent > 0 && bytes.Received > 0, "%+v", bytes)
		assert.NilError(t, conn.Close())
	})
}

func TestWriteToPeerThatReadsNothingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		conn := drpcconn.New(timedConn{near})
		defer conn.Close()
		began := time.Now()
		err := conn.Invoke(t.Context(), "/nobody/reads", drpcNothing{}, nil, nil)
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(began), writeTimeout)
	})
}

// drpcNothing encodes every message as nothing.
type drpcNothing struct{}

func (drpcNothing) Marshal(drpc.Message) ([]byte, error) { return nil, nil }
func (drpcNothing) Unmarshal([]byte, drpc.Message) error { return nil }
