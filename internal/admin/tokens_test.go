package admin_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const (
	rootToken      = "root-secret-7f3a"
	readerToken    = "reader-secret-91bd"
	publisherToken = "publisher-secret-c0de"
	ownerToken     = "owner-secret-55aa"
	ledgerToken    = "ledger-secret-d00d"
	meshToken      = "mesh-secret-e1e1"
	unknownToken   = "unknown-secret-0b0b"
)

// secured is an API with access control and some tokens.
type secured struct {
	*api
	logs    *bytes.Buffer
	metrics *metrics.Set
}

// with returns a client that holds a token.
func (s *secured) with(token string) *admin.Client {
	return admin.NewClient(s.server.URL, token, s.server.Client())
}

func tokensTemplate(tokens map[string]publish.Role) string {
	var items []string
	for token, role := range tokens {
		name, _, _ := strings.Cut(token, "-")
		items = append(items, fmt.Sprintf(`{"name": %q, "sha256": %q, "role": %q}`, name, publish.HashToken(token), role))
	}
	return `{"tokens": [` + strings.Join(items, ",") + `]}`
}

// withAccess returns a publication with tokens.
func withAccess(publication *admin.Publication, tokens map[string]publish.Role) *admin.Publication {
	publication.SetTemplates["access.tmpl"] = tokensTemplate(tokens)
	return publication
}

var heaterTokens = map[string]publish.Role{
	readerToken: publish.Reader, publisherToken: publish.Publisher, ownerToken: publish.Administrator,
}

func secure(t *testing.T) *secured {
	t.Helper()
	s := &secured{logs: &bytes.Buffer{}, metrics: metrics.NewSet()}
	logger, err := logging.New(s.logs, "debug")
	assert.NilError(t, err)
	s.api = serve(t, func(o *admin.Options) {
		o.Authorizer = &admin.TokenAuthorizer{Config: o.Enforcer, RootSHA256: publish.HashToken(rootToken)}
		o.Logger = logger
		o.Metrics = s.metrics
	})
	root := &api{Client: s.with(rootToken)}
	root.publishAccepted(t, withAccess(change("heaters", 0, "20"), heaterTokens))
	root.publishAccepted(t, withAccess(change("ledger", 0, "5"), map[string]publish.Role{ledgerToken: publish.Administrator}))
	root.publishAccepted(t, withAccess(change("mesh", 0, "5"), map[string]publish.Role{meshToken: publish.Administrator}))
	return s
}

// statusOf returns the HTTP status that an error carries, 200 for none.
func statusOf(err error) int {
	var problem *admin.Problem
	if errors.As(err, &problem) {
		return problem.Status
	}
	return http.StatusOK
}

func TestTokensGiveRolesInTheirWorkspaceOnly(t *testing.T) {
	s := secure(t)
	const (
		ok        = http.StatusOK
		noToken   = http.StatusUnauthorized
		forbidden = http.StatusForbidden
	)
	for _, c := range []struct {
		token                                       string
		source, validate, rollback, state, timeline int
	}{
		{"", noToken, noToken, noToken, noToken, noToken},
		{unknownToken, noToken, noToken, noToken, noToken, noToken},
		{ledgerToken, forbidden, forbidden, forbidden, ok, forbidden},
		{readerToken, ok, forbidden, forbidden, ok, forbidden},
		{publisherToken, ok, ok, ok, ok, forbidden},
		{ownerToken, ok, ok, ok, ok, forbidden},
		{meshToken, forbidden, forbidden, forbidden, ok, ok},
		{rootToken, ok, ok, ok, ok, ok},
	} {
		client := s.with(c.token)
		_, err := client.Source(t.Context(), "heaters", 0)
		assert.Equal(t, statusOf(err), c.source, c.token)
		_, err = client.Validate(t.Context(), change("heaters", 1, "21"))
		assert.Equal(t, statusOf(err), c.validate, c.token)
		_, err = client.Rollback(t.Context(), "heaters", &admin.Rollback{ID: uuid.NewString(), Version: 1})
		assert.Equal(t, statusOf(err), c.rollback, c.token)
		_, err = client.Status(t.Context())
		assert.Equal(t, statusOf(err), c.state, c.token)
		_, err = client.Timeline(t.Context())
		assert.Equal(t, statusOf(err), c.timeline, c.token)
	}
}

func TestAuthorIsTheHolderOfTheToken(t *testing.T) {
	s := secure(t)
	publication := change("heaters", 1, "21")
	publication.Author = "somebody-else"
	verdict, err := s.with(publisherToken).Publish(t.Context(), publication)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted")
	assert.Equal(t, verdict.Author, "publisher")
}

func TestOnlyAdministratorsChangeTokens(t *testing.T) {
	s := secure(t)
	grab := map[string]publish.Role{publisherToken: publish.Administrator}
	_, err := s.with(publisherToken).Publish(t.Context(), withAccess(change("heaters", 1, "21"), grab))
	assert.Equal(t, statusOf(err), http.StatusForbidden)
	_, err = s.with(publisherToken).Publish(t.Context(), withAccess(change("heaters", 99, "21"), grab))
	assert.Equal(t, statusOf(err), http.StatusServiceUnavailable)
	verdict, err := s.with(ownerToken).Publish(t.Context(), withAccess(change("heaters", 1, "21"), grab))
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted")
}

func TestDiffShowsTokens(t *testing.T) {
	s := secure(t)
	owner := s.with(ownerToken)
	verdict, err := owner.Publish(t.Context(), withAccess(change("heaters", 1, "20"), map[string]publish.Role{
		readerToken: publish.Reader, publisherToken: publish.Administrator, ownerToken: publish.Administrator,
	}))
	assert.NilError(t, err)
	diff, err := s.with(rootToken).Diff(t.Context(), "heaters", 1, verdict.Version)
	assert.NilError(t, err)
	hash := publish.HashToken(publisherToken)[:8]
	assert.DeepEqual(t, diff.Changes, []admin.Change{{
		Kind: "token", Name: "publisher",
		Before: "role publisher, sha256 " + hash + "...",
		After:  "role administrator, sha256 " + hash + "...",
	}})
}

// TestPublishersCannotHideTokensBehindARefusal publishes a change of tokens
// that is refused here for another reason, which the log might not share.
func TestPublishersCannotHideTokensBehindARefusal(t *testing.T) {
	s := secure(t)
	before, _ := s.mesh.Position()
	publication := withAccess(change("heaters", 1, "21"), map[string]publish.Role{publisherToken: publish.Administrator})
	publication.SetTemplates["late.tmpl"] = `{"routes": [{"name": "late", "service": "other/late"}]}`
	verdict, err := s.with(publisherToken).Publish(t.Context(), publication)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "refused")
	after, _ := s.mesh.Position()
	assert.Equal(t, after, before)
}

func TestQuotaLimitsEachWorkspaceByItself(t *testing.T) {
	now := time.Unix(1000, 0)
	a := serve(t, func(o *admin.Options) {
		o.Quota = admin.Quota{Interval: time.Second, Burst: 2}
		o.Now = func() time.Time { return now }
	})
	version := a.publishAccepted(t, change("heaters", 0, "1"))
	version = a.publishAccepted(t, change("heaters", version, "2"))
	_, err := a.Publish(t.Context(), change("heaters", version, "3"))
	assert.Equal(t, statusOf(err), http.StatusTooManyRequests)
	a.publishAccepted(t, change("ledger", 0, "1"))
	now = now.Add(time.Second)
	a.publishAccepted(t, change("heaters", version, "3"))
}

// TestSecretsAppearNowhere makes requests that succeed and fail with every
// token and looks for the tokens in all that the daemon says.
func TestSecretsAppearNowhere(t *testing.T) {
	s := secure(t)
	s.mesh.FailSubmit(errors.New("log is out"))
	tokens := []string{rootToken, readerToken, publisherToken, ownerToken, ledgerToken, meshToken, unknownToken}
	var said strings.Builder
	for _, token := range tokens {
		client := s.with(token)
		_, err := client.Publish(t.Context(), change("heaters", 1, "21"))
		fmt.Fprintln(&said, err)
		_, err = client.Rollback(t.Context(), "heaters", &admin.Rollback{ID: "x", Version: 9})
		fmt.Fprintln(&said, err)
		_, err = client.Source(t.Context(), "heaters", 77)
		fmt.Fprintln(&said, err)
		_, err = client.Drain(t.Context(), true)
		fmt.Fprintln(&said, err)
		source, err := client.Source(t.Context(), "heaters", 0)
		fmt.Fprintln(&said, source, err)
	}
	said.WriteString(s.logs.String())
	s.metrics.WritePrometheus(&said)
	assert.NilError(t, timeline.WriteJSON(&said, s.mesh.Events.Events()))
	assert.Assert(t, strings.Contains(said.String(), "log is out"))
	assert.Assert(t, s.logs.Len() > 0)
	for _, token := range tokens {
		assert.Assert(t, !strings.Contains(said.String(), token), token)
	}
}
