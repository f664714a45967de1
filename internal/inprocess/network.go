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

// Platform stands for the place of the log in cuts.
const Platform = "platform"

// link joins two zones, or a zone and the platform.
type link struct{ a, b string }

// Network carries the connections between daemons and can cut zones off from
// each other. Over a cut link, new connections do not open and open ones go
// silent: nothing passes and nothing is closed.
type Network struct {
	mu    sync.Mutex
	zones map[string]string
	cuts  map[link]bool
	// changed is closed when the cuts next change.
	changed chan struct{}
}

func newNetwork() *Network {
	return &Network{zones: map[string]string{}, cuts: map[link]bool{}, changed: make(chan struct{})}
}

// Cut takes away the link between two zones, or a zone and Platform.
func (n *Network) Cut(a, b string) {
	n.change(func() {
		n.cuts[link{a, b}] = true
		n.cuts[link{b, a}] = true
	})
}

// Heal gives back every link.
func (n *Network) Heal() { n.change(func() { clear(n.cuts) }) }

func (n *Network) change(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

// place notes the zone of a daemon's addresses.
func (n *Network) place(listen settings.Listen, zone string) {
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

// state reports whether a link is cut and when that may change.
func (n *Network) state(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l], n.changed
}

// pass waits until a link carries. It returns false when done is closed first.
func (n *Network) pass(l link, done ...<-chan struct{}) bool {
	var first, second <-chan struct{}
	if len(done) > 0 {
		first = done[0]
	}
	if len(done) > 1 {
		second = done[1]
	}
	for {
		cut, changed := n.state(l)
		if !cut {
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

// dial returns the function by which daemons of a zone open connections.
func (n *Network) dial(zone string) peer.DialFunc {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l := link{zone, n.zoneOf(address)}
		if !n.pass(l, ctx.Done()) {
			return nil, ctx.Err()
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: conn, network: n, link: l, closed: make(chan struct{})}, nil
	}
}

// linkConn is a connection over a link that may be cut.
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

// wait holds bytes back while the link is cut.
func (c *linkConn) wait() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		if !c.network.pass(c.link, c.closed) {
			return net.ErrClosed
		}
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !c.network.pass(c.link, c.closed, ctx.Done()) {
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

// log returns the log as daemons of a zone reach it. Over a cut link requests
// go unanswered.
func (n *Network) log(zone string, log platform.Log) platform.Log {
	return &linkLog{log: log, network: n, link: link{zone, Platform}}
}

type linkLog struct {
	log     platform.Log
	network *Network
	link    link
}

func (l *linkLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	if !l.network.pass(l.link, ctx.Done()) {
		return 0, platform.ErrUnknown
	}
	offset, err := l.log.Append(ctx, stream, payload)
	if !l.network.pass(l.link, ctx.Done()) {
		return 0, platform.ErrUnknown
	}
	return offset, err
}

func (l *linkLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	if !l.network.pass(l.link, ctx.Done()) {
		return platform.ReadResult{}, ctx.Err()
	}
	result, err := l.log.Read(ctx, stream, from, wait)
	if !l.network.pass(l.link, ctx.Done()) {
		return platform.ReadResult{}, ctx.Err()
	}
	return result, err
}
