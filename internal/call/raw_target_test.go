package call_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	startLine   = "HTTP/1.1 200 OK\r\n"
	wholeAnswer = startLine + "Content-Length: 2\r\n\r\nok"
)

// rawTarget answers each request with bytes that a test gives, and then ends the connection.
type rawTarget struct {
	address  string
	response atomic.Pointer[string]
	// reset ends the connection by a reset, as a target does that ends.
	reset atomic.Bool
	// early answers once the head of a request has arrived.
	early    atomic.Bool
	accepted atomic.Int64
}

func newRawTarget(t testing.TB) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &rawTarget{address: listener.Addr().String()}
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.accepted.Add(1)
			tasks.Go(func() { r.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		tasks.Wait()
	})
	return r
}

func (r *rawTarget) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !r.early.Load() {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, *r.response.Load())
	if r.reset.Load() {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (r *rawTarget) answer(response string) { r.response.Store(&response) }

// newRawMesh returns a mesh whose second host has a raw target, and its two ways to it: through
// its own daemon and through the other.
func newRawMesh(t testing.TB) (*rawTarget, []*node) {
	m := newMesh(t, 2, config(withoutRetries), withoutSampling)
	raw := newRawTarget(t)
	m.nodes[1].address.Store(&raw.address)
	m.nodes[0].routeOnlyTo(m.nodes[1])
	m.nodes[1].routeOnlyTo(m.nodes[1])
	return raw, []*node{m.nodes[1], m.nodes[0]}
}
