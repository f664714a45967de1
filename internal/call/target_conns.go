package call

import (
	"sync"
	"time"
)

const (
	// shortIdleTimeout is the idle timeout of connections to the target while the
	// target is known to drop idle connections.
	shortIdleTimeout = 100 * time.Millisecond
	// staleResetTime is the longest time from the first use of a connection that
	// the target has dropped to its reset.
	staleResetTime = 100 * time.Millisecond
	// shortIdlePeriod is how long shortIdleTimeout applies after a dropped
	// connection was found.
	shortIdlePeriod = 10 * time.Second
)

// targetTransports holds the connections to the local target. A target may drop
// idle connections without closing them, and a request sent on such a connection
// is lost. After that, a transport with a short idle timeout is used for a while.
type targetTransports struct {
	now       func() time.Time
	normal    transports
	shortIdle transports

	mu             sync.Mutex
	shortIdleUntil time.Time
}

func newTargetTransports(dial DialFunc, connections int, now func() time.Time) *targetTransports {
	t := &targetTransports{
		now:       now,
		normal:    newTransports(dial, connections, maxTargetHeadBytes),
		shortIdle: newTransports(dial, connections, maxTargetHeadBytes),
	}
	t.shortIdle.pooled.IdleConnTimeout = shortIdleTimeout
	return t
}

// current returns the transports to use now.
func (t *targetTransports) current() transports {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.now().Before(t.shortIdleUntil) {
		return t.shortIdle
	}
	return t.normal
}

// reportFailure records that a connection ended without a response, and reports
// whether the target had dropped it before: it had been idle and ended as soon as
// it was used.
func (t *targetTransports) reportFailure(idle, used time.Duration) bool {
	if idle < shortIdleTimeout || used > staleResetTime {
		return false
	}
	t.mu.Lock()
	t.shortIdleUntil = t.now().Add(shortIdlePeriod)
	t.mu.Unlock()
	t.normal.pooled.CloseIdleConnections()
	return true
}

// close closes idle connections.
func (t *targetTransports) close() {
	t.normal.pooled.CloseIdleConnections()
	t.shortIdle.pooled.CloseIdleConnections()
}
