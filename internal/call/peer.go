package call

import (
	"context"
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
	q, failure := s.parsePeer(w, r)
	if failure != nil {
		s.answerPeer(w, r.Header.Get(HeaderCall), noRank, failure)
		return
	}
	defer bound(w, q.deadline, q.body)()
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	result, failure := s.serveTarget(ctx, q)
	if failure != nil {
		s.logRefused(q, failure)
		q.body.stop(w)
		closeWhenGone(ctx, w)
		s.answerPeer(w, q.id, q.priority, failure.told())
		return
	}
	s.setReports(w.Header(), q.id, q.priority)
	q.body.duplex(w)
	if err := result.relay(w); err != nil {
		s.counters.cut.Inc()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) answerPeer(w http.ResponseWriter, id string, priority int, failure *Error) {
	s.setReports(w.Header(), id, priority)
	writeError(w, id, failure)
}

// setReports adds what each answer between daemons carries.
func (s *Server) setReports(header http.Header, id string, priority int) {
	header.Set(HeaderCall, id)
	header.Set(HeaderPeer, s.self.Host)
	load := s.gate.loadFor(priority)
	header.Set(HeaderLoad, load.String())
	if load.ServiceTime > 0 {
		header.Set(headerTook, load.ServiceTime.Round(tookResolution).String())
	}
	if load.FailureRate > 0 {
		header.Set(headerFailing, strconv.FormatFloat(load.FailureRate, 'f', 2, 64))
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
	if time, err := timeline.ParseTimestamp(text); err == nil {
		s.clock.Observe(time)
	}
}

// parsePeer reads an attempt that another daemon sent. Errors are not-run.
func (s *Server) parsePeer(w http.ResponseWriter, r *http.Request) (*request, *Error) {
	if to := r.Header.Get(HeaderTo); to != "" && to != s.self.Host {
		return nil, s.fail(NotRun, StepHost, http.StatusServiceUnavailable, fmt.Errorf("%w: %s", errOtherHost, to))
	}
	table := s.tables.Table()
	if table == nil {
		return nil, s.fail(NotRun, StepConfiguration, http.StatusServiceUnavailable, errNoConfiguration)
	}
	service := table.Config.Services[r.Header.Get(HeaderService)]
	if service == nil {
		return nil, s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errNoTargetHere)
	}
	q, left, err := parseAttempt(r)
	if err != nil {
		return nil, s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
	}
	q.service = service
	q.config = table.Config
	q.deadline = s.now().Add(left)
	q.body, err = readBodyUntil(w, r, q.deadline)
	if err != nil {
		return nil, s.fail(NotRun, StepRequest, http.StatusBadRequest, err)
	}
	return q, nil
}

// parseAttempt reads the headers that daemons send to each other.
func parseAttempt(r *http.Request) (*request, time.Duration, error) {
	id, err := parseCall(r.Header.Get(HeaderCall))
	if err != nil {
		return nil, 0, err
	}
	left, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return nil, 0, err
	}
	if left == 0 {
		left = defaultDeadline
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
		priority:     priority,
		objective:    objective,
		late:         r.Header.Get(headerLate) != "",
		freeSlotOnly: r.Header.Get(headerFreeSlot) != "",
		retries:      retries,
		method:       r.Method,
		host:         r.Host,
		path:         r.URL.EscapedPath(),
		query:        r.URL.RawQuery,
		header:       passHeaders(r.Header),
	}, left, nil
}
