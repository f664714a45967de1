package call

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// servePeer serves one attempt that another daemon sent.
func (s *Server) servePeer(w http.ResponseWriter, r *http.Request) {
	end := s.inflight.begin()
	defer end()
	s.observeClock(r.Header)
	q, failure := s.parsePeerRequest(w, r)
	if failure == nil && clientGone(r.Context()) {
		failure = s.clientGoneError()
	}
	if failure != nil {
		s.logInvalidRequest(r.Header, failure)
		s.writePeerError(w, r.Header.Get(HeaderCall), unknownRank, failure)
		return
	}
	defer setConnDeadlines(w, q.deadline, q.body)()
	ctx, cancel := s.inflight.callContext(r.Context(), s.inflight.peers, q.deadline)
	defer cancel()
	result, failure := s.serveTarget(ctx, q)
	if failure != nil {
		s.logRequestFailed(q, failure)
		q.body.stopReading(w)
		closeIfDisconnected(ctx, w)
		s.writePeerError(w, q.id, q.rank(), failure.reported())
		return
	}
	s.setPeerHeaders(w.Header(), q.id, q.rank())
	q.setTargetTime(w.Header(), result)
	q.body.enableFullDuplex(w)
	if err := result.relay(ctx, w, s.pacer); err != nil {
		s.counters.truncated.Inc()
		s.logResponseCut(q, err)
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) writePeerError(w http.ResponseWriter, id string, rank int, failure *Error) {
	s.setPeerHeaders(w.Header(), id, rank)
	writeError(w, id, failure)
}

// setPeerHeaders sets the headers that every response to another daemon carries.
func (s *Server) setPeerHeaders(header http.Header, id string, rank int) {
	header.Set(HeaderCall, id)
	header.Set(HeaderPeer, s.self.Host)
	load := s.admission.loadFor(rank)
	header.Set(HeaderLoad, load.String())
	if load.ServiceTime > 0 {
		header.Set(headerServiceTime, load.ServiceTime.Round(serviceTimeResolution).String())
	}
	if load.FailureRate > 0 {
		header.Set(headerFailureRate, strconv.FormatFloat(load.FailureRate, 'f', 2, 64))
	}
	if s.clock != nil {
		header.Set(HeaderClock, s.clock.Now().String())
	}
}

func (s *Server) observeClock(header http.Header) {
	text := header.Get(HeaderClock)
	if s.clock == nil || text == "" {
		return
	}
	if timestamp, err := timeline.ParseTimestamp(text); err == nil {
		s.clock.Observe(timestamp)
	}
}

// parsePeerRequest parses an attempt that another daemon sent. Its errors are
// not-run.
func (s *Server) parsePeerRequest(w http.ResponseWriter, r *http.Request) (*request, *Error) {
	if to := r.Header.Get(HeaderTo); to != "" && to != s.self.Host {
		return nil, s.fail(NotRun, StepHost, http.StatusServiceUnavailable, fmt.Errorf("%w: %s", errWrongHost, to))
	}
	table := s.config.Table()
	if table == nil {
		return nil, s.fail(NotRun, StepConfiguration, http.StatusServiceUnavailable, errNoConfiguration)
	}
	service := table.Config.Services[r.Header.Get(HeaderService)]
	if service == nil {
		return nil, s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errNoLocalTarget)
	}
	q, remaining, err := parseAttempt(r)
	if err != nil {
		return nil, s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
	}
	q.service = service
	q.config = table.Config
	q.deadline = s.now().Add(remaining)
	q.body, err = readBodyByDeadline(w, r, q.deadline)
	if err != nil {
		return nil, s.fail(NotRun, StepRequest, bodyErrorStatus(err), err)
	}
	return q, nil
}

// parseAttempt parses the headers of a request between daemons.
func parseAttempt(r *http.Request) (*request, time.Duration, error) {
	id, err := parseCallID(r.Header.Get(HeaderCall))
	if err != nil {
		return nil, 0, err
	}
	remaining, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return nil, 0, err
	}
	if remaining == 0 {
		remaining = defaultDeadline
	}
	attempt, err := parseCount(r.Header, HeaderAttempt, maxAttempt, 1)
	if err != nil {
		return nil, 0, err
	}
	retries, err := parseCount(r.Header, HeaderRetryBudget, maxRetryBudget, 0)
	if err != nil {
		return nil, 0, err
	}
	priority, err := parseCount(r.Header, headerPriority, maxPriority, 0)
	if err != nil {
		return nil, 0, err
	}
	share, err := parseShare(r.Header.Get(headerShare))
	if err != nil {
		return nil, 0, err
	}
	objective, err := parseDeadline(r.Header.Get(headerObjective))
	if err != nil {
		return nil, 0, err
	}
	key := r.Header.Get(HeaderKey)
	if key != "" {
		if key, err = parseKey(key); err != nil {
			return nil, 0, err
		}
	}
	return &request{
		id:           id,
		attempt:      attempt,
		key:          key,
		workspace:    r.Header.Get(headerWorkspace),
		share:        share,
		priority:     priority,
		objective:    objective,
		late:         r.Header.Get(headerLate) != "",
		freeSlotOnly: r.Header.Get(headerFreeSlotOnly) != "",
		timed:        r.Header.Get(headerTimed) != "",
		retries:      retries,
		method:       r.Method,
		host:         r.Host,
		path:         r.URL.EscapedPath(),
		query:        r.URL.RawQuery,
		header:       endToEndHeaders(r.Header),
	}, remaining, nil
}
