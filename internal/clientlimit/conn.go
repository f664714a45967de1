package clientlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// baseCost is what a connection holds without a request: two buffers of 4 KiB and
	// the stacks of its tasks.
	baseCost = 16 << 10
	// headFactor is the memory of a head as a multiple of its length while it is
	// read, for one of very short fields.
	headFactor = 20
	// minBytes is what a client must send or read within a stall timeout.
	minBytes = 2 << 10
	// relistInterval bounds how often reads move a connection in its list.
	relistInterval = int64(10 * time.Millisecond)
)

// phase is what a connection waits for.
type phase int

const (
	// phaseWaiting is the phase until a request's head has been read.
	phaseWaiting phase = iota
	// phaseBody is the phase until the body has been read.
	phaseBody
	// phaseRunning is the phase after that until the answer has been written.
	phaseRunning
)

// Conn is a client's connection. Its fields are guarded by the mutex of the limiter.
type Conn struct {
	net.Conn
	limiter *Limiter
	pool    *pool
	// peer says that the connection is one between daemons. It never changes.
	peer bool

	in             *list
	previous, next *Conn

	held     int64
	phase    phase
	streamed bool
	// proven says that the connection has carried a whole request, or packet of a peer.
	proven bool
	// progress is the time of the last progress in Unix nanoseconds, moved that of the
	// last move in the list.
	progress, moved int64
	// reading and writing say that a read of a body or a write is in progress.
	reading, writing bool
	cut, closed      bool
	// blocked is the time for which reads of the body have waited since the client
	// last sent minBytes, received the number of bytes since then.
	blocked  time.Duration
	received int
	// readLimit and writeLimit are the deadlines that the server has set.
	readLimit, writeLimit time.Time
	// readArmed says that the deadline of a body is in force for reads.
	readArmed bool
	// writeArmed is the deadline in force for writes.
	writeArmed time.Time
}

// due returns when the connection is without progress compared with others.
func (c *Conn) due() int64 {
	if c.idle() {
		return c.progress + int64(idleGrant)
	}
	return c.progress
}

// idle reports whether the connection has carried a request and no byte of a further head
// has been read.
func (c *Conn) idle() bool {
	return !c.peer && c.proven && c.phase == phaseWaiting && c.held <= baseCost
}

// Read reads from the client. In a head it accounts what the head may take, in a body it
// fails if the client makes no progress.
func (c *Conn) Read(p []byte) (int, error) {
	if c.peer {
		return c.Conn.Read(p)
	}
	l := c.limiter
	var start time.Time
	l.mu.Lock()
	if c.cut {
		l.mu.Unlock()
		return 0, errCut
	}
	// A read of a single byte is that of net/http in the background. It may begin before
	// the phase of the body has ended.
	body := c.phase == phaseBody && len(p) > 1
	if body {
		start = time.Now()
		c.reading, c.progress = true, start.UnixNano()
		c.relistSometimes()
		c.applyReadLimit(start)
	}
	l.mu.Unlock()
	n, err := c.Conn.Read(p)
	var end time.Time
	if body || n > 0 {
		end = time.Now()
	}
	l.mu.Lock()
	var cut []*Conn
	stalled := false
	if body {
		c.reading = false
		stalled = c.observeBody(n, end.Sub(start)) && !c.cut && c.phase == phaseBody
	}
	// What a connection holds is given back when it is closed, also during the read.
	if n > 0 && !c.closed {
		c.progress = end.UnixNano()
		if c.phase == phaseWaiting {
			cut = l.setHeld(c, c.held+int64(n)*headFactor)
			c.relist()
		}
	}
	if stalled {
		l.markCut(c)
	}
	wasCut := c.cut
	l.mu.Unlock()
	l.closeAll(cut)
	if stalled {
		c.abort()
		l.count(c, reasonStalled)
	}
	if wasCut && err == nil {
		// The request whose head or body this is has not been passed on in full.
		return 0, errCut
	}
	return n, err
}

// observeBody records a read of a body and reports whether the client makes no progress.
func (c *Conn) observeBody(n int, waited time.Duration) bool {
	c.received += n
	c.blocked += waited
	if c.received >= minBytes {
		c.received, c.blocked = 0, 0
	}
	return c.blocked >= c.limiter.stall
}

func (c *Conn) relistSometimes() {
	if c.in != nil && c.progress-c.moved >= relistInterval {
		c.moved = c.progress
		c.relist()
	}
}

// applyReadLimit sets the earlier one of the server's deadline and that of a body.
func (c *Conn) applyReadLimit(now time.Time) {
	limit := c.readLimit
	c.readArmed = c.phase == phaseBody && c.reading
	if c.readArmed {
		stall := now.Add(c.limiter.stall - c.blocked)
		if limit.IsZero() || stall.Before(limit) {
			limit = stall
		}
	}
	if c.cut {
		limit = time.Unix(1, 0)
	}
	_ = c.Conn.SetReadDeadline(limit)
}

// SetReadDeadline sets the deadline of the server, which holds beside that of a body.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.peer {
		return c.Conn.SetReadDeadline(t)
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.readLimit = t
	if c.phase != phaseBody && !c.cut {
		// No deadline of a body is in force, so that this needs no clock.
		c.readArmed = false
		return c.Conn.SetReadDeadline(t)
	}
	c.applyReadLimit(time.Now())
	return nil
}

// Write writes to the client and fails if the client does not read.
func (c *Conn) Write(p []byte) (int, error) {
	if c.peer {
		return c.Conn.Write(p)
	}
	l := c.limiter
	start := time.Now()
	l.mu.Lock()
	if c.cut && c.phase != phaseBody {
		l.mu.Unlock()
		return 0, errCut
	}
	c.writing, c.progress = true, start.UnixNano()
	c.relist()
	// Longer writes get more time: one stall timeout for each 32 KiB.
	limit := start.Add(l.stall + l.stall*time.Duration(len(p))/(32<<10))
	if c.writeArmed.IsZero() || c.writeArmed.Before(limit) {
		c.armWrite(limit.Add(l.stall / 2))
	}
	l.mu.Unlock()
	n, err := c.Conn.Write(p)
	l.mu.Lock()
	c.writing = false
	c.relist()
	stalled := errors.Is(err, os.ErrDeadlineExceeded) && !c.cut
	l.mu.Unlock()
	if stalled {
		l.count(c, reasonStalled)
	}
	return n, err
}

// armWrite sets the earlier one of a limit and the server's deadline.
func (c *Conn) armWrite(limit time.Time) {
	if !c.writeLimit.IsZero() && c.writeLimit.Before(limit) {
		_ = c.Conn.SetWriteDeadline(c.writeLimit)
		c.writeArmed = time.Time{}
		return
	}
	_ = c.Conn.SetWriteDeadline(limit)
	c.writeArmed = limit
}

// SetWriteDeadline sets the deadline of the server, which holds beside that of Write.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.peer {
		return c.Conn.SetWriteDeadline(t)
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if t.IsZero() && c.writeLimit.IsZero() {
		// net/http sets none before each request. That of Write stays, so that not each
		// request sets it anew.
		return nil
	}
	c.writeLimit, c.writeArmed = t, time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// NetConn returns the connection within.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn gives access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// CloseWrite ends the sending side, as net/http does before it closes a connection whose
// client may still be sending.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// abort ends a connection that was cut. While a body is read, only the reads fail, so
// that the client still gets a response.
func (c *Conn) abort() {
	c.limiter.mu.Lock()
	body := c.phase == phaseBody
	if body {
		c.applyReadLimit(time.Now())
	}
	c.limiter.mu.Unlock()
	if !body {
		_ = c.Close()
	}
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	l := c.limiter
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		c.unlink()
		c.pool.open--
		l.held -= c.held
		if c.cut {
			l.closing -= c.held
		} else if c.peer {
			l.peersHeld -= c.held
		}
		c.held = 0
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// setPhase changes the phase and what the connection holds.
func (c *Conn) setPhase(next phase, streamed bool, held int64) {
	l := c.limiter
	now := time.Now()
	l.mu.Lock()
	if c.closed {
		l.mu.Unlock()
		return
	}
	c.proven = c.proven || next == phaseWaiting
	c.phase, c.streamed, c.progress = next, streamed, now.UnixNano()
	c.blocked, c.received = 0, 0
	if c.readArmed && next != phaseBody {
		// The server goes on reading in the background to notice a client that
		// disconnects. A deadline that passes there would cancel the request.
		c.applyReadLimit(now)
	}
	if next == phaseRunning {
		// A request that runs is not cut, not for its own holding either.
		c.unlink()
	}
	cut := l.setHeld(c, held)
	c.relist()
	l.mu.Unlock()
	l.closeAll(cut)
}

// connKey is the key of a Conn in the context of its requests.
type connKey struct{}

// ConnContext makes the connection known to Handler. It is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrap(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ObserveState follows a connection between requests. It is meant for
// http.Server.ConnState.
func ObserveState(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c := unwrap(conn); c != nil {
		c.setPhase(phaseWaiting, false, baseCost)
	}
}

// unwrap returns the Conn in a connection, which may be within one of TLS.
func unwrap(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
