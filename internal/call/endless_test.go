package call_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// drippedInterval is the time between two bytes of a target that drips.
	drippedInterval = 2 * time.Millisecond
	// farDeadline is the deadline of calls that must end long before it.
	farDeadline = "1h"
	// nearDeadline is the deadline of calls that only their deadline can end.
	nearDeadline = "300ms"
	// maxHeadRead is the most bytes that a daemon may read from a target that does
	// not end the head of its response: the limit and one read buffer.
	maxHeadRead = 64<<10 + 4<<10
	// maxHeadSent ends a head that the daemon reads on and on, so that a failing
	// test does not take all memory.
	maxHeadSent = 64 << 20

	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	okResponse  = okHead + "Content-Length: 2\r\n\r\nok"
)

// ending is how a call ends whose target sends without end.
type ending int

const (
	// endsWhole: the response is complete before the bytes without end.
	endsWhole ending = iota
	// endsAtOnce: the daemon gives up, however far the deadline is.
	endsAtOnce
	// endsByDeadline: only the deadline tells the bytes from a slow response or a stream.
	endsByDeadline
)

// endlessForm is what a target sends: the start, then the rest again and again until
// its connection is closed.
type endlessForm struct {
	name        string
	start, rest string
	// fast is the ending if the bytes come as fast as the connection takes them,
	// dripped the one if they come one by one.
	fast, dripped ending
}

var endlessForms = []endlessForm{
	{"status line", "HTTP/1.1 200 ", "O", endsAtOnce, endsByDeadline},
	{"header name", okHead, "a", endsAtOnce, endsByDeadline},
	{"header value", okHead + "A: ", "a", endsAtOnce, endsByDeadline},
	{"header lines", okHead, "A: a\r\n", endsAtOnce, endsByDeadline},
	{"continue responses", "", "HTTP/1.1 100 Continue\r\n\r\n", endsAtOnce, endsByDeadline},
	{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", endsAtOnce, endsByDeadline},
	{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: Upgrade\r\n\r\n", "a", endsAtOnce, endsAtOnce},
	{"binary", "", "\x00\xff", endsAtOnce, endsByDeadline},
	{"text lines", "", "no response\n", endsAtOnce, endsAtOnce},
	{"chunks", chunkedHead, "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n", endsByDeadline, endsByDeadline},
	{"chunk size", chunkedHead, "0", endsAtOnce, endsByDeadline},
	{"chunk extension", chunkedHead + "1;", "a", endsAtOnce, endsByDeadline},
	{"chunk extensions", chunkedHead, "1;" + strings.Repeat("a", 2000) + "\r\na\r\n", endsAtOnce, endsByDeadline},
	{"trailer value", chunkedHead + "0\r\nA: ", "a", endsAtOnce, endsByDeadline},
	{"trailer lines", chunkedHead + "0\r\n", "A: a\r\n", endsAtOnce, endsByDeadline},
	{"body until close", okHead + "\r\n", "a", endsByDeadline, endsByDeadline},
	{"body of huge length", okHead + "Content-Length: 9000000000000000000\r\n\r\n", "a", endsByDeadline, endsByDeadline},
	{"bytes after a body", okResponse, "a", endsWhole, endsWhole},
	{"responses after a body", okResponse, okHead + "Content-Length: 5\r\n\r\nother", endsWhole, endsWhole},
	{"bytes after chunks", chunkedHead + "2\r\nok\r\n0\r\n\r\n", "a", endsWhole, endsWhole},
	{"bytes after no content", "HTTP/1.1 204 No Content\r\n\r\n", "a", endsWhole, endsWhole},
}

// endlessTarget answers each request in one form.
type endlessTarget struct {
	listener net.Listener
	tasks    conc.WaitGroup
	requests atomic.Int64
	open     atomic.Int64
	sent     atomic.Int64

	mu      sync.Mutex
	form    endlessForm
	dripped bool
	conns   []net.Conn
}

func newEndlessTarget(t *testing.T, form endlessForm, dripped bool) *endlessTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endlessTarget{listener: listener, form: form, dripped: dripped}
	e.tasks.Go(e.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		e.mu.Lock()
		for _, conn := range e.conns {
			_ = conn.Close()
		}
		e.mu.Unlock()
		e.tasks.Wait()
	})
	return e
}

func (e *endlessTarget) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		e.open.Add(1)
		e.tasks.Go(func() { e.serve(conn) })
	}
}

// recover makes the target answer later requests in full.
func (e *endlessTarget) recover() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.form = endlessForm{start: okResponse}
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer e.open.Add(-1)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		e.requests.Add(1)
		e.mu.Lock()
		form, dripped := e.form, e.dripped
		e.mu.Unlock()
		first := form.start
		if !dripped {
			first += form.rest
		}
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		if form.rest != "" {
			e.sendWithoutEnd(conn, form, dripped)
			return
		}
	}
}

func (e *endlessTarget) sendWithoutEnd(conn net.Conn, form endlessForm, dripped bool) {
	block := []byte(strings.Repeat(form.rest, 1+(16<<10)/len(form.rest)))
	for i := 0; form.fast == endsByDeadline || e.sent.Load() < maxHeadSent; i = (i + 1) % len(block) {
		piece := block
		if dripped {
			piece = block[i : i+1]
			time.Sleep(drippedInterval)
		}
		n, err := conn.Write(piece)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// countingNetwork counts the bytes that a daemon reads from one address.
type countingNetwork struct {
	address string
	read    atomic.Int64
}

func (n *countingNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil || address != n.address {
		return conn, err
	}
	return &countingConn{conn, n}, nil
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.read.Add(int64(n))
	return n, err
}

// endlessMesh is a caller's daemon and the daemon of an endless target, which are
// one if local is set.
type endlessMesh struct {
	target   *endlessTarget
	network  *countingNetwork
	from, to *node
}

func newEndlessMesh(t *testing.T, form endlessForm, dripped, local bool) *endlessMesh {
	target := newEndlessTarget(t, form, dripped)
	address := target.listener.Addr().String()
	network := &countingNetwork{address: address}
	oneAttempt := func(service *publish.Service, route *publish.Route) {
		route.Retries, route.Deadline = 0, time.Hour
		service.QueueTimeout = route.Deadline
	}
	m := newMesh(t, 2, config(oneAttempt), func(_ int, o *call.Options) { o.Dial = network.dial })
	e := &endlessMesh{target: target, network: network, from: m.nodes[1], to: m.nodes[0]}
	if local {
		e.from = e.to
	}
	e.to.address.Store(&address)
	e.from.routeOnlyTo(e.to)
	return e
}

// call sends a call that has a deadline and keeps only the start of the body.
func (e *endlessMesh) call(t *testing.T, ctx context.Context, deadline string) (result, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.from.callers.URL+"/"+lookups, nil)
	assert.NilError(t, err)
	request.Header.Set(call.HeaderDeadline, deadline)
	response, err := e.from.callers.Client().Do(request)
	if err != nil {
		return result{}, err
	}
	defer response.Body.Close()
	start, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	_, bodyErr := io.Copy(io.Discard, response.Body)
	return result{response.StatusCode, response.Header, response.Trailer, start, bodyErr}, nil
}

// assertReleased waits until the target has lost its connection and the slot is
// free, and sends a call to the target, which has recovered.
func (e *endlessMesh) assertReleased(t *testing.T) {
	t.Helper()
	e.target.recover()
	eventually(t, "the slot is free", func() bool { return e.to.server.Load().Busy == 0 })
	eventually(t, "the connection is closed", func() bool { return e.target.open.Load() == 0 })
	got := e.from.get(t, lookups)
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, string(got.body), "ok")
}

// forEachEndlessForm runs a test for each form, rate and path.
func forEachEndlessForm(t *testing.T, test func(t *testing.T, e *endlessMesh, form endlessForm, expected ending)) {
	for _, form := range endlessForms {
		for _, path := range []struct {
			name           string
			local, dripped bool
		}{
			{"fast at its own host", true, false}, {"dripped at its own host", true, true},
			{"fast at another host", false, false}, {"dripped at another host", false, true},
		} {
			t.Run(form.name+" "+path.name, func(t *testing.T) {
				expected := form.fast
				if path.dripped {
					t.Parallel()
					expected = form.dripped
				}
				test(t, newEndlessMesh(t, form, path.dripped, path.local), form, expected)
			})
		}
	}
}

// Bytes without end make no complete success and keep no slot and no connection.
func TestEndlessBytesOfTargetEndWithTruthfulOutcome(t *testing.T) {
	forEachEndlessForm(t, func(t *testing.T, e *endlessMesh, form endlessForm, expected ending) {
		deadline := farDeadline
		if expected == endsByDeadline {
			deadline = nearDeadline
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		got, err := e.call(t, ctx, deadline)
		assert.NilError(t, ctx.Err(), "the call has not ended: %v", err)
		if expected != endsByDeadline || !errors.Is(err, io.EOF) {
			assert.NilError(t, err)
			assertEndlessResult(t, got, expected)
		}
		if expected != endsByDeadline {
			assert.Assert(t, e.network.read.Load() <= maxHeadRead, "%d bytes read", e.network.read.Load())
		}
		assert.Equal(t, e.target.requests.Load(), int64(1))
		e.assertReleased(t)
	})
}

func assertEndlessResult(t *testing.T, got result, expected ending) {
	t.Helper()
	switch {
	case expected == endsWhole:
		assert.NilError(t, got.bodyErr)
		assert.Assert(t, got.status == http.StatusNoContent || string(got.body) == "ok", "%d %q", got.status, got.body)
	case got.bodyErr != nil:
	case expected == endsAtOnce:
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, got.outcome(), string(call.Unknown))
	default:
		assert.Assert(t, got.status == http.StatusGatewayTimeout || got.status == http.StatusBadGateway, "%d", got.status)
		assert.Equal(t, got.outcome(), string(call.Unknown))
	}
}

// A head that the daemon of a target accepts reaches callers of other hosts.
func TestLongHeadOfTargetPassesBothHops(t *testing.T) {
	const lines = 21_000
	form := endlessForm{start: okHead + "Content-Length: 2\r\n" + strings.Repeat("A:\n", lines) + "\r\nok"}
	e := newEndlessMesh(t, form, false, false)
	got := e.from.get(t, lookups)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, string(got.body), "ok")
	assert.Equal(t, len(got.header["A"]), lines)
}

// Bytes after a response are no response to a later call and make none fail.
func TestBytesAfterResponseReachNoLaterCall(t *testing.T) {
	const callers, callsEach = 6, 200
	for _, rest := range []string{okHead + "Content-Length: 5\r\n\r\nother", "a"} {
		e := newEndlessMesh(t, endlessForm{start: okResponse, rest: rest}, false, true)
		var tasks conc.WaitGroup
		for range callers {
			tasks.Go(func() {
				for range callsEach {
					got, err := e.from.do(t, t.Context(), http.MethodGet, lookups, nil)
					assert.Check(t, err)
					assert.Check(t, string(got.body) == "ok", "%d %s", got.status, got.body)
				}
			})
		}
		tasks.Wait()
		assert.Equal(t, e.target.requests.Load(), int64(callers*callsEach))
	}
}

// A call with a key ends whole or as unknown, and reads at most what may be stored.
func TestEndlessBytesOfTargetEndCallsWithKeys(t *testing.T) {
	const maxRead = 1<<20 + 128<<10
	forEachEndlessForm(t, func(t *testing.T, e *endlessMesh, form endlessForm, expected ending) {
		deadline := farDeadline
		if e.target.dripped && expected == endsByDeadline {
			deadline = nearDeadline
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		got, err := e.from.do(t, ctx, http.MethodPost, orders, strings.NewReader("order"), call.HeaderKey, newKey(t), call.HeaderDeadline, deadline)
		assert.NilError(t, err)
		assert.NilError(t, got.bodyErr)
		assertEndlessResult(t, got, expected)
		assert.Assert(t, e.network.read.Load() <= maxRead, "%d bytes read", e.network.read.Load())
		assert.Equal(t, e.target.requests.Load(), int64(1))
		e.assertReleased(t)
	})
}

// A caller that leaves ends the bytes long before its deadline.
func TestCallerThatLeavesEndsEndlessBytes(t *testing.T) {
	forEachEndlessForm(t, func(t *testing.T, e *endlessMesh, form endlessForm, expected ending) {
		if expected != endsByDeadline {
			return
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var tasks conc.WaitGroup
		tasks.Go(func() {
			_, err := e.call(t, ctx, farDeadline)
			assert.Check(t, err == nil || errors.Is(err, context.Canceled), "%v", err)
		})
		eventually(t, "the target sends", func() bool { return e.target.sent.Load() > 0 })
		cancel()
		tasks.Wait()
		e.assertReleased(t)
	})
}

// endlessStream starts a call whose response has a body without end.
func (e *endlessMesh) endlessStream(t *testing.T) *http.Response {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, e.from.callers.URL+"/"+lookups, nil)
	assert.NilError(t, err)
	request.Header.Set(call.HeaderDeadline, farDeadline)
	response, err := e.from.callers.Client().Do(request)
	assert.NilError(t, err)
	return response
}

// A daemon holds a bounded part of a body, however much of it has passed.
func TestEndlessBodyIsNotHeldInMemory(t *testing.T) {
	const passed, maxHeld = 64 << 20, 16 << 20
	form := endlessForm{start: okHead + "\r\n", rest: "a"}
	for _, local := range []bool{true, false} {
		e := newEndlessMesh(t, form, false, local)
		before := heapBytes()
		response := e.endlessStream(t)
		_, err := io.CopyN(io.Discard, response.Body, passed)
		assert.NilError(t, err)
		held := heapBytes() - before
		assert.Assert(t, held <= maxHeld, "%d bytes held", held)
		_ = response.Body.Close()
		e.assertReleased(t)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A stop does not wait for an endless body, and its caller does not take it for whole.
func TestEndlessBodyDoesNotOutlastStop(t *testing.T) {
	e := newEndlessMesh(t, endlessForm{start: chunkedHead, rest: "1\r\na\r\n"}, true, true)
	response := e.endlessStream(t)
	defer response.Body.Close()
	ended, end := context.WithCancel(t.Context())
	end()
	e.to.server.Drain()
	assert.ErrorContains(t, e.to.server.Shutdown(ended), "1 calls in progress")
	assert.NilError(t, e.to.server.Abort(t.Context()))
	_, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil)
	eventually(t, "the slot is free", func() bool { return e.to.server.Load().Busy == 0 })
	eventually(t, "the connection is closed", func() bool { return e.target.open.Load() == 0 })
}
