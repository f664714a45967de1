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

// securedServer is a testServer with access control, some tokens and captured logs.
type securedServer struct {
	*testServer
	logs    *bytes.Buffer
	metrics *metrics.Set
}

// withToken returns a client that sends a token.
func (s *securedServer) withToken(token string) *admin.Client {
	return admin.NewClient(s.server.URL, token, s.server.Client())
}

// tokensTemplate returns a template that lists tokens, each named by the part before
// its first hyphen.
func tokensTemplate(tokens map[string]publish.Role) string {
	var items []string
	for token, role := range tokens {
		name, _, _ := strings.Cut(token, "-")
		items = append(items, fmt.Sprintf(`{"name": %q, "sha256": %q, "role": %q}`, name, publish.HashToken(token), role))
	}
	return `{"tokens": [` + strings.Join(items, ",") + `]}`
}

// withAccess adds a template with tokens to a publication and returns it.
func withAccess(publication *admin.Publication, tokens map[string]publish.Role) *admin.Publication {
	publication.SetTemplates["access.tmpl"] = tokensTemplate(tokens)
	return publication
}

var heaterTokens = map[string]publish.Role{
	readerToken: publish.Reader, publisherToken: publish.Publisher, ownerToken: publish.Administrator,
}

// startSecuredServer serves the API with the root token and publishes three workspaces
// with tokens.
func startSecuredServer(t *testing.T) *securedServer {
	t.Helper()
	s := &securedServer{logs: &bytes.Buffer{}, metrics: metrics.NewSet()}
	logger, err := logging.New(s.logs, "debug")
	assert.NilError(t, err)
	s.testServer = startServer(t, func(o *admin.Options) {
		o.Authorizer = &admin.TokenAuthorizer{Config: o.Enforcer, RootSHA256: publish.HashToken(rootToken)}
		o.Logger = logger
		o.Metrics = s.metrics
	})
	root := &testServer{Client: s.withToken(rootToken)}
	root.publishAccepted(t, withAccess(newPublication("heaters", 0, "20"), heaterTokens))
	root.publishAccepted(t, withAccess(newPublication("ledger", 0, "5"), map[string]publish.Role{ledgerToken: publish.Administrator}))
	root.publishAccepted(t, withAccess(newPublication("mesh", 0, "5"), map[string]publish.Role{meshToken: publish.Administrator}))
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

func TestTokensGrantRolesInTheirWorkspaceOnly(t *testing.T) {
	s := startSecuredServer(t)
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
		client := s.withToken(c.token)
		_, err := client.Source(t.Context(), "heaters", 0)
		assert.Equal(t, statusOf(err), c.source, c.token)
		_, err = client.Validate(t.Context(), newPublication("heaters", 1, "21"))
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
	s := startSecuredServer(t)
	publication := newPublication("heaters", 1, "21")
	publication.Author = "somebody-else"
	verdict, err := s.withToken(publisherToken).Publish(t.Context(), publication)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted")
	assert.Equal(t, verdict.Author, "publisher")
}

func TestOnlyAdministratorsChangeTokens(t *testing.T) {
	s := startSecuredServer(t)
	escalation := map[string]publish.Role{publisherToken: publish.Administrator}
	_, err := s.withToken(publisherToken).Publish(t.Context(), withAccess(newPublication("heaters", 1, "21"), escalation))
	assert.Equal(t, statusOf(err), http.StatusForbidden)
	_, err = s.withToken(publisherToken).Publish(t.Context(), withAccess(newPublication("heaters", 99, "21"), escalation))
	assert.Equal(t, statusOf(err), http.StatusServiceUnavailable)
	verdict, err := s.withToken(ownerToken).Publish(t.Context(), withAccess(newPublication("heaters", 1, "21"), escalation))
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted")
}

func TestDiffShowsTokens(t *testing.T) {
	s := startSecuredServer(t)
	owner := s.withToken(ownerToken)
	verdict, err := owner.Publish(t.Context(), withAccess(newPublication("heaters", 1, "20"), map[string]publish.Role{
		readerToken: publish.Reader, publisherToken: publish.Administrator, ownerToken: publish.Administrator,
	}))
	assert.NilError(t, err)
	diff, err := s.withToken(rootToken).Diff(t.Context(), "heaters", 1, verdict.Version)
	assert.NilError(t, err)
	hash := publish.HashToken(publisherToken)[:8]
	assert.DeepEqual(t, diff.Changes, []admin.Change{{
		Kind: "token", Name: "publisher",
		Before: "role publisher, sha256 " + hash + "...",
		After:  "role administrator, sha256 " + hash + "...",
	}})
}

// TestRefusedTokenChangeIsNotAppended publishes a token change that is refused because
// of a route to an unknown service. If it were appended, a publication of another
// workspace that comes before it in the log could add the service and thereby let a
// publisher change tokens.
func TestRefusedTokenChangeIsNotAppended(t *testing.T) {
	s := startSecuredServer(t)
	before, _ := s.mesh.Position()
	publication := withAccess(newPublication("heaters", 1, "21"), map[string]publish.Role{publisherToken: publish.Administrator})
	publication.SetTemplates["late.tmpl"] = `{"routes": [{"name": "late", "service": "other/late"}]}`
	verdict, err := s.withToken(publisherToken).Publish(t.Context(), publication)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "refused")
	after, _ := s.mesh.Position()
	assert.Equal(t, after, before)
}

func TestQuotaLimitsEachWorkspaceSeparately(t *testing.T) {
	now := time.Unix(1000, 0)
	api := startServer(t, func(o *admin.Options) {
		o.Quota = admin.Quota{Interval: time.Second, Burst: 2}
		o.Now = func() time.Time { return now }
	})
	version := api.publishAccepted(t, newPublication("heaters", 0, "1"))
	version = api.publishAccepted(t, newPublication("heaters", version, "2"))
	_, err := api.Publish(t.Context(), newPublication("heaters", version, "3"))
	assert.Equal(t, statusOf(err), http.StatusTooManyRequests)
	api.publishAccepted(t, newPublication("ledger", 0, "1"))
	now = now.Add(time.Second)
	api.publishAccepted(t, newPublication("heaters", version, "3"))
}

// TestTokensAreNotLeaked makes requests that succeed and fail with every token and
// searches responses, errors, logs, metrics and events for the tokens.
func TestTokensAreNotLeaked(t *testing.T) {
	s := startSecuredServer(t)
	s.mesh.FailSubmit(errors.New("log is unavailable"))
	tokens := []string{rootToken, readerToken, publisherToken, ownerToken, ledgerToken, meshToken, unknownToken}
	var output strings.Builder
	for _, token := range tokens {
		client := s.withToken(token)
		_, err := client.Publish(t.Context(), newPublication("heaters", 1, "21"))
		fmt.Fprintln(&output, err)
		_, err = client.Rollback(t.Context(), "heaters", &admin.Rollback{ID: "x", Version: 9})
		fmt.Fprintln(&output, err)
		_, err = client.Source(t.Context(), "heaters", 77)
		fmt.Fprintln(&output, err)
		_, err = client.Drain(t.Context(), true)
		fmt.Fprintln(&output, err)
		source, err := client.Source(t.Context(), "heaters", 0)
		fmt.Fprintln(&output, source, err)
	}
	output.WriteString(s.logs.String())
	s.metrics.WritePrometheus(&output)
	assert.NilError(t, timeline.WriteJSON(&output, s.mesh.Events.Events()))
	assert.Assert(t, strings.Contains(output.String(), "log is unavailable"))
	assert.Assert(t, s.logs.Len() > 0)
	for _, token := range tokens {
		assert.Assert(t, !strings.Contains(output.String(), token), token)
	}
}
