package call

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// InboundCall is a call of a caller, as parsed by a front end.
type InboundCall struct {
	// ID identifies the call on all hops and in logs.
	ID     string
	Config *publish.Configuration
	Route  *publish.Route
	// Key is the idempotency key of a call that runs at most once over several
	// requests, empty for others.
	Key string
	// Client is the workspace of the caller's API key, nil if the call carries none.
	Client *publish.ClientWorkspace
	// Timeout is the time that the caller gives, 0 for none. The deadline of the
	// route is an upper bound.
	Timeout time.Duration
	// Retries is the most retries that the call may use, besides the limit of the
	// route.
	Retries int
	// Path is the escaped path for the target, Query the raw query.
	Path  string
	Query string
	// Header holds the headers for the target, without hop-by-hop headers.
	Header http.Header
}

// ErrorWriter writes the error of a call to its caller.
type ErrorWriter func(w http.ResponseWriter, id string, failure *Error)

// EndToEndHeaders returns a copy of the headers without hop-by-hop headers and
// without those of the mesh.
func EndToEndHeaders(from http.Header) http.Header { return endToEndHeaders(from) }

// ServeCall serves one call of a caller and writes its response, or its error
// through writeErr.
func (s *Server) ServeCall(w http.ResponseWriter, r *http.Request, in InboundCall, writeErr ErrorWriter) {
	end := s.inflight.begin()
	defer end()
	if s.inflight.isShuttingDown() {
		s.rejectCaller(w, in.ID, s.stoppingError(), writeErr)
		return
	}
	start := s.now()
	defer func() { s.counters.observeDuration(in.Route.Priority, s.now().Sub(start)) }()
	deadline := start.Add(in.timeLimit())
	if failure := s.limitRequest(w, r, in); failure != nil {
		s.rejectCaller(w, in.ID, failure, writeErr)
		return
	}
	body, err := readBodyByDeadline(w, r, deadline)
	if err != nil {
		s.rejectCaller(w, in.ID, s.fail(NotRun, StepRequest, bodyErrorStatus(err), err), writeErr)
		return
	}
	if s.inflight.isShuttingDown() {
		// The body took longer than the time in which calls are accepted.
		s.rejectCaller(w, in.ID, s.stoppingError(), writeErr)
		return
	}
	if clientGone(r.Context()) {
		w.Header().Set("Connection", "close")
		s.rejectCaller(w, in.ID, s.clientGoneError(), writeErr)
		return
	}
	giveBack, failure := s.admitByQuota(in.Client)
	if failure != nil {
		body.stopReading(w)
		s.rejectCaller(w, in.ID, failure, writeErr)
		return
	}
	c := s.newOutboundCall(r, in, deadline, body)
	c.giveBackQuota = giveBack
	defer setConnDeadlines(w, deadline, body)()
	ctx, inProgress := s.inflight.abortableCall(r.Context(), s.inflight.callers, deadline)
	defer inProgress.end()
	c.request.onHead = inProgress.answer
	s.respondToCaller(ctx, w, c, writeErr)
}

// Reject writes the error of a request that does not become a call, such as one
// that matches no route.
func (s *Server) Reject(w http.ResponseWriter, id string, failure *Error, writeErr ErrorWriter) {
	end := s.inflight.begin()
	defer end()
	s.rejectCaller(w, id, failure, writeErr)
}

// stoppingError returns the error of calls during the shutdown. A caller that has no
// other daemon may come back when the next process can have started.
func (s *Server) stoppingError() *Error {
	failure := s.fail(NotRun, StepDrain, http.StatusServiceUnavailable, s.inflight.stopError(phaseShutdown, errStopping))
	if end := s.inflight.latestEnd(); !end.IsZero() {
		failure.Unavailable = end.Sub(s.now())
	}
	return failure
}

func (s *Server) rejectCaller(w http.ResponseWriter, id string, failure *Error, writeErr ErrorWriter) {
	s.newTrace(id, "", "").failed(failure)
	s.countFailure(failure)
	s.closeIfStopping(w)
	writeErr(w, id, failure)
}

// closeIfDisconnected makes the server close a connection whose client it takes
// for disconnected, because no further request on it could be served.
func closeIfDisconnected(ctx context.Context, w http.ResponseWriter) {
	if callerDisconnected(ctx) {
		w.Header().Set("Connection", "close")
	}
}

// closeIfStopping makes a caller open a new connection for its next call while the
// daemon drains or stops. It is called as the response is written, because the stop
// may have begun after the request arrived.
func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.inflight.closesConnections() {
		w.Header().Set("Connection", "close")
	}
}

// timeLimit returns how long the call may take.
func (in InboundCall) timeLimit() time.Duration {
	limit := in.Route.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if in.Timeout > 0 {
		limit = min(limit, in.Timeout-min(responseMargin, in.Timeout/responseMarginDivisor))
	}
	return limit
}

// payer returns the workspace that the call is accounted to and the call's priority:
// those of the caller's workspace, else those of the route.
func (in InboundCall) payer() (workspace string, priority int) {
	if in.Client != nil {
		return in.Client.Name, in.Client.Priority
	}
	workspace, _, _ = strings.Cut(in.Route.Name, "/")
	return workspace, in.Route.Priority
}

// share returns the share of the call's client workspace, 0 without one.
func (in InboundCall) share() float64 {
	if in.Client == nil {
		return 0
	}
	return in.Client.Share
}

// isLate reports whether half of the objective of a call has already passed
// because its caller retried after refusals.
func (s *Server) isLate(in InboundCall) bool {
	elapsed := s.elapsed.estimate(in.Route.Name, in.Timeout)
	return in.Route.Objective > 0 && elapsed >= in.Route.Objective/2
}

// responseMargin is how long before the timeout of its caller a call ends, so
// that the response still arrives in time. It is at most
// 1/responseMarginDivisor of the timeout.
const (
	responseMargin        = 20 * time.Millisecond
	responseMarginDivisor = 20
)

// newOutboundCall returns the call to a target of one of the services of the
// route.
func (s *Server) newOutboundCall(r *http.Request, in InboundCall, deadline time.Time, body *body) *outboundCall {
	service := s.splits.Pick(in.Route)
	workspace, priority := in.payer()
	c := &outboundCall{
		resetIfCut:  !r.ProtoAtLeast(1, 1),
		route:       in.Route,
		versioned:   s.pickVersion(in, service),
		retriesLeft: min(in.Retries, in.Route.Retries),
		trace:       s.newTrace(in.ID, in.Key, service),
		request: request{
			id:        in.ID,
			key:       in.Key,
			service:   in.Config.Services[service],
			workspace: workspace,
			share:     in.share(),
			priority:  priority,
			objective: in.Route.Objective,
			late:      s.isLate(in),
			config:    in.Config,
			deadline:  deadline,
			method:    r.Method,
			host:      r.Host,
			path:      in.Path,
			query:     in.Query,
			header:    in.Header,
			body:      body,
		},
	}
	c.request.timed = c.versioned != nil && c.versioned.Counted()
	c.trace.callBegan(uint64(in.Config.Version), in.Route.Name)
	return c
}

// NoConfigurationError returns the error of calls while no configuration is
// active.
func (s *Server) NoConfigurationError() *Error {
	return s.fail(NotRun, StepConfiguration, http.StatusServiceUnavailable, errNoConfiguration)
}

// UnknownKeyError returns the error of calls without an API key that the active
// configuration contains.
func (s *Server) UnknownKeyError() *Error {
	return s.fail(NotRun, StepKey, http.StatusUnauthorized, errUnknownAPIKey)
}

// NoRouteError returns the error of calls that match no route.
func (s *Server) NoRouteError(host, path string) *Error {
	return s.fail(NotRun, StepRoute, http.StatusNotFound, fmt.Errorf("%w: host %q path %q", errNoRoute, host, path))
}

// BadRequestError returns the error of requests that a front end cannot parse. A
// nil error stands for a request without an id.
func (s *Server) BadRequestError(err error) *Error {
	if err == nil {
		err = errNoID
	}
	return s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
}
