package call

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// maxConnWait limits the wait of an attempt for a connection to another daemon
	// while another host could serve the call.
	maxConnWait = 250 * time.Millisecond
	// connWaitDivisor divides the time left to the call to get the longest wait, so
	// that time is left for the other host.
	connWaitDivisor = 2
)

// errConnWait is the error of an attempt that got no connection in time.
var errConnWait = errors.New("no connection to the host in time")

// connWait is the wait of one request for a connection. It ends when the request
// gets one or is given up, whichever comes first.
type connWait struct {
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	acquired bool
	gaveUp   bool
}

// limitConnWait returns a context under which a request is cancelled if it has no
// connection after a limit and mayGiveUp then reports true. stop must be called once
// the request has ended.
func limitConnWait(ctx context.Context, limit time.Duration, mayGiveUp func() bool) (limited context.Context, stop func() bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	wait := &connWait{cancel: cancel}
	timer := time.AfterFunc(limit, func() {
		if mayGiveUp() {
			wait.giveUp()
		}
	})
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: wait.gotConn}), timer.Stop
}

// giveUp cancels the request unless it has got a connection.
func (w *connWait) giveUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.acquired {
		w.gaveUp = true
		w.cancel(errConnWait)
	}
}

// gotConn ends the wait. A connection that comes too late is closed before a byte of
// the request is written.
func (w *connWait) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acquired = true
	if w.gaveUp {
		_ = info.Conn.Close()
	}
}

// connWaitLimit returns the limit on the wait for a connection of a call that has
// some time left.
func connWaitLimit(remaining time.Duration) time.Duration {
	return min(maxConnWait, remaining/connWaitDivisor)
}

// elsewhereFunc returns a function that reports whether the call could go to another
// host after an attempt on a host that did not run it; nil if it may not.
func (s *Server) elsewhereFunc(c *outboundCall, host string) func() bool {
	if c.request.key != "" || !c.retryAllowed() {
		return nil
	}
	exclude := withHost(c.failedHosts, host)
	if s.inflight.isDraining() {
		exclude[s.self.Host] = true
	}
	request := c.routeRequest(exclude)
	return func() bool { return c.request.body.resendable() && s.router.HasTarget(request) }
}

// retryAllowed reports whether the limits of the call itself allow another attempt
// after one that was not run.
func (c *outboundCall) retryAllowed() bool {
	return c.refusals < c.route.Refusals || c.retriesLeft > 0
}
