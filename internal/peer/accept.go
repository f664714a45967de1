package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Limits of accepted connections. Excess connections are closed at once. Daemons
// that reconnect all at the same time retry with a jittered delay, so a closed
// connection costs them little.
const (
	maxConnections   = 1024
	acceptsPerSecond = 200
	acceptBurst      = 200
)

const (
	// acceptRetryInterval and maxAcceptRetryInterval are the limits of the back-off
	// after temporary errors of Accept.
	acceptRetryInterval    = 5 * time.Millisecond
	maxAcceptRetryInterval = time.Second
	// acceptLogInterval is the minimum time between two log lines about them.
	acceptLogInterval = 10 * time.Second
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

// accept returns the next connection. It retries with back-off after temporary errors
// and returns net.ErrClosed when ctx ends meanwhile.
func (s *Server) accept(ctx context.Context, listener net.Listener) (net.Conn, error) {
	retry := newAcceptBackOff()
	for {
		conn, err := listener.Accept()
		if !isTemporary(err) {
			return conn, err
		}
		s.acceptLog.Do(func() {
			s.log.WithError(err).Warnf("accept on %s failed; retrying", listener.Addr())
		})
		if !wait.For(ctx, retry.NextBackOff()) {
			return nil, net.ErrClosed
		}
	}
}

func newAcceptBackOff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = acceptRetryInterval
	retry.Multiplier = 2
	retry.MaxInterval = maxAcceptRetryInterval
	return retry
}

// isTemporary reports whether an error of Accept may pass, such as a process that has
// no free file descriptor.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}
