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
	"github.com/mulberrybank/mulberrybank/internal/pace"
	"github.com/mulberrybank/mulberrybank/internal/responsehead"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// serveTarget runs a request on the local target, or refuses it. An error of
// targetError is always not-run.
func (s *Server) serveTarget(ctx context.Context, q *request) (*targetResponse, *Error) {
	self := s.directory.View().Self
	if failure := s.targetError(q, self); failure != nil {
		s.counters.refused.Inc()
		return nil, failure
	}
	if q.key != "" {
		return s.runKeyed(ctx, q, self)
	}
	result, failure, _ := s.runOnTarget(ctx, q, self)
	return result, failure
}

// targetError returns why the local target cannot accept a request now, nil if it
// can.
func (s *Server) targetError(q *request, self membership.Member) *Error {
	switch {
	case self.Service != q.service.Name || self.TargetState == membership.NoTarget:
		return s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errNoLocalTarget)
	case s.inflight.isDraining():
		return s.drainError()
	case self.TargetState == membership.Draining, self.State != membership.Alive:
		return s.fail(NotRun, StepDrain, http.StatusServiceUnavailable, errDraining)
	default:
		return nil
	}
}

// drainError returns the error of requests that a stop refuses for the local target.
func (s *Server) drainError() *Error {
	return s.fail(NotRun, StepDrain, http.StatusServiceUnavailable, s.inflight.stopError(phaseDrain, errDraining))
}

// runOnTarget admits a request, sends it to the target and returns the response.
// It reports whether a byte of the request may have been sent.
func (s *Server) runOnTarget(ctx context.Context, q *request, self membership.Member) (*targetResponse, *Error, bool) {
	address, instance := s.target.TargetAddress()
	if address == "" {
		return nil, s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errNoLocalTarget), false
	}
	if s.breaker.refuses(instance) {
		return nil, s.brokenError(), false
	}
	reserved, failure := s.admitToLink(q)
	if failure != nil {
		return nil, failure, false
	}
	defer func() { s.link.add(-reserved) }()
	if failure := s.admit(ctx, q, self, instance); failure != nil {
		return nil, failure, false
	}
	start := s.now()
	succeeded := false
	// outcome is what the end of the request shows about the target.
	outcome, answered, responded := pace.Inconclusive, time.Duration(0), false
	release := sync.OnceFunc(func() {
		held := s.now().Sub(start)
		s.recordPace(outcome, q, held, answered, responded)
		s.admission.release(q.rank(), held, succeeded)
	})
	// The target may have begun to drain while the request was queued.
	if failure := s.targetError(q, s.directory.View().Self); failure != nil {
		release()
		return nil, failure, false
	}
	if !s.breaker.admit(instance) {
		release()
		return nil, s.brokenError(), false
	}
	sent := TargetRequest{ID: q.id, Instance: instance}
	response, failed, err := s.roundTrip(ctx, s.targetConns.current(), address, q, s.ranRecorder(q), s.headerRewriter(&sent))
	took := s.now().Sub(start)
	s.counters.target.Update(took.Seconds())
	s.logRequestRan(q, instance, statusOrNone(response), took)
	if err != nil {
		s.recordSendFailure(ctx, q, failed, instance)
		outcome = sendFailurePace(ctx, failed)
		release()
		return nil, s.fail(sendOutcome(failed.mayHaveSent), StepTarget, statusOf(ctx, err), err), failed.mayHaveSent
	}
	answered, responded = s.now().Sub(start), true
	s.admission.recordResponse()
	s.breaker.recordResponse()
	if failure := s.checkTargetResponse(sent, response); failure != nil {
		s.admission.recordOutcome(true)
		outcome = refusalPace(response, failure)
		release()
		return nil, failure, failure.Outcome != NotRun
	}
	q.headArrived()
	result, err := s.link.receive(q, response, func(complete bool) {
		succeeded = complete && response.StatusCode < http.StatusInternalServerError
		s.admission.recordOutcome(!succeeded && !callerDisconnected(ctx))
		outcome = responsePace(ctx, succeeded, complete)
		release()
	})
	if err != nil {
		return nil, s.fail(Unknown, StepAnswer, statusOf(ctx, err), err), true
	}
	result.targetTime = took
	return result, nil, true
}

// recordSendFailure counts a request that got no response as failed by the target,
// unless the caller disconnected or the target had dropped an idle connection.
func (s *Server) recordSendFailure(ctx context.Context, q *request, failed sendFailure, instance string) {
	if ctx.Err() == nil && failed.mayHaveSent && s.targetConns.reportFailure(failed.idle, failed.used) {
		s.requestLogs.decision.WithFields(logrus.Fields{"call": q.id, "rested": failed.idle, "used": failed.used}).Info("connection broke after it was idle, not counted as a failure of the target")
		return
	}
	s.admission.recordOutcome(!callerDisconnected(ctx))
	// The body that a caller streams may be what failed, and a target that sends part of
	// a response works.
	silent := failed.unanswered || !failed.mayHaveSent
	if ctx.Err() == nil && silent && q.body.resendable() {
		s.breaker.recordBroken(instance)
	}
}

// brokenError returns the error of requests that are refused while the target breaks
// its connections.
func (s *Server) brokenError() *Error {
	s.counters.refused.Inc()
	return s.fail(NotRun, StepTarget, http.StatusServiceUnavailable, errTargetBroken)
}

// callerDisconnected reports whether a context ended other than by its deadline,
// because the caller disconnected or the attempt was cancelled.
func callerDisconnected(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// statusOrNone returns the status of a response, 0 if there is none.
func statusOrNone(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

// headerRewriter returns the function that replaces the mesh's own headers by
// those of the target's dialect, nil if there is no dialect.
func (s *Server) headerRewriter(sent *TargetRequest) func(http.Header, time.Duration) {
	if s.dialect == nil {
		return nil
	}
	return func(header http.Header, remaining time.Duration) {
		for name := range header {
			if strings.HasPrefix(name, meshHeaderPrefix) {
				delete(header, name)
			}
		}
		sent.Remaining = remaining
		s.dialect.Prepare(header, *sent)
	}
}

// checkTargetResponse returns an error if a response of the target must not be
// passed on.
func (s *Server) checkTargetResponse(sent TargetRequest, response *http.Response) *Error {
	if s.dialect == nil {
		return nil
	}
	class := s.dialect.Classify(sent, response.StatusCode, response.Header)
	if class != ResponseMismatched {
		s.recordNotice(sent.Instance, response)
	}
	switch class {
	case ResponseNotRun:
		_ = response.Body.Close()
		return s.fail(NotRun, StepShed, http.StatusServiceUnavailable, fmt.Errorf("%w: status %d", errTargetNotRun, response.StatusCode))
	case ResponseMismatched:
		closeConnection(response)
		return s.fail(Unknown, StepAnswer, http.StatusBadGateway, errResponseMismatched)
	}
	return nil
}

// ranRecorder returns a function that records, once, that a request was sent to
// the target.
func (s *Server) ranRecorder(q *request) func() {
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

// admit waits for a slot of the local target. After a nil error the slot must be
// released.
func (s *Server) admit(ctx context.Context, q *request, self membership.Member, instance string) *Error {
	start := s.now()
	err := s.admission.acquire(ctx, q.admissionRequest(), q.limits(self, instance))
	s.counters.queue.Update(s.now().Sub(start).Seconds())
	if errors.Is(err, errDraining) {
		s.counters.refused.Inc()
		return s.drainError()
	}
	if err != nil {
		s.counters.refused.Inc()
		return s.fail(NotRun, StepAdmit, http.StatusServiceUnavailable, err)
	}
	s.counters.admitted.Inc()
	return nil
}

// sendFailure describes a request that got no response.
type sendFailure struct {
	// mayHaveSent says that a byte of the request may have been sent.
	mayHaveSent bool
	// unanswered says that it was sent and no byte of a response was read.
	unanswered bool
	// reused says that its connection had carried an earlier request.
	reused bool
	// acquired is when the request got its connection, idle is how long that had been
	// idle before, used how long the request was using it.
	acquired   time.Time
	idle, used time.Duration
}

// roundTrip sends an attempt to an address and returns the response. The
// sendFailure describes the request if there is an error. A request that was given a
// used connection on which it could not be sent goes to a new connection.
func (s *Server) roundTrip(ctx context.Context, conns transports, address string, q *request, onWrite func(), rewriteHeader func(http.Header, time.Duration)) (*http.Response, sendFailure, error) {
	response, failed, err := s.roundTripOnce(ctx, conns.pooled, address, q, onWrite, rewriteHeader)
	if err == nil || !failed.reused || failed.mayHaveSent || !q.body.resendable() || ctx.Err() != nil {
		return response, failed, err
	}
	return s.roundTripOnce(ctx, conns.unpooled, address, q, onWrite, rewriteHeader)
}

// roundTripOnce is roundTrip on one connection.
func (s *Server) roundTripOnce(ctx context.Context, transport *http.Transport, address string, q *request, onWrite func(), rewriteHeader func(http.Header, time.Duration)) (*http.Response, sendFailure, error) {
	remaining := max(q.deadline.Sub(s.now()), time.Nanosecond)
	tracker := &writeTracker{}
	out, err := q.httpRequest(ctx, address, remaining)
	if err != nil {
		return nil, sendFailure{}, err
	}
	if rewriteHeader != nil {
		rewriteHeader(out.Header, remaining)
	}
	if q.mayGoElsewhere != nil {
		var stop func() bool
		ctx, tracker.admit, stop = limitConnWait(ctx, connWaitLimit(remaining), q.mayGoElsewhere)
		defer stop()
	}
	response, err := transport.RoundTrip(out.WithContext(tracker.trace(ctx, onWrite)))
	if err == nil {
		response.Body = &trackedBody{ReadCloser: response.Body, tracker: tracker}
		err = checkResponse(response, tracker)
	}
	if err == nil {
		return response, sendFailure{}, nil
	}
	if errors.Is(err, responsehead.ErrInvalid) {
		s.counters.invalidResponses.Inc()
	}
	failed := tracker.failure()
	if failed.mayHaveSent {
		onWrite()
	}
	return nil, failed, err
}

// checkResponse returns an error for a response that cannot be one to its request,
// and closes its connection.
func checkResponse(response *http.Response, tracker *writeTracker) error {
	switch {
	case !tracker.mayHaveWritten():
		closeConnection(response)
		return errUnexpectedBytes
	case response.StatusCode == http.StatusSwitchingProtocols:
		closeConnection(response)
		return errProtocolSwitched
	}
	if err := tracker.headError(); err != nil {
		closeConnection(response)
		return err
	}
	return nil
}
