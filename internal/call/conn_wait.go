package call

import (
	"context"
	"errors"
	"maps"
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
// connection after a limit and mayGiveUp then reports true. admit must be called when
// it gets one, and reports whether the request may use it. stop must be called once
// the request has ended.
func limitConnWait(ctx context.Context, limit time.Duration, mayGiveUp func() bool) (limited context.Context, admit, stop func() bool) {
	ctx, wait := newWaitCanceller(ctx)
	timer := time.AfterFunc(limit, func() {
		if mayGiveUp() {
			wait.cancelWith(errConnWait)
		}
	})
	return ctx, wait.settle, timer.Stop
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
	failedHosts := maps.Clone(c.failedHosts)
	if c.refusals < c.route.Refusals || c.retriesLeft > 0 {
		q.mayGoElsewhere = func() bool {
			exclude := s.excludedHosts(failedHosts, host)
			return q.body.resendable() && s.router.HasTarget(c.routeRequest(exclude, c.versionFilter(false)))
		}
	}
	if c.route.Idempotent && c.retriesLeft > 0 {
		q.takeRetry = func() bool { return q.mayGoElsewhere() && s.budgets.Withdraw(c.route, c.request.service) }
	}
}

// excludedHosts returns the hosts on which an attempt after that on a host is not made.
func (s *Server) excludedHosts(failedHosts map[string]bool, host string) map[string]bool {
	exclude := withHost(failedHosts, host)
	if s.inflight.isDraining() {
		exclude[s.self.Host] = true
	}
	return exclude
}
