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

// Quota limits how often one workspace may be published through one daemon.
type Quota struct {
	// Interval is the mean time between two publications, 0 for no limit.
	Interval time.Duration
	// Burst is how many publications may come at once.
	Burst int
}

// quotas holds the quota of each workspace.
type quotas struct {
	quota    Quota
	now      func() time.Time
	limiters *lru.Cache[string, *rate.Limiter]
}

func newQuotas(quota Quota, now func() time.Time) *quotas {
	// The size is a positive constant, so there is no error.
	limiters, _ := lru.New[string, *rate.Limiter](publish.MaxWorkspaces)
	return &quotas{quota: quota, now: now, limiters: limiters}
}

// take counts one publication, or returns the problem to answer with.
func (q *quotas) take(workspace string) *Problem {
	if q.quota.Interval <= 0 {
		return nil
	}
	fresh := rate.NewLimiter(rate.Every(q.quota.Interval), max(1, q.quota.Burst))
	limiter := fresh
	if known, found, _ := q.limiters.PeekOrAdd(workspace, fresh); found {
		limiter = known
		q.limiters.Get(workspace)
	}
	if limiter.AllowN(q.now(), 1) {
		return nil
	}
	return &Problem{Type: TypeQuota, Title: "too many publications of this workspace", Status: http.StatusTooManyRequests,
		Detail: fmt.Sprintf("%d at once and one every %s are allowed", max(1, q.quota.Burst), q.quota.Interval)}
}

// guardTokens lets only administrators change the tokens of a workspace. A
// publication on a base that this daemon does not have yet cannot be judged.
// One that the rules refuse here is refused with their verdict and not
// appended, since another workspace's change could make the log accept it.
func (s *Server) guardTokens(principal Principal, publication *publish.Publication) (*publish.Verdict, error) {
	if principal.Role.Includes(publish.Administrator) {
		return nil, nil
	}
	_, version, _ := s.Enforcer.Source(publication.GetWorkspace())
	if publication.GetBase() > uint64(version) {
		return nil, unavailable("check tokens", fmt.Errorf("version %d is not known here yet", publication.GetBase()))
	}
	verdict, next, err := s.try(publication)
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
