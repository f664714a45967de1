package call

import (
	"context"
	"errors"
	"net/http/httptrace"
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

// limitConnWait returns a context under which a request is cancelled if it has no
// connection after a limit and mayGiveUp then reports true. A connection that comes
// later is closed before a byte of the request is written. stop must be called once
// the request has ended.
func limitConnWait(ctx context.Context, limit time.Duration, mayGiveUp func() bool) (limited context.Context, stop func() bool) {
	ctx, wait := newGiveUp(ctx)
	timer := time.AfterFunc(limit, func() {
		if mayGiveUp() {
			wait.because(errConnWait)
		}
	})
	gotConn := func(info httptrace.GotConnInfo) {
		if !wait.serve() {
			_ = info.Conn.Close()
		}
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: gotConn}), timer.Stop
}

// connWaitLimit returns the limit on the wait for a connection of a call that has
// some time left.
func connWaitLimit(remaining time.Duration) time.Duration {
	return min(maxConnWait, remaining/connWaitDivisor)
}

// allowGiveUp lets an attempt on another daemon be given up when the call could be
// made on a third host in its place.
func (s *Server) allowGiveUp(q *request, c *outboundCall, host string) {
	if q.key != "" {
		return
	}
	exclude := withHost(c.failedHosts, host)
	if s.inflight.isDraining() {
		exclude[s.self.Host] = true
	}
	elsewhere := c.routeRequest(exclude)
	if c.refusals < c.route.Refusals || c.retriesLeft > 0 {
		q.mayGoElsewhere = func() bool { return q.body.resendable() && s.router.HasTarget(elsewhere) }
	}
	if c.route.Idempotent && c.retriesLeft > 0 {
		q.takeRetry = func() bool { return q.mayGoElsewhere() && s.budgets.Withdraw(c.route, c.request.service) }
	}
}
