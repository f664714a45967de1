package call

import (
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// QuotaLimiter enforces the quotas of client workspaces over all daemons.
type QuotaLimiter interface {
	// Admit takes a request from the quota of a client workspace. If it reports false,
	// the request must be refused and may be made again after retryAfter. giveBack
	// returns a request that was admitted but has not run; it is nil if the request was
	// refused.
	Admit(client *publish.ClientWorkspace) (giveBack func(), retryAfter time.Duration, ok bool)
}

// admitByQuota takes a call from the quota of its client workspace, nil for none.
// The function that it returns gives the call back if it has not run.
func (s *Server) admitByQuota(client *publish.ClientWorkspace) (giveBack func(), failure *Error) {
	if s.quota == nil || client == nil {
		return func() {}, nil
	}
	giveBack, retryAfter, ok := s.quota.Admit(client)
	if ok {
		return giveBack, nil
	}
	failure = s.fail(NotRun, StepQuota, http.StatusTooManyRequests, errOverQuota)
	failure.Unavailable = retryAfter
	return nil, failure
}
