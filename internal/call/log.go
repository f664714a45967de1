package call

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// Each failed attempt and each failed call is logged in one line with the id of
// the call, by the daemon that took the call and by the daemon of the target. A call
// that succeeds on its first attempt logs nothing above debug level.

// requestLoggers log lines about requests.
type requestLoggers struct{ decision, rejection, failure *logrus.Entry }

func newRequestLoggers(log *logrus.Entry) requestLoggers {
	return requestLoggers{
		decision:  logging.OfKind(log, logging.Decision),
		rejection: logging.OfKind(log, logging.Rejection),
		failure:   logging.OfKind(log, logging.Failure),
	}
}

// ofCall returns the logger for the failure of a call.
func (l requestLoggers) ofCall(failure *Error) *logrus.Entry {
	switch {
	case failure.Step == StepRequest, failure.Step == StepRoute, failure.Step == StepQuota:
		return l.rejection
	case failure.Status == http.StatusUnauthorized:
		return l.rejection
	default:
		return l.failure
	}
}

// ofEnd returns the logger for an attempt that ends a call as failed, or does not.
func (l requestLoggers) ofEnd(failed bool) *logrus.Entry {
	if failed {
		return l.failure
	}
	return l.decision
}

// logCallFailed logs a call whose caller got an error or a truncated response.
func (s *Server) logCallFailed(id, service string, failure *Error) {
	s.requestLogs.ofCall(failure).WithFields(logrus.Fields{
		"call":    id,
		"service": service,
		"outcome": failure.Outcome,
		"step":    failure.Step,
		"peer":    failure.Peer,
		"status":  failure.Status,
		"cause":   failure.Err,
	}).Info("call failed")
}

// logAttemptFailed logs a failed attempt and whether another one follows.
func (s *Server) logAttemptFailed(c *outboundCall, attempt int, member membership.Member, failure *Error, decision retryDecision) {
	willRetry := decision == retryAllowed
	fields := logrus.Fields{
		"call":     c.request.id,
		"attempt":  attempt,
		"host":     member.Host,
		"entry":    member.Version.Counter,
		"again":    willRetry,
		"left":     c.retriesLeft,
		"refusals": c.refusals,
	}
	if !willRetry {
		fields["reason"] = decision
	}
	if failure != nil {
		fields["outcome"] = failure.Outcome
		fields["step"] = failure.Step
		fields["cause"] = failure.Err
	}
	s.requestLogs.ofEnd(!willRetry).WithFields(fields).Info("attempt failed")
}

// logNoHostLeft logs why there is no host for another attempt that was allowed.
func (s *Server) logNoHostLeft(c *outboundCall, attempt int, failure *Error) {
	s.requestLogs.failure.WithFields(logrus.Fields{
		"call":    c.request.id,
		"attempt": attempt,
		"step":    failure.Step,
		"cause":   failure.Err,
	}).Info("attempt not made")
}

// logRequestFailed logs why a request of another daemon to the local target was
// refused, or why it got no response.
func (s *Server) logRequestFailed(q *request, failure *Error) {
	message := "request failed"
	if failure.Outcome == NotRun {
		message = "request refused"
	}
	load := s.admission.load()
	s.requestLogs.decision.WithFields(logrus.Fields{
		"call":     q.id,
		"attempt":  q.attempt,
		"priority": q.priority,
		"late":     q.late,
		"busy":     load.Busy,
		"slots":    load.Slots,
		"queued":   load.Queued,
		"outcome":  failure.Outcome,
		"step":     failure.Step,
		"cause":    failure.Err,
	}).Info(message)
}

// logInvalidRequest logs why a request of another daemon could not be accepted.
func (s *Server) logInvalidRequest(header http.Header, failure *Error) {
	id, err := parseCallID(header.Get(HeaderCall))
	if err != nil {
		id = "invalid"
	}
	s.requestLogs.rejection.WithFields(logrus.Fields{
		"call":    id,
		"outcome": failure.Outcome,
		"step":    failure.Step,
		"cause":   failure.Err,
	}).Info("request rejected")
}

// logResponseCut logs a response of the local target that did not reach the daemon
// that sent the request in full.
func (s *Server) logResponseCut(q *request, err error) {
	s.requestLogs.decision.WithFields(logrus.Fields{"call": q.id, "attempt": q.attempt, "cause": err}).Info("response cut")
}

// failureLevel returns the level of the line about a response: that of a target that
// failed is logged by default. The status is 0 if there is no response.
func failureLevel(status int) logrus.Level {
	if status == 0 || status >= http.StatusInternalServerError {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// logCallAnswered logs a call that a target answered.
func (s *Server) logCallAnswered(c *outboundCall, result *targetResponse, duration time.Duration) {
	level := failureLevel(result.status)
	if !s.log.Logger.IsLevelEnabled(level) {
		return
	}
	s.requestLogs.ofEnd(level == logrus.InfoLevel).WithFields(logrus.Fields{
		"call":     c.request.id,
		"service":  c.request.service.Name,
		"route":    c.route.Name,
		"version":  c.request.config.Version,
		"host":     result.host,
		"attempts": result.attempt,
		"status":   result.status,
		"took":     duration,
	}).Log(level, "call answered")
}

// logRequestRan logs a request to the local target. The status is 0 if the target
// gave no response.
func (s *Server) logRequestRan(q *request, instance string, status int, duration time.Duration) {
	level := failureLevel(status)
	if !s.log.Logger.IsLevelEnabled(level) {
		return
	}
	s.requestLogs.decision.WithFields(logrus.Fields{
		"call":     q.id,
		"attempt":  q.attempt,
		"priority": q.priority,
		"instance": instance,
		"status":   status,
		"took":     duration,
	}).Log(level, "request ran")
}
