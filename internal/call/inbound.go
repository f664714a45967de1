package call

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// InboundCall is a call of a caller as a front end understood it.
type InboundCall struct {
	// ID identifies the call over all hops and in logs.
	ID     string
	Config *publish.Configuration
	Route  *publish.Route
	// Key is set for a call that runs at most once over several requests.
	Key string
	// Timeout is the time that the caller gives, 0 for none. The route's deadline
	// bounds it.
	Timeout time.Duration
	// Retries bounds the further targets of the call, besides the route.
	Retries int
	// Path is the escaped path that the target gets, Query its raw query.
	Path  string
	Query string
	// Header holds what the target gets, without what concerns the caller's
	// connection only.
	Header http.Header
}

// ErrorWriter writes the error of a call to its caller.
type ErrorWriter func(w http.ResponseWriter, id string, failure *Error)

// EndToEndHeaders returns a copy of the headers without those that concern one
// connection or belong to the mesh.
func EndToEndHeaders(from http.Header) http.Header { return passHeaders(from) }

// ServeCall carries one call of a caller and writes its answer, or its error
// through refuse.
func (s *Server) ServeCall(w http.ResponseWriter, r *http.Request, in InboundCall, refuse ErrorWriter) {
	end := s.inflight.begin()
	defer end()
	s.closeWhenStopping(w)
	if s.inflight.isEnding() {
		s.refuseCaller(w, in.ID, s.fail(NotRun, StepDrain, http.StatusServiceUnavailable, errStopping), refuse)
		return
	}
	began := s.now()
	defer func() { s.counters.took(in.Route.Priority, s.now().Sub(began)) }()
	deadline := began.Add(in.timeLeft())
	if failure := s.limitRequest(w, r, in); failure != nil {
		s.refuseCaller(w, in.ID, failure, refuse)
		return
	}
	body, err := readBodyUntil(w, r, deadline)
	if err != nil {
		s.refuseCaller(w, in.ID, s.fail(NotRun, StepRequest, http.StatusBadRequest, err), refuse)
		return
	}
	c := s.newOutbound(r, in, deadline, body)
	defer bound(w, deadline, body)()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	s.answerCaller(ctx, w, c, refuse)
}

// Reject writes the error of a request that names no call.
func (s *Server) Reject(w http.ResponseWriter, id string, failure *Error, refuse ErrorWriter) {
	end := s.inflight.begin()
	defer end()
	s.closeWhenStopping(w)
	s.refuseCaller(w, id, failure, refuse)
}

func (s *Server) refuseCaller(w http.ResponseWriter, id string, failure *Error, refuse ErrorWriter) {
	s.newTrace(id, "", "").failed(failure)
	s.countFailure(failure)
	refuse(w, id, failure)
}

// closeWhenGone makes the server close a connection on which no further request
// could be served, because the server takes its caller for gone.
func closeWhenGone(ctx context.Context, w http.ResponseWriter) {
	if callerGone(ctx) {
		w.Header().Set("Connection", "close")
	}
}

// closeWhenStopping asks a caller to open its next connection elsewhere.
func (s *Server) closeWhenStopping(w http.ResponseWriter) {
	if s.inflight.isClosing() {
		w.Header().Set("Connection", "close")
	}
}

// timeLeft returns how long the call may take.
func (in InboundCall) timeLeft() time.Duration {
	allowed := in.Route.Deadline
	if allowed <= 0 {
		allowed = defaultDeadline
	}
	if in.Timeout > 0 {
		allowed = min(allowed, in.Timeout-min(finalMargin, in.Timeout/finalShare))
	}
	return allowed
}

// isLate reports whether half of the objective of a call has passed already,
// because its caller came back after refusals.
func (s *Server) isLate(in InboundCall) bool {
	waited := s.patiences.waited(in.Route.Name, in.Timeout)
	return in.Route.Objective > 0 && waited >= in.Route.Objective/2
}

// finalMargin is how much before its caller's time is up a call is answered in
// any case, so that the answer still arrives; finalShare bounds it to a part of
// the time given.
const (
	finalMargin = 20 * time.Millisecond
	finalShare  = 20
)

// newOutbound returns the call on its way to a target of one of the route's
// services.
func (s *Server) newOutbound(r *http.Request, in InboundCall, deadline time.Time, body *body) *outbound {
	service := s.splits.Pick(in.Route)
	workspace, _, _ := strings.Cut(in.Route.Name, "/")
	c := &outbound{
		route: in.Route,
		left:  min(in.Retries, in.Route.Retries),
		trace: s.newTrace(in.ID, in.Key, service),
		request: request{
			id:        in.ID,
			key:       in.Key,
			service:   in.Config.Services[service],
			workspace: workspace,
			priority:  in.Route.Priority,
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
	c.trace.began(uint64(in.Config.Version), in.Route.Name)
	return c
}

// NoConfigurationError is the error of calls while nothing is in force.
func (s *Server) NoConfigurationError() *Error {
	return s.fail(NotRun, StepConfiguration, http.StatusServiceUnavailable, errNoConfiguration)
}

// NoRouteError is the error of calls that no route takes.
func (s *Server) NoRouteError(host, path string) *Error {
	return s.fail(NotRun, StepRoute, http.StatusNotFound, fmt.Errorf("%w: host %q path %q", errNoRoute, host, path))
}

// BadRequestError is the error of requests that a front end cannot read. A nil
// error stands for a request without an id.
func (s *Server) BadRequestError(err error) *Error {
	if err == nil {
		err = errNoID
	}
	return s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
}
