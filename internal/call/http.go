package call

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// headerWorkspace names the workspace of the caller's route between daemons.
	headerWorkspace = "Mulberry-Workspace"
	// headerPriority carries the rank of the caller's route between daemons.
	headerPriority = "Mulberry-Priority"
	// headerObjective carries the objective of the caller's route, such as
	// "400ms".
	headerObjective = "Mulberry-Objective"
	// headerLate is "1" when half of the objective had passed as the call came.
	headerLate = "Mulberry-Late"
	// headerFreeSlot is "1" when the request does not wait for a slot.
	headerFreeSlot = "Mulberry-Free-Slot"
	// headerTook carries the mean time that a request of the call's rank holds a
	// slot of the answering daemon's target, such as "250ms".
	headerTook = "Mulberry-Took"
	// headerFailing carries the share of requests, from 0 to 1, that the answering
	// daemon's target failed of late, left out when it is 0.
	headerFailing = "Mulberry-Failing"
	// noRank stands for the rank of a request that could not be read.
	noRank = -1
	// tookResolution is the resolution of headerTook.
	tookResolution = time.Millisecond
	// defaultDeadline bounds calls of routes that name none.
	defaultDeadline = 30 * time.Second
	// writeGrace is how long after a call's deadline its connection may still
	// be read or written.
	writeGrace = 500 * time.Millisecond
)

// serveCaller carries one call of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	id := newCallID()
	w.Header().Set(HeaderCall, id)
	key := r.Header.Get(HeaderKey)
	refuse := func(w http.ResponseWriter, id string, failure *Error) {
		markEarlier(w, failure, key)
		writeError(w, id, failure)
	}
	in, failure := s.parseCaller(r, id)
	if failure != nil {
		s.Reject(w, id, failure, refuse)
		return
	}
	s.ServeCall(w, r, in, refuse)
}

// answerCaller carries the call and writes its answer or error.
func (s *Server) answerCaller(ctx context.Context, w http.ResponseWriter, c *outbound, refuse ErrorWriter) {
	began := s.now()
	result, failure := s.carry(ctx, c)
	if failure != nil {
		c.trace.failed(failure)
		s.countFailure(failure)
		c.request.body.stop(w)
		closeWhenGone(ctx, w)
		refuse(w, c.request.id, failure.told())
		return
	}
	c.request.body.duplex(w)
	if err := result.relay(w); err != nil {
		c.trace.failed(s.fail(Unknown, StepAnswer, statusOf(ctx, err), err))
		s.counters.cut.Inc()
		panic(http.ErrAbortHandler)
	}
	c.trace.answered(result)
	s.logAnswered(c, result, s.now().Sub(began))
	s.counters.answered.Inc()
}

// markEarlier says of a request with a key that was not run that an earlier
// one with the key may have been.
func markEarlier(w http.ResponseWriter, failure *Error, key string) {
	if key != "" && failure.Outcome == NotRun {
		w.Header().Set(HeaderEarlier, EarlierMayHaveRun)
	}
}

func (s *Server) countFailure(failure *Error) {
	if failure.Outcome == NotRun {
		s.counters.notRun.Inc()
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

// bound ends reads and writes of a request's connection soon after a
// deadline. The result ends the reading of the body and lifts the bound on
// writes; the server itself lifts that on reads before the next request.
func bound(w http.ResponseWriter, deadline time.Time, body *body) (lift func()) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	return func() {
		body.stop(w)
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// parseCaller reads what a caller asks for. Errors are not-run.
func (s *Server) parseCaller(r *http.Request, id string) (InboundCall, *Error) {
	table := s.tables.Table()
	if table == nil {
		return InboundCall{}, s.fail(NotRun, StepConfiguration, http.StatusServiceUnavailable, errNoConfiguration)
	}
	route, rest, err := findRoute(table.Config, r)
	if err != nil {
		return InboundCall{}, s.fail(NotRun, StepRoute, http.StatusNotFound, err)
	}
	terms, err := parseTerms(r.Header, route)
	if err != nil {
		return InboundCall{}, s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
	}
	return InboundCall{
		ID:      id,
		Config:  table.Config,
		Route:   route,
		Key:     terms.key,
		Timeout: terms.left,
		Retries: terms.retries,
		Path:    rest,
		Query:   r.URL.RawQuery,
		Header:  passHeaders(r.Header),
	}, nil
}

// findRoute returns the route that a request names by its host and path, else
// the one whose full name begins its path, and the path for the target.
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

// terms are what a caller may say about its call.
type terms struct {
	left    time.Duration
	retries int
	key     string
}

func parseTerms(header http.Header, route *publish.Route) (terms, error) {
	left, err := parseDeadline(header.Get(HeaderDeadline))
	if err != nil {
		return terms{}, err
	}
	retries, err := parseCount(header, HeaderRetryBudget, maxRetryBudget, route.Retries)
	if err != nil {
		return terms{}, err
	}
	key, err := keyOf(header, route)
	if err != nil {
		return terms{}, err
	}
	return terms{left: left, retries: retries, key: key}, nil
}

// keyOf returns the key of a call to a route that is not idempotent. On other
// routes a key means nothing.
func keyOf(header http.Header, route *publish.Route) (string, error) {
	if route.Idempotent || route.Keyless {
		return "", nil
	}
	text := header.Get(HeaderKey)
	if text == "" {
		return "", errNoKey
	}
	return parseKey(text)
}
