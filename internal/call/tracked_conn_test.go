package call_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// newTrackedPipe returns a connection of a transport and its other end.
func newTrackedPipe(t *testing.T) (*call.TrackedConn, net.Conn) {
	local, remote := net.Pipe()
	conn := call.NewTrackedConn(local)
	t.Cleanup(func() { _, _ = conn.Close(), remote.Close() })
	return conn, remote
}

func TestRequestWaitsWhileBytesOfEarlierReadMayBeLeft(t *testing.T) {
	for name, end := range map[string]func(conn *call.TrackedConn){
		"read":  func(conn *call.TrackedConn) { _, _ = conn.Read(make([]byte, 1)) },
		"close": func(conn *call.TrackedConn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, remote := newTrackedPipe(t)
				var tasks conc.WaitGroup
				defer tasks.Wait()
				defer remote.Close()
				began := make(chan struct{})
				tasks.Go(func() {
					conn.BeginRequest()
					close(began)
				})
				synctest.Wait()
				select {
				case <-began:
					t.Error("the request got a connection that its transport does not read")
				default:
				}
				tasks.Go(func() { end(conn) })
				<-began
			})
		})
	}
}

func TestRequestIsNotWrittenAfterUnexpectedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, remote := newTrackedPipe(t)
		var tasks conc.WaitGroup
		defer tasks.Wait()
		defer remote.Close()
		tasks.Go(func() { _, _ = conn.Read(make([]byte, 1)) })
		conn.BeginRequest()
		_, err := remote.Write([]byte("a"))
		assert.NilError(t, err)
		tasks.Wait()
		tasks.Go(func() { _, _ = io.Copy(io.Discard, remote) })
		_, err = conn.Write([]byte("request"))
		assert.ErrorIs(t, err, call.ErrUnexpectedBytes)
	})
}
