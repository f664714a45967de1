package call

import (
	"net/http"

	"github.com/sirupsen/logrus"
)

// recordNotice applies what a response of the target says about the target itself. The
// daemon beside a target sends it all its requests, so a limit that is kept here is kept
// for all callers.
func (s *Server) recordNotice(instance string, response *http.Response) {
	notice, err := s.dialect.Notice(response.StatusCode, response.Header)
	if err != nil {
		s.requestLogs.decision.WithError(err).WithField("instance", instance).Debug("notice of the target ignored")
		return
	}
	if s.admission.setRateLimit(instance, notice.RateLimit) {
		s.requestLogs.decision.WithFields(logrus.Fields{
			"instance":   instance,
			"limited":    notice.RateLimit.Limited,
			"per_second": notice.RateLimit.PerSecond,
		}).Info("rate limit of the target changed")
	}
	if notice.Leaving {
		s.onTargetLeaving(instance)
	}
}

// targetRateLimit returns the requests a second that the target takes, -1 for any
// number.
func (s *Server) targetRateLimit() float64 {
	limit := s.admission.rateLimit()
	if !limit.Limited {
		return -1
	}
	return limit.PerSecond
}
