package call_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// pipeListener accepts one end of a pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// TestRequestWhoseBodyStopsIsAnsweredAtItsDeadline sends a part of a body and no more.
// Guards against: requests were held for half a second past the timeout of their route,
// and refused with a status after which no client tries again.
func TestRequestWhoseBodyStopsIsAnsweredAtItsDeadline(t *testing.T) {
	for _, timeLimit := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			self := peer.Identity{Host: "a", Zone: "zone-1", Region: "ashanti", Incarnation: 1}
			dir := &directory{}
			dir.view.Store(&membership.View{Self: membership.Member{Host: "a", State: membership.Alive}})
			tables := &tables{}
			tables.table.Store(&enforce.Table{Offset: 7, Config: config(func(_ *publish.Service, r *publish.Route) { r.Deadline = timeLimit })})
			server := call.New(call.Options{Self: self, Config: tables, Directory: dir, Router: route.New(route.Options{Directory: dir, Self: self})})
			defer server.Close()
			listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
			httpServer := &http.Server{Handler: server.CallerHandler()}
			var tasks conc.WaitGroup
			defer tasks.Wait()
			defer httpServer.Close()
			tasks.Go(func() { _ = httpServer.Serve(listener) })
			near, far := net.Pipe()
			defer near.Close()
			listener.conns <- far

			start := time.Now()
			_, err := fmt.Fprintf(near, "PUT /%s HTTP/1.1\r\nHost: mesh\r\nContent-Length: 100\r\n\r\npart", lookups)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(near), nil)
			assert.NilError(t, err)
			assert.Equal(t, time.Since(start), timeLimit)
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Equal(t, response.Header.Get(call.HeaderOutcome), string(call.NotRun))
			assert.Assert(t, response.Close, "the rest of the body may still come on this connection")
		})
	}
}
