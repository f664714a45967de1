package call

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// Each failed attempt and each failed call is logged in one line with the id of
// the call. A call that succeeds on its first attempt logs nothing above debug
// level.

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
	if failure.Step == StepRequest || failure.Step == StepRoute {
		return l.rejection
	}
	return l.failure
}

// ofAttempt returns the logger for a failed attempt.
func (l requestLoggers) ofAttempt(willRetry bool) *logrus.Entry {
	if willRetry {
		return l.decision
	}
	return l.failure
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

// logAttemptFailed logs a failed attempt and whether it is retried.
func (s *Server) logAttemptFailed(c *outboundCall, attempt int, member membership.Member, failure *Error, willRetry bool) {
	fields := logrus.Fields{
		"call":     c.request.id,
		"attempt":  attempt,
		"host":     member.Host,
		"entry":    member.Version.Counter,
		"again":    willRetry,
		"left":     c.retriesLeft,
		"refusals": c.refusals,
	}
	if failure != nil {
		fields["outcome"] = failure.Outcome
		fields["step"] = failure.Step
		fields["cause"] = failure.Err
	}
	s.requestLogs.ofAttempt(willRetry).WithFields(fields).Info("attempt failed")
}

// logRequestRefused logs why a request to the local target was refused.
func (s *Server) logRequestRefused(q *request, failure *Error) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
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
		"step":     failure.Step,
		"cause":    failure.Err,
	}).Debug("request refused")
}

// logCallAnswered logs a call that a target answered.
func (s *Server) logCallAnswered(c *outboundCall, result *targetResponse, duration time.Duration) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	s.requestLogs.decision.WithFields(logrus.Fields{
		"call":     c.request.id,
		"service":  c.request.service.Name,
		"route":    c.route.Name,
		"version":  c.request.config.Version,
		"host":     result.host,
		"attempts": result.attempt,
		"status":   result.status,
		"took":     duration,
	}).Debug("call answered")
}

// logRequestRan logs a request to the local target. The status is 0 if the target
// gave no response.
func (s *Server) logRequestRan(q *request, instance string, status int, duration time.Duration) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	s.requestLogs.decision.WithFields(logrus.Fields{
		"call":     q.id,
		"attempt":  q.attempt,
		"priority": q.priority,
		"instance": instance,
		"status":   status,
		"took":     duration,
	}).Debug("request ran")
}
