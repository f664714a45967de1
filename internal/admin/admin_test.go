package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

const mainTemplate = `{"services": [{"name": "points", "slots": {{.slots}}, "queue": 10}],
	"routes": [{"name": "read", "service": "points", "idempotent": true}]}`

// testServer is an HTTP server of the API with a client.
type testServer struct {
	*admin.Client
	mesh   *admintest.Mesh
	server *httptest.Server
}

// startServer serves the API of a new mesh, with options that adjust may change.
func startServer(t *testing.T, adjust func(*admin.Options)) *testServer {
	t.Helper()
	mesh := admintest.New(logservice.New(logservice.Options{}))
	options := mesh.Options()
	if adjust != nil {
		adjust(&options)
	}
	server := httptest.NewServer(admin.New(options).Handler())
	t.Cleanup(server.Close)
	return &testServer{admin.NewClient(server.URL, "", server.Client()), mesh, server}
}

// newPublication returns a publication that sets the slots of a workspace.
func newPublication(workspace string, base uint64, slots string) *admin.Publication {
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

// publishAccepted publishes, requires that the publication is accepted and returns the
// new version.
func (api *testServer) publishAccepted(t *testing.T, publication *admin.Publication) uint64 {
	t.Helper()
	verdict, err := api.Publish(t.Context(), publication)
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted", "%v", verdict)
	return verdict.Version
}

func TestPublishReturnsTheVerdict(t *testing.T) {
	api := startServer(t, nil)
	first := newPublication("heaters", 0, "20")
	version := api.publishAccepted(t, first)
	again, err := api.Publish(t.Context(), first)
	assert.NilError(t, err)
	assert.Equal(t, again.Version, version)
	conflict, err := api.Publish(t.Context(), newPublication("heaters", 0, "21"))
	assert.NilError(t, err)
	assert.Equal(t, conflict.Outcome, "conflict")
	assert.Equal(t, conflict.ConflictVersion, version)
	assert.Equal(t, conflict.ConflictAuthor, "ama")
	refused, err := api.Publish(t.Context(), newPublication("heaters", version, "-1"))
	assert.NilError(t, err)
	assert.Equal(t, refused.Outcome, "refused")
	assert.Assert(t, len(refused.Problems) > 0)
}

func TestValidateChangesNothing(t *testing.T) {
	api := startServer(t, nil)
	version := api.publishAccepted(t, newPublication("heaters", 0, "20"))
	for slots, outcome := range map[string]string{"30": "accepted", "-1": "refused"} {
		verdict, err := api.Validate(t.Context(), newPublication("heaters", version, slots))
		assert.NilError(t, err)
		assert.Equal(t, verdict.Outcome, outcome)
	}
	source, err := api.Source(t.Context(), "heaters", 0)
	assert.NilError(t, err)
	assert.Equal(t, source.Version, version)
	assert.Equal(t, string(source.Parameters["slots"]), "20")
}

// TestSubmitErrorsMapToProblemTypes guards against reporting an append with an unknown
// result as one that had no effect.
func TestSubmitErrorsMapToProblemTypes(t *testing.T) {
	for problemType, submitError := range map[string]error{
		admin.TypeUnavailable:   &publish.NotWrittenError{ID: "a", Err: errors.New("out")},
		admin.TypeUnknownResult: &publish.PendingError{ID: "a", Err: errors.New("out")},
	} {
		api := startServer(t, nil)
		api.mesh.FailSubmit(fmt.Errorf("submit: %w", submitError))
		_, err := api.Publish(t.Context(), newPublication("heaters", 0, "20"))
		var problem *admin.Problem
		assert.Assert(t, errors.As(err, &problem))
		assert.Equal(t, problem.Type, problemType)
	}
}

// silentSubmitter waits for a verdict that never comes.
type silentSubmitter struct{}

func (silentSubmitter) Submit(ctx context.Context, publication *publish.Publication) (publish.Verdict, error) {
	<-ctx.Done()
	return publish.Verdict{}, &publish.PendingError{ID: publication.GetId(), Err: ctx.Err()}
}

func TestPublicationWithoutVerdictIsAnsweredBeforeClientGivesUp(t *testing.T) {
	// clientTimeout is the default time limit of the command line.
	const clientTimeout = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		options := admintest.New(logservice.New(logservice.Options{})).Options()
		options.Submitter = silentSubmitter{}
		publication := newPublication("heaters", 0, "20")
		body, err := json.Marshal(publication)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
		defer cancel()
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/publications", bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response := httptest.NewRecorder()
		admin.New(options).Handler().ServeHTTP(response, request)
		assert.NilError(t, ctx.Err(), "the client has given up")
		assert.Equal(t, response.Code, http.StatusGatewayTimeout)
		assert.Assert(t, strings.Contains(response.Body.String(), publication.ID), "%s", response.Body)
	})
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
	api := startServer(t, func(o *admin.Options) { o.MaxBody = 1 << 10 })
	for body, status := range cases {
		response, err := api.server.Client().Post(api.server.URL+"/v1/publications", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status, body)
		assert.Equal(t, response.Header.Get("Content-Type"), admin.ProblemContentType)
		assert.NilError(t, response.Body.Close())
	}
	offset, _ := api.mesh.Position()
	assert.Equal(t, offset, uint64(0))
}

func TestRollbackPublishesOldContentAsANewVersion(t *testing.T) {
	api := startServer(t, nil)
	first := api.publishAccepted(t, newPublication("heaters", 0, "20"))
	second := api.publishAccepted(t, newPublication("heaters", first, "30"))
	verdict, err := api.Rollback(t.Context(), "heaters", &admin.Rollback{ID: uuid.NewString(), Version: first, Author: "efua"})
	assert.NilError(t, err)
	assert.Equal(t, verdict.Outcome, "accepted")
	assert.Assert(t, verdict.Version > second)
	source, err := api.Source(t.Context(), "heaters", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(source.Parameters["slots"]), "20")
	stale, err := api.Rollback(t.Context(), "heaters", &admin.Rollback{ID: uuid.NewString(), Version: first, Base: second})
	assert.NilError(t, err)
	assert.Equal(t, stale.Outcome, "conflict")
}

func TestDiffComparesRenderedVersions(t *testing.T) {
	api := startServer(t, nil)
	first := api.publishAccepted(t, newPublication("heaters", 0, "20"))
	other := api.publishAccepted(t, newPublication("ledger", 0, "5"))
	second := api.publishAccepted(t, newPublication("heaters", first, "30"))
	diff, err := api.Diff(t.Context(), "heaters", first, 0)
	assert.NilError(t, err)
	assert.Equal(t, diff.To, second)
	assert.Equal(t, len(diff.Changes), 1)
	assert.Equal(t, diff.Changes[0].Name, "heaters/points")
	assert.Assert(t, strings.Contains(diff.Changes[0].Before, "slots 20"))
	_, err = api.Diff(t.Context(), "heaters", other, 0)
	assert.ErrorContains(t, err, "no such version")
}

func TestHistoryListsOneWorkspace(t *testing.T) {
	api := startServer(t, nil)
	api.publishAccepted(t, newPublication("heaters", 0, "20"))
	api.publishAccepted(t, newPublication("ledger", 0, "5"))
	history, err := api.History(t.Context(), "heaters")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Verdicts), 1)
	assert.Equal(t, history.Verdicts[0].Author, "ama")
	assert.Equal(t, history.Verdicts[0].Reason, "slots 20")
}

func TestStatusMembersDrainAndTimeline(t *testing.T) {
	api := startServer(t, nil)
	version := api.publishAccepted(t, newPublication("heaters", 0, "20"))
	status, err := api.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Version, version)
	assert.Equal(t, status.Routes, 1)
	assert.Equal(t, status.StalenessMillis, int64(-1))
	assert.Equal(t, status.Convergence.InForce, 2)
	members, err := api.Members(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, members.Members[1].Target, "draining")
	_, err = api.Drain(t.Context(), true)
	assert.NilError(t, err)
	assert.Assert(t, api.mesh.Drained())
	api.mesh.SetDrainError(membership.ErrHistoryNotHeld)
	for _, drain := range []bool{true, false} {
		_, err = api.Drain(t.Context(), drain)
		assert.Equal(t, statusOf(err), http.StatusServiceUnavailable, "a drain that a restart might forget is not acknowledged")
	}
	events, err := api.Timeline(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(events) > 1)
}

// readyz returns the status code and the body of /readyz.
func (api *testServer) readyz(t *testing.T) (int, string) {
	t.Helper()
	response, err := api.server.Client().Get(api.server.URL + "/readyz")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}

func TestReadyzReturnsTheReasons(t *testing.T) {
	api := startServer(t, nil)
	status, text := api.readyz(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "no configuration is in force yet"))
	api.publishAccepted(t, newPublication("heaters", 0, "20"))
	status, text = api.readyz(t)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, "{\"ready\":true}\n")
	api.mesh.SetStopCause(errors.New("schema 2 is not known"))
	api.mesh.Leave()
	status, text = api.readyz(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(text, "schema 2 is not known"))
	assert.Assert(t, strings.Contains(text, "the daemon is stopping"))
}

// TestNonPublicRoutesAreAuthorized guards against a route that is served without access
// control.
func TestNonPublicRoutesAreAuthorized(t *testing.T) {
	options := admintest.New(logservice.New(logservice.Options{})).Options()
	options.Authorizer = denyAll{}
	server := admin.New(options)
	for _, route := range server.Routes() {
		path := strings.ReplaceAll(route.Path, ":workspace", "w")
		body := strings.NewReader(`{"id": "` + uuid.NewString() + `", "workspace": "w"}`)
		response := httptest.NewRecorder()
		server.Handler().ServeHTTP(response, httptest.NewRequest(route.Method, path, body))
		switch path {
		case "/metrics", "/healthz", "/readyz", "/v1/openapi.json":
			assert.Assert(t, response.Code != http.StatusForbidden, path)
		default:
			assert.Equal(t, response.Code, http.StatusForbidden, path)
		}
	}
}

// denyAll is an Authorizer that denies every request.
type denyAll struct{}

func (denyAll) Authorize(string, string, publish.Role) (admin.Principal, error) {
	return admin.Principal{}, admin.ErrForbidden
}
