package inprocess

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// Platform names the log in partitions.
const Platform = "platform"

// link is the link between two zones, or between a zone and the platform.
type link struct{ a, b string }

// Network simulates the network between daemons and can partition zones. Across a
// partition, new connections are not established, and open ones transfer nothing
// but are not closed.
type Network struct {
	mu         sync.Mutex
	zones      map[string]string
	partitions map[link]bool
	// changed is closed when partitions changes next.
	changed chan struct{}
}

func newNetwork() *Network {
	return &Network{zones: map[string]string{}, partitions: map[link]bool{}, changed: make(chan struct{})}
}

// Partition cuts the link between two zones, or between a zone and Platform.
func (n *Network) Partition(a, b string) {
	n.update(func() {
		n.partitions[link{a, b}] = true
		n.partitions[link{b, a}] = true
	})
}

// Heal restores all links.
func (n *Network) Heal() { n.update(func() { clear(n.partitions) }) }

func (n *Network) update(mutate func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	mutate()
	close(n.changed)
	n.changed = make(chan struct{})
}

// setZone records the zone of a daemon's addresses.
func (n *Network) setZone(listen settings.Listen, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[listen.Control] = zone
	n.zones[listen.Calls] = zone
}

func (n *Network) zoneOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[address]
}

// isPartitioned reports whether a link is partitioned. changed is closed when
// that may change.
func (n *Network) isPartitioned(l link) (partitioned bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[l], n.changed
}

// awaitLink waits until a link is not partitioned. It returns false if one of the
// done channels is closed first; at most two are used.
func (n *Network) awaitLink(l link, done ...<-chan struct{}) bool {
	var first, second <-chan struct{}
	if len(done) > 0 {
		first = done[0]
	}
	if len(done) > 1 {
		second = done[1]
	}
	for {
		partitioned, changed := n.isPartitioned(l)
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-first:
			return false
		case <-second:
			return false
		}
	}
}

// dial returns the dial function for daemons of a zone.
func (n *Network) dial(zone string) peer.DialFunc {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l := link{zone, n.zoneOf(address)}
		if !n.awaitLink(l, ctx.Done()) {
			return nil, ctx.Err()
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: conn, network: n, link: l, closed: make(chan struct{})}, nil
	}
}

// linkConn is a connection over a link that may be partitioned.
type linkConn struct {
	net.Conn
	network *Network
	link    link
	once    sync.Once
	closed  chan struct{}

	mu       sync.Mutex
	deadline time.Time
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	if err := c.wait(); err != nil {
		return 0, err
	}
	return n, nil
}

func (c *linkConn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// wait blocks while the link is partitioned, until the deadline or the connection
// is closed.
func (c *linkConn) wait() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		if !c.network.awaitLink(c.link, c.closed) {
			return net.ErrClosed
		}
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !c.network.awaitLink(c.link, c.closed, ctx.Done()) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *linkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// log returns the log as seen by daemons of a zone. Requests across a partition
// get no response.
func (n *Network) log(zone string, log platform.Log) platform.Log {
	return &linkLog{log: log, network: n, link: link{zone, Platform}}
}

type linkLog struct {
	log     platform.Log
	network *Network
	link    link
}

func (l *linkLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	if !l.network.awaitLink(l.link, ctx.Done()) {
		return 0, platform.ErrUnknown
	}
	offset, err := l.log.Append(ctx, stream, payload)
	if !l.network.awaitLink(l.link, ctx.Done()) {
		return 0, platform.ErrUnknown
	}
	return offset, err
}

func (l *linkLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	if !l.network.awaitLink(l.link, ctx.Done()) {
		return platform.ReadResult{}, ctx.Err()
	}
	result, err := l.log.Read(ctx, stream, from, wait)
	if !l.network.awaitLink(l.link, ctx.Done()) {
		return platform.ReadResult{}, ctx.Err()
	}
	return result, err
}
