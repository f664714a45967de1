package peer

import (
	"net"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// Limits of accepted connections. Excess connections are closed at once. Daemons
// that reconnect all at the same time retry with a jittered delay, so a closed
// connection costs them little.
const (
	maxConnections   = 1024
	acceptsPerSecond = 200
	acceptBurst      = 200
)

// connLimiter limits the number of open connections and the rate of new ones.
type connLimiter struct {
	open    *semaphore.Weighted
	rate    *rate.Limiter
	refused atomic.Uint64
}

func newConnLimiter(maxOpen int64, perSecond rate.Limit, burst int) *connLimiter {
	return &connLimiter{open: semaphore.NewWeighted(maxOpen), rate: rate.NewLimiter(perSecond, burst)}
}

// admit reports whether a new connection is within the limits and closes it if
// not. The caller calls release when an admitted connection has ended.
func (l *connLimiter) admit(conn net.Conn) bool {
	if l.rate.Allow() && l.open.TryAcquire(1) {
		return true
	}
	l.refused.Add(1)
	_ = conn.Close()
	return false
}

func (l *connLimiter) release() { l.open.Release(1) }
