package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// Class tells control traffic apart for the byte counts.
type Class struct {
	// Kind names the slice, such as "distribute".
	Kind  string
	Scope Scope
}

// Bytes is the traffic of one class.
type Bytes struct {
	Sent     uint64
	Received uint64
}

// Traffic counts control bytes by class.
type Traffic struct {
	mu      sync.Mutex
	classes map[Class]*counter
}

type counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// NewTraffic returns a count of nothing.
func NewTraffic() *Traffic { return &Traffic{classes: make(map[Class]*counter)} }

// Snapshot returns the counts so far.
func (t *Traffic) Snapshot() map[Class]Bytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[Class]Bytes, len(t.classes))
	for class, count := range t.classes {
		totals[class] = Bytes{Sent: count.sent.Load(), Received: count.received.Load()}
	}
	return totals
}

// Add counts bytes of a class, for traffic that does not go through Count.
func (t *Traffic) Add(class Class, sent, received int) {
	count := t.class(class)
	count.sent.Add(uint64(sent))
	count.received.Add(uint64(received))
}

// Count returns conn with its bytes counted.
func (t *Traffic) Count(conn net.Conn, class Class) net.Conn {
	return &countedConn{Conn: conn, count: t.class(class)}
}

func (t *Traffic) class(class Class) *counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	count, ok := t.classes[class]
	if !ok {
		count = &counter{}
		t.classes[class] = count
	}
	return count
}

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	count *counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.sent.Add(uint64(n))
	return n, err
}
