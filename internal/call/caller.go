package call

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// headerWorkspace names the workspace of the route, between daemons.
	headerWorkspace = "Mulberry-Workspace"
	// headerShare is the share of the client workspace at the gate relative to the
	// others, such as "1.25", between daemons. It is left out for calls without one.
	headerShare = "Mulberry-Share"
	// shareDigits is the number of significant digits of headerShare.
	shareDigits = 3
	// headerPriority is the priority of the route, between daemons.
	headerPriority = "Mulberry-Priority"
	// headerObjective is the objective of the route, such as "400ms".
	headerObjective = "Mulberry-Objective"
	// headerLate is "1" if half of the objective had passed when the call arrived.
	headerLate = "Mulberry-Late"
	// headerFreeSlotOnly is "1" if the request must not wait for a slot.
	headerFreeSlotOnly = "Mulberry-Free-Slot"
	// headerServiceTime is the mean time that a request of the call's rank
	// holds a slot of the responding daemon's target, such as "250ms".
	headerServiceTime = "Mulberry-Took"
	// headerFailureRate is the fraction of recent requests, from 0 to 1, that the
	// responding daemon's target failed. It is left out if 0.
	headerFailureRate = "Mulberry-Failing"
	// unknownRank is the rank of a request that could not be parsed.
	unknownRank = -1
	// serviceTimeResolution is the resolution of headerServiceTime.
	serviceTimeResolution = time.Millisecond
	// defaultDeadline is the deadline of calls to routes without one.
	defaultDeadline = 30 * time.Second
	// deadlineGrace is the time after the deadline of a call during which its
	// connection may still be read or written.
	deadlineGrace = 500 * time.Millisecond
)

// serveCaller serves one call of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	id := newCallID()
	w.Header().Set(HeaderCall, id)
	key := r.Header.Get(HeaderKey)
	writeErr := func(w http.ResponseWriter, id string, failure *Error) {
		setEarlierHeader(w, failure, key)
		writeError(w, id, failure)
	}
	in, failure := s.parseCallerRequest(r, id)
	if failure != nil {
		s.Reject(w, id, failure, writeErr)
		return
	}
	s.ServeCall(w, r, in, writeErr)
}

// respondToCaller makes the call and writes its response or error.
func (s *Server) respondToCaller(ctx context.Context, w http.ResponseWriter, c *outboundCall, writeErr ErrorWriter) {
	start := s.now()
	result, failure := s.execute(ctx, c)
	s.closeIfStopping(w)
	if failure != nil {
		if failure.Outcome == NotRun {
			c.giveBackQuota()
		}
		s.markShed(failure)
		c.trace.failed(failure)
		s.countFailure(failure)
		c.request.body.stopReading(w)
		closeIfDisconnected(ctx, w)
		writeErr(w, c.request.id, failure.reported())
		return
	}
	c.request.body.enableFullDuplex(w)
	if err := result.relay(ctx, w, s.pacer); err != nil {
		c.trace.failed(s.fail(Unknown, StepAnswer, statusOf(ctx, err), err))
		s.counters.truncated.Inc()
		if c.resetIfCut {
			resetAtClose(ctx)
		}
		panic(http.ErrAbortHandler)
	}
	c.trace.answered(result)
	s.logCallAnswered(c, result, s.now().Sub(start))
	s.counters.answered.Inc()
}

// setEarlierHeader sets HeaderEarlier on a not-run error of a call with a key.
func setEarlierHeader(w http.ResponseWriter, failure *Error, key string) {
	if key != "" && failure.Outcome == NotRun {
		w.Header().Set(HeaderEarlier, EarlierMayHaveRun)
	}
}

func (s *Server) countFailure(failure *Error) {
	if failure.Status == http.StatusUnauthorized {
		s.counters.unknownAPIKeys.Inc()
	}
	if failure.Outcome == NotRun {
		s.counters.notRun.Inc()
		if failure.Status == http.StatusServiceUnavailable {
			s.onRefused()
		}
		return
	}
	s.counters.unknown.Inc()
}

func newCallID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// setConnDeadlines makes writes to the connection of a request fail soon after its
// deadline. The function that it returns stops the reading of the body and clears
// the write deadline; the server itself clears the read deadline before the next
// request.
func setConnDeadlines(w http.ResponseWriter, deadline time.Time, body *body) (clearDeadlines func()) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(deadline.Add(deadlineGrace))
	return func() {
		body.stopReading(w)
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// parseCallerRequest parses the request of a caller. Its errors are not-run.
func (s *Server) parseCallerRequest(r *http.Request, id string) (InboundCall, *Error) {
	table := s.config.Table()
	if table == nil {
		return InboundCall{}, s.fail(NotRun, StepConfiguration, http.StatusServiceUnavailable, errNoConfiguration)
	}
	route, rest, err := findRoute(table.Config, r)
	if err != nil {
		return InboundCall{}, s.fail(NotRun, StepRoute, http.StatusNotFound, err)
	}
	options, err := parseCallOptions(r.Header, route)
	if err != nil {
		return InboundCall{}, s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
	}
	return InboundCall{
		ID:      id,
		Config:  table.Config,
		Route:   route,
		Key:     options.key,
		Timeout: options.timeout,
		Retries: options.retries,
		Path:    rest,
		Query:   r.URL.RawQuery,
		Header:  endToEndHeaders(r.Header),
	}, nil
}

// findRoute returns the route that matches the host and path of a request, else
// the route whose full name starts the path, and the path for the target.
func findRoute(config *publish.Configuration, r *http.Request) (*publish.Route, string, error) {
	path := r.URL.EscapedPath()
	if route := config.Match(r.Host, path); route != nil {
		return route, path, nil
	}
	name, rest, err := splitPath(path)
	if err != nil {
		return nil, "", err
	}
	route := config.Routes[name]
	if route == nil || config.Services[route.Service] == nil {
		return nil, "", errNoRoute
	}
	return route, rest, nil
}

// callOptions are the options that a caller may set on a call.
type callOptions struct {
	timeout time.Duration
	retries int
	key     string
}

func parseCallOptions(header http.Header, route *publish.Route) (callOptions, error) {
	timeout, err := parseDeadline(header.Get(HeaderDeadline))
	if err != nil {
		return callOptions{}, err
	}
	retries, err := parseCount(header, HeaderRetryBudget, maxRetryBudget, route.Retries)
	if err != nil {
		return callOptions{}, err
	}
	key, err := requiredKey(header, route)
	if err != nil {
		return callOptions{}, err
	}
	return callOptions{timeout: timeout, retries: retries, key: key}, nil
}

// requiredKey returns the key of a call to a route that is not idempotent. Keys on
// other routes are ignored.
func requiredKey(header http.Header, route *publish.Route) (string, error) {
	if route.Idempotent || route.Keyless {
		return "", nil
	}
	text := header.Get(HeaderKey)
	if text == "" {
		return "", errKeyRequired
	}
	return parseKey(text)
}
