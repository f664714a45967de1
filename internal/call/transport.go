package call

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/responsehead"
)

const (
	// dialTimeout is the time limit for opening one connection.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 90 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
	// maxTargetHeadBytes limits the head of a target's response, together with the
	// informational responses before it.
	maxTargetHeadBytes = 64 << 10
	// maxPeerHeadBytes limits the head of another daemon's response. It is higher,
	// so that a head that one daemon accepted is not too long for the next one,
	// which gets it with line ends of two bytes and with headers of the mesh.
	maxPeerHeadBytes = 2*maxTargetHeadBytes + 4<<10
)

// DialFunc opens a TCP connection. Tests replace it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// transports are the connections to targets or to daemons.
type transports struct {
	// pooled keeps connections for later requests, unpooled opens one for each.
	pooled, unpooled *http.Transport
	silent           *silentAddresses
}

func newTransports(dial DialFunc, connections int, headBytes int64) transports {
	silent := newSilentAddresses()
	unpooled := newTransport(dial, connections, headBytes, silent)
	unpooled.DisableKeepAlives = true
	return transports{pooled: newTransport(dial, connections, headBytes, silent), unpooled: unpooled, silent: silent}
}

// newTransport returns a transport with at most the given number of connections
// per address and of bytes in the head of a response.
func newTransport(dial DialFunc, connections int, headBytes int64, silent *silentAddresses) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, dialError(err)
			}
			return newTrackedConn(conn, address, silent), nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headBytes,
	}
}

// dialError returns the error of a failed dial. One that timed out must not be taken
// for one of a call that has reached its deadline.
func dialError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %v", errDialTimeout, err)
	}
	return err
}

// errDialTimeout is the error of a dial that took longer than dialTimeout.
var errDialTimeout = errors.New("dial timed out")

// Errors of connections on which a request must not be written, or was not.
var (
	errWritesBlocked   = errors.New("writes on this connection are blocked")
	errUnexpectedBytes = errors.New("bytes arrived before the request was sent")
)

// trackedConn counts the bytes written, so that a request that was certainly not
// sent can be told from one that may have been, and refuses a request if bytes have
// arrived that belong to no request.
type trackedConn struct {
	net.Conn
	address string
	silent  *silentAddresses

	mu sync.Mutex
	// changed is signalled when a read begins and when the connection is closed.
	changed       sync.Cond
	bytesWritten  uint64
	bytesRead     uint64
	reading       bool
	closed        bool
	writesBlocked bool
	// readBefore is bytesRead when the request that comes next got the connection;
	// requestPending is set until its first write.
	readBefore     uint64
	requestPending bool
	// lastRead is when bytes were last read, at first when the connection was opened.
	lastRead time.Time
	// head checks the head of the response that comes next, or came last.
	head responsehead.Checker
	// writing is set during a write, writeFailed once one has failed.
	writing, writeFailed bool
}

func newTrackedConn(conn net.Conn, address string, silent *silentAddresses) *trackedConn {
	c := &trackedConn{Conn: conn, address: address, silent: silent, lastRead: time.Now()}
	c.changed.L = &c.mu
	return c
}

// beginRequest prepares the connection for a request and returns the number of bytes
// written before. It waits until the transport reads: while that has bytes left that
// follow an earlier response, it does not read but closes the connection. A connection
// that may be dead is blocked.
func (c *trackedConn) beginRequest() (offset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	if c.silent.suspects(c.address, c.lastRead) {
		c.writesBlocked = true
	}
	c.readBefore, c.requestPending = c.bytesRead, true
	c.head.Reset()
	return c.bytesWritten
}

// headError returns what is wrong with the head of the response that came last.
func (c *trackedConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}

// readNothing reports whether nothing was read since the last request began.
func (c *trackedConn) readNothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead == c.readBefore
}

func (c *trackedConn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 {
		c.bytesRead += uint64(n)
		c.lastRead = time.Now()
		c.head.Consume(p[:n])
	}
	if err == io.EOF && c.head.EndsWithConnection() && c.wasReset() {
		return n, syscall.ECONNRESET
	}
	return n, err
}

func (c *trackedConn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.changed.Broadcast()
}

func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Write counts p before writing it, so that the count is never too low.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.count(len(p)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.writeFailed = c.writeFailed || err != nil
	c.changed.Broadcast()
	return n, err
}

func (c *trackedConn) count(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBlocked || c.closed {
		return errWritesBlocked
	}
	if c.requestPending && c.bytesRead != c.readBefore {
		c.writesBlocked = true
		return errUnexpectedBytes
	}
	c.requestPending = false
	c.bytesWritten += uint64(n)
	c.writing = true
	return nil
}

// blockWritesIfAt blocks further writes if nothing has been written since an
// offset, and reports whether that is so.
func (c *trackedConn) blockWritesIfAt(offset uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytesWritten != offset {
		return false
	}
	c.writesBlocked = true
	return true
}

// trackedBody is the body of a response together with the tracker of its request.
type trackedBody struct {
	io.ReadCloser
	tracker *writeTracker
}

// closeConnection closes a response and its connection, so that nothing that still
// arrives on it is taken for the response to a later request.
func closeConnection(response *http.Response) {
	if body, ok := response.Body.(*trackedBody); ok {
		body.tracker.closeConns()
	}
	_ = response.Body.Close()
}

// headError returns what is wrong with the head of the response to the request.
func (t *writeTracker) headError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) == 0 {
		return nil
	}
	return t.conns[len(t.conns)-1].headError()
}

// closeConns closes the connections that the request was given.
func (t *writeTracker) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		_ = conn.Close()
	}
}

// writeTracker tracks whether bytes of one request were written to a connection.
type writeTracker struct {
	// admit reports whether the request may use a connection that it gets. It is nil
	// if it may use any.
	admit func() bool

	mu        sync.Mutex
	conns     []*trackedConn
	offsets   []uint64
	untracked bool
	// reused says that the last connection had been used before, idle for how long
	// it had been idle, acquired when the request got it.
	reused   bool
	idle     time.Duration
	acquired time.Time
}

// trace returns a context under which a request is tracked. onWrite is called once
// the headers of the request have been written.
func (t *writeTracker) trace(ctx context.Context, onWrite func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      t.gotConn,
		WroteHeaders: onWrite,
	})
}

func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	var offset uint64
	if ok {
		offset = conn.beginRequest()
	}
	if t.admit != nil && !t.admit() {
		_ = info.Conn.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reused, t.idle, t.acquired = info.Reused, info.IdleTime, time.Now()
	if !ok {
		t.untracked = true
		return
	}
	t.conns = append(t.conns, conn)
	t.offsets = append(t.offsets, offset)
}

// failure describes the request after it got no response.
func (t *writeTracker) failure() sendFailure {
	mayHaveSent := t.mayHaveWritten()
	t.mu.Lock()
	defer t.mu.Unlock()
	return sendFailure{
		mayHaveSent: mayHaveSent,
		unanswered:  mayHaveSent && len(t.conns) > 0 && t.conns[len(t.conns)-1].readNothing(),
		reused:      t.reused,
		idle:        t.idle,
		acquired:    t.acquired,
		used:        time.Since(t.acquired),
	}
}

// mayHaveWritten reports whether a byte of the request may have been written.
// After it has returned false, none will be.
func (t *writeTracker) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untracked {
		return true
	}
	for i, conn := range t.conns {
		if !conn.blockWritesIfAt(t.offsets[i]) {
			return true
		}
		_ = conn.Close()
	}
	return false
}
