package clientlimit

import (
	"net"
	"slices"
	"time"
)

const (
	// packetFactor is the memory of a packet as a multiple of its length: it is copied
	// each time it has grown by a quarter, and the copies stay until they are collected.
	packetFactor = 6
	// peerAllowance is what a peer that has sent a whole packet may hold without being cut
	// for want of memory, as long as peers hold no more than a part of the budget.
	peerAllowance = 128 << 10
	// peerDivisor divides the budget into that part.
	peerDivisor = 4
)

// ListenPeers wraps a listener for connections between daemons. They are in the same budget
// as those of Listen. One that has sent a whole packet is cut for want of descriptors only if
// all such connections use up the listener's share and the other listeners need theirs. One
// that holds no more than peerAllowance is cut for want of memory only if peers hold more
// than a part of the budget while it is exceeded. In both cases the newest is cut.
func (l *Limiter) ListenPeers(listener net.Listener, name string, share float64) *Listener {
	a := l.Listen(listener, name, share)
	a.pool.ofPeers = true
	return a
}

// ObservePacket accounts the packet that is being received: its bytes so far, and whether
// its end has been received.
func (c *Conn) ObservePacket(length int, whole bool) {
	held := int64(baseCost + packetFactor*length)
	l := c.limiter
	l.mu.Lock()
	if c.closed || c.cut || held <= c.held && !(whole && !c.proven) {
		l.mu.Unlock()
		return
	}
	c.proven, c.progress = c.proven || whole, time.Now().UnixNano()
	cut := l.setHeld(c, max(held, c.held))
	if c.in != &c.pool.peers || c.held > baseCost+peerAllowance {
		// A peer in that list keeps its place, which is that of its age.
		c.relist()
	}
	l.mu.Unlock()
	l.closeAll(cut)
}

// peerVictim returns the connection between daemons that is cut when the memory is short
// and they hold more than their part, nil if they do not. l.mu must be held.
func (l *Limiter) peerVictim() *Conn {
	if l.peersHeld <= l.budget/peerDivisor {
		return nil
	}
	for _, p := range l.pools {
		if !p.ofPeers {
			continue
		}
		for size := sizes - 1; size >= 0; size-- {
			if victim := older(p.bySize[size].first, p.largePeers[size].first); victim != nil {
				return victim
			}
		}
		if victim := p.peers.last; victim != nil {
			return victim
		}
	}
	return nil
}

// isFull reports whether a connection must be closed before the pool gets another one: it
// has used up its share, or connections between daemons use a part of it. l.mu must be held.
func (l *Limiter) isFull(p *pool) bool {
	if p.open < p.max {
		return l.lent(p) != nil
	}
	return !p.ofPeers || p.hasUnproven() || l.unused() <= 0
}

// hasUnproven reports whether a connection has not sent a whole packet.
func (p *pool) hasUnproven() bool {
	return slices.ContainsFunc(p.bySize[:], func(l list) bool { return l.first != nil })
}

// unused returns how many further connections the shares of all listeners allow.
func (l *Limiter) unused() int {
	unused := 0
	for _, p := range l.pools {
		unused += p.max - p.open
	}
	return unused
}

// lent returns the pool between daemons that uses the share of another one, nil if there
// is room for a connection of that one.
func (l *Limiter) lent(to *pool) *pool {
	if l.unused() > 0 {
		return nil
	}
	for _, p := range l.pools {
		if p != to && p.ofPeers && p.open > p.max {
			return p
		}
	}
	return nil
}

// descriptorVictim returns the connection that is closed before the pool gets another one,
// nil if none can be. l.mu must be held.
func (l *Limiter) descriptorVictim(p *pool) *Conn {
	if p.open < p.max {
		return l.lent(p).slowest()
	}
	return p.slowest()
}
