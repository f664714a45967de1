package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

// background runs a function in a goroutine and returns a channel that is closed when
// the function has returned.
func background(run func()) <-chan struct{} {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		run()
	}()
	return returned
}

// isClosed reports whether a channel is closed, without waiting.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestPeerThatSendsNoHelloDoesNotDelayEndOfServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(Identity{Host: "server"}, NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
		listener := &channelListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		returned := background(func() { _ = server.Serve(ctx, listener) })
		silent, accepted := net.Pipe()
		defer silent.Close()
		listener.conns <- accepted
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Serve waits for the hello of a peer after its context has ended")
	})
}

func TestPeerThatAnswersNoHelloDoesNotDelayEndOfDial(t *testing.T) {
	t.Run("peer reads nothing", func(t *testing.T) {
		testDialEndsWithContext(t, func(net.Conn) {})
	})
	t.Run("peer does not respond", func(t *testing.T) {
		testDialEndsWithContext(t, func(peer net.Conn) {
			_, _, err := readHello(peer)
			assert.NilError(t, err)
		})
	})
}

// testDialEndsWithContext cancels the context of Dial after its peer has done a step
// of the handshake.
func testDialEndsWithContext(t *testing.T, step func(peer net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		dialled, silent := net.Pipe()
		defer silent.Close()
		dial := func(context.Context, string, string) (net.Conn, error) { return dialled, nil }
		dialer := NewDialer(Identity{Host: "client"}, NewTrafficCounter(), dial)
		ctx, cancel := context.WithCancel(t.Context())
		var err error
		returned := background(func() { _, err = dialer.Dial(ctx, "test", "silent") })
		step(silent)
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Dial waits for the hello of a peer after its context has ended")
		assert.ErrorIs(t, err, context.Canceled)
	})
}

func TestHandshakeTimeoutClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := serve(t, newConnLimiter(1, 1, 1))
		silent, err := dial(t.Context(), "", "")
		assert.NilError(t, err)
		_, _, err = readHello(silent)
		assert.ErrorContains(t, err, "EOF")
	})
}
