package admin

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Quota limits the rate of publications of one workspace through one daemon.
type Quota struct {
	// Interval is the minimum mean time between publications, 0 for no limit.
	Interval time.Duration
	// Burst is the maximum number of publications at once.
	Burst int
}

// quotas holds a rate limiter for each workspace.
type quotas struct {
	quota    Quota
	now      func() time.Time
	limiters *lru.Cache[string, *rate.Limiter]
}

func newQuotas(quota Quota, now func() time.Time) *quotas {
	// The error is nil: New fails only for a size that is not positive.
	limiters, _ := lru.New[string, *rate.Limiter](publish.MaxWorkspaces)
	return &quotas{quota: quota, now: now, limiters: limiters}
}

// consume takes one publication of the quota, or returns the problem to respond
// with.
func (q *quotas) consume(workspace string) *Problem {
	if q.quota.Interval <= 0 {
		return nil
	}
	newLimiter := rate.NewLimiter(rate.Every(q.quota.Interval), max(1, q.quota.Burst))
	limiter := newLimiter
	if existing, found, _ := q.limiters.PeekOrAdd(workspace, newLimiter); found {
		limiter = existing
		q.limiters.Get(workspace)
	}
	if limiter.AllowN(q.now(), 1) {
		return nil
	}
	return &Problem{Type: TypeQuotaExceeded, Title: "too many publications of this workspace", Status: http.StatusTooManyRequests,
		Detail: fmt.Sprintf("%d at once and one every %s are allowed", max(1, q.quota.Burst), q.quota.Interval)}
}

// checkTokenChange lets only administrators change the tokens of a workspace. A
// publication whose base this daemon has not applied yet cannot be checked.
// A publication that the validation rules refuse in the current state is answered
// with that verdict and not appended: a change of another workspace that comes
// before it in the log could make it valid.
func (s *Server) checkTokenChange(principal Principal, publication *publish.Publication) (*publish.Verdict, error) {
	if principal.Role.Includes(publish.Administrator) {
		return nil, nil
	}
	_, version, _ := s.Enforcer.Source(publication.GetWorkspace())
	if publication.GetBase() > uint64(version) {
		return nil, unavailable("check tokens", fmt.Errorf("version %d is not applied on this daemon yet", publication.GetBase()))
	}
	verdict, next, err := s.dryRun(publication)
	if err != nil {
		return nil, unavailable("check tokens", err)
	}
	switch verdict.Outcome {
	case publish.Refused:
		return &verdict, nil
	case publish.Accepted:
		if !slices.Equal(s.currentTokens(publication), tokensOf(next, publication)) {
			return nil, forbidden("role administrator is needed to change tokens")
		}
	}
	return nil, nil
}

func (s *Server) currentTokens(publication *publish.Publication) []publish.Token {
	table := s.Enforcer.Table()
	if table == nil {
		return nil
	}
	return tokensOf(table.Config, publication)
}

func tokensOf(config *publish.Configuration, publication *publish.Publication) []publish.Token {
	workspace := config.Workspaces[publication.GetWorkspace()]
	if workspace == nil {
		return nil
	}
	return workspace.Tokens
}
