package peer

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

// errNoDescriptors is what Accept returns when the process has no free descriptor.
var errNoDescriptors = &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}

// failingListener is a channelListener whose Accept returns the failures before it
// returns connections.
type failingListener struct {
	channelListener
	failures chan error
}

func newFailingListener(failures ...error) *failingListener {
	l := &failingListener{
		channelListener: channelListener{conns: make(chan net.Conn), closed: make(chan struct{})},
		failures:        make(chan error, len(failures)+1),
	}
	for _, failure := range failures {
		l.failures <- failure
	}
	return l
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case failure := <-l.failures:
		return nil, failure
	default:
	}
	select {
	case failure := <-l.failures:
		return nil, failure
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// dial connects to the server that accepts from the listener.
func (l *failingListener) dial(context.Context, string, string) (net.Conn, error) {
	client, accepted := net.Pipe()
	l.conns <- accepted
	return client, nil
}

func TestTemporaryAcceptErrorsDoNotEndServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, lines := test.NewNullLogger()
		server := NewServer(Identity{Host: "server"}, NewTrafficCounter(), logging.ForComponent(logger, "peer"))
		listener := newFailingListener(errNoDescriptors, errNoDescriptors, errNoDescriptors, errNoDescriptors)
		ctx, cancel := context.WithCancel(t.Context())
		var serveErr error
		returned := background(func() { serveErr = server.Serve(ctx, listener) })
		synctest.Wait()
		assert.Assert(t, !isClosed(returned), "Serve ended: %v", serveErr)
		conn, err := NewDialer(Identity{Host: "client"}, NewTrafficCounter(), listener.dial).Dial(ctx, "test", "server")
		assert.NilError(t, err)
		assert.Equal(t, len(listener.failures), 0)
		assert.Equal(t, len(lines.AllEntries()), 1)
		assert.NilError(t, conn.Close())
		cancel()
		<-returned
	})
}

func TestAcceptBackOffDoesNotDelayEndOfServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(Identity{Host: "server"}, NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
		listener := newFailingListener(errNoDescriptors, errNoDescriptors)
		ctx, cancel := context.WithCancel(t.Context())
		var serveErr error
		returned := background(func() { serveErr = server.Serve(ctx, listener) })
		synctest.Wait()
		assert.Equal(t, len(listener.failures), 1, "Serve accepts again without a back-off")
		cancel()
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Serve waits for the back-off after its context has ended")
		assert.NilError(t, serveErr)
	})
}

func TestFatalAcceptErrorEndsServeWithOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(Identity{Host: "server"}, NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
		listener := newFailingListener()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var serveErr error
		returned := background(func() { serveErr = server.Serve(ctx, listener) })
		conn, err := NewDialer(Identity{Host: "client"}, NewTrafficCounter(), listener.dial).Dial(ctx, "test", "server")
		assert.NilError(t, err)
		defer conn.Close()
		listener.failures <- syscall.EINVAL
		synctest.Wait()
		assert.Assert(t, isClosed(returned), "Serve waits for the peers of its connections after a fatal error")
		assert.ErrorIs(t, serveErr, syscall.EINVAL)
		assert.Assert(t, isClosed(listener.closed), "the listener is open after Serve has returned")
	})
}
