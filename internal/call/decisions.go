package call

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// Each decision that ends a call, or sends it on after a failure, is one line
// with the call's id. A call that goes well costs none at the usual level.

// logFailed tells how a call ended without an answer of a target.
func (s *Server) logFailed(id, service string, failure *Error) {
	s.log.WithFields(logrus.Fields{
		"call":    id,
		"service": service,
		"outcome": failure.Outcome,
		"step":    failure.Step,
		"peer":    failure.Peer,
		"status":  failure.Status,
		"cause":   failure.Err,
	}).Info("call failed")
}

// logAttempt tells of an attempt that failed and whether another one follows.
func (s *Server) logAttempt(c *outbound, attempt int, member membership.Member, failure *Error, again bool) {
	fields := logrus.Fields{
		"call":     c.request.id,
		"attempt":  attempt,
		"host":     member.Host,
		"entry":    member.Version.Counter,
		"again":    again,
		"left":     c.left,
		"refusals": c.refusals,
	}
	if failure != nil {
		fields["outcome"] = failure.Outcome
		fields["step"] = failure.Step
		fields["cause"] = failure.Err
	}
	s.log.WithFields(fields).Info("attempt failed")
}

// logRefused tells why the gate of the own target refused a request.
func (s *Server) logRefused(q *request, failure *Error) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	load := s.gate.load()
	s.log.WithFields(logrus.Fields{
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

// logAnswered tells of a call that was answered by a target.
func (s *Server) logAnswered(c *outbound, result *answer, took time.Duration) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"call":     c.request.id,
		"service":  c.request.service.Name,
		"route":    c.route.Name,
		"version":  c.request.config.Version,
		"host":     result.host,
		"attempts": result.attempt,
		"status":   result.status,
		"took":     took,
	}).Debug("call answered")
}

// logRan tells how the own target ended a request, with status 0 when it gave no
// answer.
func (s *Server) logRan(q *request, instance string, status int, took time.Duration) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"call":     q.id,
		"attempt":  q.attempt,
		"priority": q.priority,
		"instance": instance,
		"status":   status,
		"took":     took,
	}).Debug("request ran")
}
