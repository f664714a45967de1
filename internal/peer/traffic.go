package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// TrafficClass tells control traffic apart for the byte counts.
type TrafficClass struct {
	// Kind names the slice, such as "distribute".
	Kind  string
	Scope Scope
}

// ByteCounts is the traffic of one class.
type ByteCounts struct {
	Sent     uint64
	Received uint64
}

// TrafficCounter counts control bytes by class.
type TrafficCounter struct {
	mu      sync.Mutex
	classes map[TrafficClass]*counter
}

type counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// NewTrafficCounter returns a count of nothing.
func NewTrafficCounter() *TrafficCounter {
	return &TrafficCounter{classes: make(map[TrafficClass]*counter)}
}

// Snapshot returns the counts so far.
func (t *TrafficCounter) Snapshot() map[TrafficClass]ByteCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[TrafficClass]ByteCounts, len(t.classes))
	for class, count := range t.classes {
		totals[class] = ByteCounts{Sent: count.sent.Load(), Received: count.received.Load()}
	}
	return totals
}

// Add counts bytes of a class, for traffic that does not go through Count.
func (t *TrafficCounter) Add(class TrafficClass, sent, received int) {
	count := t.class(class)
	count.sent.Add(uint64(sent))
	count.received.Add(uint64(received))
}

// WrapConn returns conn with its bytes counted.
func (t *TrafficCounter) WrapConn(conn net.Conn, class TrafficClass) net.Conn {
	return &countedConn{Conn: conn, count: t.class(class)}
}

func (t *TrafficCounter) class(class TrafficClass) *counter {
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
