package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// TrafficClass is a class of control traffic that is counted separately.
type TrafficClass struct {
	// Kind names the component that uses the connection, such as "distribute".
	Kind  string
	Scope Scope
}

// ByteCounts counts the bytes of one class.
type ByteCounts struct {
	Sent     uint64
	Received uint64
}

// TrafficCounter counts the bytes of control traffic by class.
type TrafficCounter struct {
	mu      sync.Mutex
	classes map[TrafficClass]*classCounter
}

type classCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// NewTrafficCounter returns a TrafficCounter without any classes.
func NewTrafficCounter() *TrafficCounter {
	return &TrafficCounter{classes: make(map[TrafficClass]*classCounter)}
}

// Snapshot returns the current byte counts of every class.
func (t *TrafficCounter) Snapshot() map[TrafficClass]ByteCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := make(map[TrafficClass]ByteCounts, len(t.classes))
	for class, counter := range t.classes {
		totals[class] = ByteCounts{Sent: counter.sent.Load(), Received: counter.received.Load()}
	}
	return totals
}

// Add counts bytes of a class that do not pass through a connection of WrapConn.
func (t *TrafficCounter) Add(class TrafficClass, sent, received int) {
	counter := t.counterFor(class)
	counter.sent.Add(uint64(sent))
	counter.received.Add(uint64(received))
}

// WrapConn returns a connection that counts the bytes of conn under a class.
func (t *TrafficCounter) WrapConn(conn net.Conn, class TrafficClass) net.Conn {
	return &countingConn{Conn: conn, counter: t.counterFor(class)}
}

// counterFor returns the counter of a class and creates it if needed.
func (t *TrafficCounter) counterFor(class TrafficClass) *classCounter {
	t.mu.Lock()
	defer t.mu.Unlock()
	counter, ok := t.classes[class]
	if !ok {
		counter = &classCounter{}
		t.classes[class] = counter
	}
	return counter
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	counter *classCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
