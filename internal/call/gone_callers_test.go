package call_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// sendAndLeave sends a request to a server that does not read yet, and leaves.
func sendAndLeave(t *testing.T, address, path string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: mesh\r\n\r\n", path)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
}

// stalledListener accepts connections, in the backlog of the system, before its server
// runs, as a daemon does that stands still.
func stalledListener(t *testing.T) (listener net.Listener, serve func(http.Handler)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{ConnContext: call.ConnContext}
	var tasks conc.WaitGroup
	t.Cleanup(func() {
		_ = server.Close()
		_ = listener.Close()
		tasks.Wait()
	})
	return listener, func(handler http.Handler) {
		server.Handler = handler
		tasks.Go(func() { _ = server.Serve(listener) })
	}
}

// forProcessors runs a test with the processors of a small host, which order the tasks
// of a process most strictly, and with more.
func forProcessors(t *testing.T, test func(t *testing.T)) {
	for _, processors := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d processors", processors), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
			test(t)
		})
	}
}

// Guards against: a daemon that had been slow sent on requests whose clients had left
// long before (GONE).
func TestRequestOfGoneCallerIsNotSentOn(t *testing.T) {
	const callers = 40
	forProcessors(t, func(t *testing.T) {
		m := newMesh(t, 2, config(nil), withoutSampling)
		from, to := m.nodes[0], m.nodes[1]
		from.routeOnlyTo(to)
		assert.Equal(t, from.get(t, lookups).status, http.StatusOK)
		before := len(to.target.Runs())
		listener, serve := stalledListener(t)
		for range callers {
			sendAndLeave(t, listener.Addr().String(), "/"+lookups+"/1")
		}
		var served atomic.Int64
		serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer served.Add(1)
			from.server.CallerHandler().ServeHTTP(w, r)
		}))
		eventually(t, "all requests are served", func() bool { return served.Load() == callers })
		assert.Equal(t, len(to.target.Runs())-before, 0, "requests whose callers had left reached the target")
	})
}

// firstWriteConn counts the connections that have been written to.
type firstWriteConn struct {
	net.Conn
	once    sync.Once
	written *atomic.Int64
}

func (c *firstWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.once.Do(func() { c.written.Add(1) })
	return n, err
}

// Guards against: the same at the daemon of the target, when the daemon of the caller
// has given the attempt up.
func TestAttemptOfGoneDaemonIsNotSentOn(t *testing.T) {
	const attempts = 40
	forProcessors(t, func(t *testing.T) {
		var written atomic.Int64
		m := newMesh(t, 2, config(nil), func(_ int, o *call.Options) {
			o.DialPeers = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &firstWriteConn{Conn: conn, written: &written}, err
			}
		})
		from, to := m.nodes[0], m.nodes[1]
		listener, serve := stalledListener(t)
		to.member.CallsAddress = listener.Addr().String()
		from.routeOnlyTo(to)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var calls conc.WaitGroup
		for range attempts {
			calls.Go(func() { _, _ = from.do(t, ctx, http.MethodGet, lookups, nil) })
		}
		eventually(t, "all attempts are sent", func() bool { return written.Load() == attempts })
		cancel()
		calls.Wait()
		eventually(t, "all calls have ended", func() bool { return from.server.InProgress() == 0 })
		var served atomic.Int64
		serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer served.Add(1)
			to.server.PeerHandler().ServeHTTP(w, r)
		}))
		eventually(t, "all attempts are served", func() bool { return served.Load() == attempts })
		assert.Equal(t, len(to.target.Runs()), 0, "attempts that had been given up reached the target")
	})
}
