package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// serveTarget is the gate of the own target: it refuses, or runs the request
// on the target. A refusal here is always not-run.
func (s *Server) serveTarget(ctx context.Context, q *request) (*answer, *Error) {
	self := s.directory.View().Self
	if failure := s.refusal(q, self); failure != nil {
		s.counters.refused.Inc()
		return nil, failure
	}
	if q.key != "" {
		return s.runKeyed(ctx, q, self)
	}
	result, failure, _ := s.run(ctx, q, self)
	return result, failure
}

// refusal says why the target takes no such request now, nil when it does.
func (s *Server) refusal(q *request, self membership.Member) *Error {
	switch {
	case self.Service != q.service.Name || self.TargetState == membership.NoTarget:
		return s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errNoTargetHere)
	case s.inflight.isDraining(), self.TargetState == membership.Draining, self.State != membership.Alive:
		return s.fail(NotRun, StepDrain, http.StatusServiceUnavailable, errDraining)
	default:
		return nil
	}
}

// run admits a request, hands it to the target and takes the answer. It
// reports whether a byte of the request may have been handed on.
func (s *Server) run(ctx context.Context, q *request, self membership.Member) (*answer, *Error, bool) {
	address, instance := s.target.TargetAddress()
	if address == "" {
		return nil, s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errNoTargetHere), false
	}
	if failure := s.admit(ctx, q, self); failure != nil {
		return nil, failure, false
	}
	began := s.now()
	answered := false
	leave := sync.OnceFunc(func() { s.gate.leave(q.priority, s.now().Sub(began), answered) })
	sent := TargetRequest{ID: q.id, Instance: instance}
	response, failed, err := s.exchange(ctx, s.targets.transport(), address, q, s.ranEvent(q), s.prepare(&sent))
	s.counters.target.Update(s.now().Sub(began).Seconds())
	s.logRan(q, instance, statusOrNone(response), s.now().Sub(began))
	if err != nil {
		s.noteFailedSend(ctx, q, failed)
		leave()
		return nil, s.fail(outcomeOf(failed.handed), StepTarget, statusOf(ctx, err), err), failed.handed
	}
	if failure := s.judge(sent, response); failure != nil {
		s.gate.ended(true)
		leave()
		return nil, failure, failure.Outcome != NotRun
	}
	result, err := newAnswer(response, func(whole bool) {
		answered = whole && response.StatusCode < http.StatusInternalServerError
		s.gate.ended(!answered && !callerGone(ctx))
		leave()
	})
	if err != nil {
		return nil, s.fail(Unknown, StepAnswer, statusOf(ctx, err), err), true
	}
	return result, nil, true
}

// noteFailedSend judges the target by a request that got no response. A target
// that forgets connections that rest is not at fault otherwise.
func (s *Server) noteFailedSend(ctx context.Context, q *request, failed failedSend) {
	if ctx.Err() == nil && failed.handed && s.targets.failed(failed.rested, failed.used) {
		s.log.WithFields(logrus.Fields{"call": q.id, "rested": failed.rested, "used": failed.used}).Info("target forgot a connection")
		return
	}
	s.gate.ended(!callerGone(ctx))
}

// callerGone reports whether a call ended because nobody waits for it any more.
func callerGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// statusOrNone returns the status of a response, 0 for none.
func statusOrNone(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

// prepare returns what puts the headers of the target's dialect in place of
// the mesh's own, nil when there is no dialect.
func (s *Server) prepare(sent *TargetRequest) func(http.Header, time.Duration) {
	if s.dialect == nil {
		return nil
	}
	return func(header http.Header, left time.Duration) {
		for name := range header {
			if strings.HasPrefix(name, headerPrefix) {
				delete(header, name)
			}
		}
		sent.Remaining = left
		s.dialect.Prepare(header, *sent)
	}
}

// judge returns why an answer of the target cannot be passed on, nil when it
// can.
func (s *Server) judge(sent TargetRequest, response *http.Response) *Error {
	if s.dialect == nil {
		return nil
	}
	switch s.dialect.Classify(sent, response.StatusCode, response.Header) {
	case ResponseNotRun:
		_ = response.Body.Close()
		return s.fail(NotRun, StepShed, http.StatusServiceUnavailable, fmt.Errorf("%w: status %d", errShed, response.StatusCode))
	case ResponseMismatched:
		closeConnection(response)
		return s.fail(Unknown, StepAnswer, http.StatusBadGateway, errCrossed)
	}
	return nil
}

// ranEvent returns what records, once, that a request was handed on.
func (s *Server) ranEvent(q *request) func() {
	if q.key == "" && q.attempt <= 1 && !s.sampled(q.id) {
		return func() {}
	}
	return sync.OnceFunc(func() {
		s.events.Record(timeline.Event{
			Kind:    timeline.Ran,
			Call:    q.id,
			Attempt: q.attempt,
			Key:     q.key,
			Service: q.service.Name,
			Peer:    s.self.Host,
		})
	})
}

// admit waits for a slot of the own target. The gate must be left after a nil error.
func (s *Server) admit(ctx context.Context, q *request, self membership.Member) *Error {
	began := s.now()
	err := s.gate.enter(ctx, q.ticket(), q.limits(self))
	s.counters.queue.Update(s.now().Sub(began).Seconds())
	if err != nil {
		s.counters.refused.Inc()
		return s.fail(NotRun, StepAdmit, http.StatusServiceUnavailable, err)
	}
	s.counters.admitted.Inc()
	return nil
}

// failedSend is what is known of a request that got no response.
type failedSend struct {
	// handed says that a byte of the request may have been handed on.
	handed bool
	// rested is how long its connection had been idle before, used how long it
	// was in use.
	rested, used time.Duration
}

// exchange sends an attempt to an address and returns the response, or with an
// error what is known of the request.
func (s *Server) exchange(ctx context.Context, transport *http.Transport, address string, q *request, onWrite func(), prepare func(http.Header, time.Duration)) (*http.Response, failedSend, error) {
	left := max(q.deadline.Sub(s.now()), time.Nanosecond)
	watch := &handover{}
	out, err := q.outgoing(ctx, address, left)
	if err != nil {
		return nil, failedSend{}, err
	}
	if prepare != nil {
		prepare(out.Header, left)
	}
	response, err := transport.RoundTrip(out.WithContext(watch.trace(ctx, onWrite)))
	if err == nil {
		response.Body = &watchedBody{ReadCloser: response.Body, watch: watch}
		return response, failedSend{}, nil
	}
	failed := watch.failed()
	if failed.handed {
		onWrite()
	}
	return nil, failed, err
}
