package peer

import (
	"net"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// Limits of accepted connections. Daemons that return in a herd dial again
// after a while with jitter, so that closing at once costs them little.
const (
	maxConnections   = 1024
	acceptsPerSecond = 200
	acceptBurst      = 200
)

// gate bounds the connections that a server has and those it takes anew.
type gate struct {
	open    *semaphore.Weighted
	rate    *rate.Limiter
	refused atomic.Uint64
}

func newGate(connections int64, perSecond rate.Limit, burst int) *gate {
	return &gate{open: semaphore.NewWeighted(connections), rate: rate.NewLimiter(perSecond, burst)}
}

// admit reports whether a new connection is served; it closes it if not. The
// caller calls leave when a served connection has ended.
func (g *gate) admit(conn net.Conn) bool {
	if g.rate.Allow() && g.open.TryAcquire(1) {
		return true
	}
	g.refused.Add(1)
	_ = conn.Close()
	return false
}

func (g *gate) leave() { g.open.Release(1) }
