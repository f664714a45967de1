package admin_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

const mainTemplate = `{"services": [{"name": "points", "slots": {{.slots}}, "queue": 10}],
	"routes": [{"name": "read", "service": "points", "idempotent": true}]}`

// api is a served API with its client.
type api struct {
	*admin.Client
	mesh   *admintest.Mesh
	server *httptest.Server
}

func serve(t *testing.T, adjust func(*admin.Options)) *api {
	t.Helper()
	mesh := admintest.New(logservice.New(logservice.Options{}))
	options := mesh.Options()
	if adjust != nil {
		adjust(&options)
	}
	server := httptest.NewServer(admin.New(options).Handler())
	t.Cleanup(server.Close)
	return &api{admin.NewClient(server.URL, "", server.Client()), mesh, server}
}

// change returns a publication that sets the slots of a workspace.
func change(workspace string, base uint64, slots string) *admin.Publication {
	return admin.FromPublication(&publish.Publication{
		Id:            uuid.NewString(),
		Workspace:     workspace,
		Base:          base,
		Author:        "ama",
		Reason:        "slots " + slots,
		SetTemplates:  map[string]string{"main.tmpl": mainTemplate},
		SetParameters: map[string]string{"slots": slots},
	})
}

// publishAccepted publishes and returns the new version.
func (a *api) publishAccepted(t *testing.T, publication *admin.Publication) uint64 {
	t.Helper()
	verdict, err := a.Publish(t.Context(), publication)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted", "%v", verdict)
	return verdict.Version
}

func TestPublishAnswersWithTheVerdict(t *testing.T) {
	a := serve(t, nil)
	first := change("heaters", 0, "20")
	version := a.publishAccepted(t, first)
	again, err := a.Publish(t.Context(), first)
	assert.NilError(t, err)
	assert.Equal(t, again.Version, version)
	conflict, err := a.Publish(t.Context(), change("heaters", 0, "21"))
	assert.NilError(t, err)
	assert.Equal(t, conflict.Outcome, "conflict")
	assert.Equal(t, conflict.ConflictVersion, version)
	assert.Equal(t, conflict.ConflictAuthor, "ama")
	refused, err := a.Publish(t.Context(), change("heaters", version, "-1"))
	assert.NilError(t, err)
	assert.Equal(t, refused.Outcome, "refused")
	assert.Assert(t, len(refused.Problems) > 0)
}

func TestValidateChangesNothing(t *testing.T) {
	a := serve(t, nil)
	version := a.publishAccepted(t, change("heaters", 0, "20"))
	for slots, outcome := range map[string]string{"30": "accepted", "-1": "refused"} {
		verdict, err := a.Validate(t.Context(), change("heaters", version, slots))
		assert.NilError(t, err)
		assert.Equal(t, verdict.Outcome, outcome)
	}
	source, err := a.Source(t.Context(), "heaters", 0)
	assert.NilError(t, err)
	assert.Equal(t, source.Version, version)
	assert.Equal(t, string(source.Parameters["slots"]), "20")
}

func TestLostAppendIsToldFromARefusedOne(t *testing.T) {
	for kind, failure := range map[string]error{
		admin.TypeUnavailable:   &publish.NotWrittenError{ID: "a", Err: errors.New("out")},
		admin.TypeUnknownResult: &publish.PendingError{ID: "a", Err: errors.New("out")},
	} {
		a := serve(t, nil)
		a.mesh.FailSubmit(fmt.Errorf("submit: %w", failure))
		_, err := a.Publish(t.Context(), change("heaters", 0, "20"))
		var problem *admin.Problem
		assert.Assert(t, errors.As(err, &problem))
		assert.Equal(t, problem.Type, kind)
	}
}

func TestMalformedBodiesAreRefused(t *testing.T) {
	cases := map[string]int{
		`{`:                        http.StatusBadRequest,
		`{"pace": 1}`:              http.StatusBadRequest,
		`{"workspace": ""}`:        http.StatusBadRequest,
		`{"workspace": "w"}`:       http.StatusBadRequest,
		`{"id": "x"} {}`:           http.StatusBadRequest,
		strings.Repeat("x", 1<<11): http.StatusRequestEntityTooLarge,
	}
	a := serve(t, func(o *admin.Options) { o.MaxBody = 1 << 10 })
	for body, status := range cases {
		answer, err := a.server.Client().Post(a.server.URL+"/v1/publications", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, status, body)
		assert.Equal(t, answer.Header.Get("Content-Type"), admin.ProblemContentType)
		assert.NilError(t, answer.Body.Close())
	}
	offset, _ := a.mesh.Position()
	assert.Equal(t, offset, uint64(0))
}

func TestRollbackPublishesOldContentAsANewVersion(t *testing.T) {
	a := serve(t, nil)
	first := a.publishAccepted(t, change("heaters", 0, "20"))
	second := a.publishAccepted(t, change("heaters", first, "30"))
	verdict, err := a.Rollback(t.Context(), "heaters", &admin.Rollback{ID: uuid.NewString(), Version: first, Author: "efua"})
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted")
	assert.Assert(t, verdict.Version > second)
	source, err := a.Source(t.Context(), "heaters", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(source.Parameters["slots"]), "20")
	stale, err := a.Rollback(t.Context(), "heaters", &admin.Rollback{ID: uuid.NewString(), Version: first, Base: second})
	assert.NilError(t, err)
	assert.Equal(t, stale.Outcome, "conflict")
}

func TestDiffComparesRenderedVersions(t *testing.T) {
	a := serve(t, nil)
	first := a.publishAccepted(t, change("heaters", 0, "20"))
	other := a.publishAccepted(t, change("ledger", 0, "5"))
	second := a.publishAccepted(t, change("heaters", first, "30"))
	diff, err := a.Diff(t.Context(), "heaters", first, 0)
	assert.NilError(t, err)
	assert.Equal(t, diff.To, second)
	assert.Equal(t, len(diff.Changes), 1)
	assert.Equal(t, diff.Changes[0].Name, "heaters/points")
	assert.Assert(t, strings.Contains(diff.Changes[0].Before, "slots 20"))
	_, err = a.Diff(t.Context(), "heaters", other, 0)
	assert.ErrorContains(t, err, "no such version")
}

func TestHistoryShowsOneWorkspace(t *testing.T) {
	a := serve(t, nil)
	a.publishAccepted(t, change("heaters", 0, "20"))
	a.publishAccepted(t, change("ledger", 0, "5"))
	history, err := a.History(t.Context(), "heaters")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Verdicts), 1)
	assert.Equal(t, history.Verdicts[0].Author, "ama")
	assert.Equal(t, history.Verdicts[0].Reason, "slots 20")
}

func TestStateOfTheDaemon(t *testing.T) {
	a := serve(t, nil)
	version := a.publishAccepted(t, change("heaters", 0, "20"))
	status, err := a.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Version, version)
	assert.Equal(t, status.Routes, 1)
	assert.Equal(t, status.StalenessMillis, int64(-1))
	assert.Equal(t, status.Convergence.InForce, 2)
	members, err := a.Members(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, members.Members[1].Target, "draining")
	_, err = a.Drain(t.Context(), true)
	assert.NilError(t, err)
	assert.Assert(t, a.mesh.Drained())
	events, err := a.Timeline(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(events) > 1)
}

// readyz returns the status and the text of /readyz.
func (a *api) readyz(t *testing.T) (int, string) {
	t.Helper()
	answer, err := a.server.Client().Get(a.server.URL + "/readyz")
	assert.NilError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return answer.StatusCode, string(text)
}

func TestReadyzSaysWhyNot(t *testing.T) {
	a := serve(t, nil)
	status, text := a.readyz(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "no configuration is in force yet"))
	a.publishAccepted(t, change("heaters", 0, "20"))
	status, text = a.readyz(t)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, "{\"ready\":true}\n")
	a.mesh.SetStopCause(errors.New("schema 2 is not known"))
	a.mesh.Leave()
	status, text = a.readyz(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "schema 2 is not known"))
	assert.Assert(t, strings.Contains(text, "the daemon is stopping"))
}

func TestEveryGuardedRouteAsksTheAuthorizer(t *testing.T) {
	options := admintest.New(logservice.New(logservice.Options{})).Options()
	options.Authorizer = denyAll{}
	server := admin.New(options)
	for _, route := range server.Routes() {
		path := strings.ReplaceAll(route.Path, ":workspace", "w")
		body := strings.NewReader(`{"id": "` + uuid.NewString() + `", "workspace": "w"}`)
		answer := httptest.NewRecorder()
		server.Handler().ServeHTTP(answer, httptest.NewRequest(route.Method, path, body))
		switch path {
		case "/metrics", "/healthz", "/readyz", "/v1/openapi.json":
			assert.Assert(t, answer.Code != http.StatusForbidden, path)
		default:
			assert.Equal(t, answer.Code, http.StatusForbidden, path)
		}
	}
}

type denyAll struct{}

func (denyAll) Authorize(string, string, publish.Role) (admin.Principal, error) {
	return admin.Principal{}, admin.ErrForbidden
}
