package clientlimit

import (
	"fmt"
	"math/bits"
	"net"
	"os"
	"time"
)

const (
	// sizes is the number of size classes; one covers a factor of two.
	sizes = 14
	// streamSize is the class of a connection with a streamed body.
	streamSize = 3
	// smallest is the largest holding of class 0 in bytes.
	smallest = 16 << 10
)

// sizeOf returns the size class of a holding in bytes.
func sizeOf(held int64) int {
	return min(bits.Len64(uint64(held-1)/smallest), sizes-1)
}

// pool holds the connections of one listener.
type pool struct {
	name string
	// ofPeers says that the connections are those between daemons.
	ofPeers bool
	// max is the limit on open connections.
	max, open int
	// bySize, idle and streams hold the connections that may be cut, each by the time
	// of their last progress.
	bySize        [sizes]list
	idle, streams list
	// peers holds those between daemons that are not cut for want of memory, the newest
	// last. largePeers holds those that have sent a longer packet.
	peers      list
	largePeers [sizes]list
}

// list is a doubly linked list of connections.
type list struct{ first, last *Conn }

func (l *list) push(c *Conn) {
	c.in, c.previous, c.next = l, l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

// unlink takes the connection out of its list.
func (c *Conn) unlink() {
	if c.in == nil {
		return
	}
	if c.previous == nil {
		c.in.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		c.in.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.in, c.previous, c.next = nil, nil, nil
}

// relist puts the connection at the end of the list to which it belongs now. A
// connection whose request runs is in none.
func (c *Conn) relist() {
	c.unlink()
	if c.cut || c.closed {
		return
	}
	switch {
	case c.phase == phaseRunning && !c.writing:
	case c.peer && c.proven && c.held <= baseCost+peerAllowance:
		c.pool.peers.push(c)
	case c.peer && c.proven:
		c.pool.largePeers[sizeOf(c.held)].push(c)
	case c.idle():
		c.pool.idle.push(c)
	case c.phase == phaseBody && c.streamed:
		c.pool.streams.push(c)
	default:
		c.pool.bySize[sizeOf(c.held)].push(c)
	}
}

// slowest returns the connection of the pool that is cut when another one cannot be
// accepted, nil if all have a running request.
func (p *pool) slowest() *Conn {
	victim := older(p.idle.first, p.streams.first)
	for i := range p.bySize {
		victim = older(victim, p.bySize[i].first)
	}
	if victim == nil {
		victim = p.peers.last
	}
	for i := 0; victim == nil && i < len(p.largePeers); i++ {
		victim = p.largePeers[i].last
	}
	return victim
}

// Listener accepts connections within the limit of its pool.
type Listener struct {
	net.Listener
	limiter *Limiter
	pool    *pool
}

// Listen wraps a listener. share is the share of the descriptors that its connections
// may use.
func (l *Limiter) Listen(listener net.Listener, name string, share float64) *Listener {
	limit := max(int(share*float64(l.descriptors-reservedFiles)), 1)
	p := &pool{name: name, max: limit}
	l.mu.Lock()
	l.pools = append(l.pools, p)
	l.mu.Unlock()
	return &Listener{Listener: listener, limiter: l, pool: p}
}

// Accept waits for a connection. If the limit is reached, it closes the connection
// without progress for the longest time, or else the new one.
func (a *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := a.admit(raw); c != nil {
			return c, nil
		}
	}
}

func (a *Listener) admit(raw net.Conn) *Conn {
	l := a.limiter
	c := &Conn{Conn: raw, limiter: l, pool: a.pool, peer: a.pool.ofPeers, progress: time.Now().UnixNano()}
	l.mu.Lock()
	var victim *Conn
	if l.isFull(a.pool) {
		victim = l.descriptorVictim(a.pool)
		if victim == nil {
			l.mu.Unlock()
			_ = raw.Close()
			l.count(c, reasonConnections)
			return nil
		}
		l.markCut(victim)
	}
	a.pool.open++
	cut := l.setHeld(c, baseCost)
	c.relist()
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Close()
		l.count(victim, reasonConnections)
	}
	l.closeAll(cut)
	return c
}

// errCut is the error of a connection that was cut. It counts as a timeout, so that a
// request whose body was not read is refused with 408.
var errCut = fmt.Errorf("connection cut by the limits on clients: %w", os.ErrDeadlineExceeded)
