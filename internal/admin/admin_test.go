package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const testID = "0193f3a0-0000-7000-8000-000000000001"

// fakeMesh stands for the other slices.
type fakeMesh struct {
	table     *enforce.Table
	stopped   error
	verdicts  []publish.Verdict
	sources   map[publish.Version]*publish.WorkspaceSource
	current   publish.Version
	submitted *publish.Publication
	verdict   publish.Verdict
	err       error
	drained   bool
}

func (f *fakeMesh) Submit(_ context.Context, p *publish.Publication) (publish.Verdict, error) {
	f.submitted = p
	return f.verdict, f.err
}
func (f *fakeMesh) Table() *enforce.Table       { return f.table }
func (f *fakeMesh) Position() (uint64, []byte)  { return 9, []byte{1} }
func (f *fakeMesh) Floor() uint64               { return 5 }
func (f *fakeMesh) Stopped() error              { return f.stopped }
func (f *fakeMesh) Verdicts() []publish.Verdict { return f.verdicts }
func (f *fakeMesh) Drain()                      { f.drained = true }
func (f *fakeMesh) Resume()                     { f.drained = false }

func (f *fakeMesh) Source(workspace string) (*publish.WorkspaceSource, bool) {
	source, ok := f.sources[f.current]
	return source, ok && source.GetName() == workspace
}

func (f *fakeMesh) SourceAt(_ context.Context, _ string, version publish.Version) (*publish.WorkspaceSource, error) {
	if source, ok := f.sources[version]; ok {
		return source, nil
	}
	return nil, errors.New("expired")
}

func (f *fakeMesh) Render(source *publish.WorkspaceSource) (*publish.Workspace, []publish.Problem) {
	workspace := &publish.Workspace{Name: source.GetName()}
	for name, target := range source.GetParameters() {
		workspace.Routes = append(workspace.Routes, &publish.Route{Name: "w/" + name, Service: strings.Trim(target, `"`)})
	}
	return workspace, nil
}

func (f *fakeMesh) Validate(context.Context, *publish.Publication) (publish.Verdict, error) {
	return f.verdict, f.err
}

func (f *fakeMesh) View() *membership.View {
	return &membership.View{Members: map[string]membership.Member{
		"b": {Host: "b", State: membership.Leaving, TargetState: membership.Draining, Reach: membership.Suspect},
		"a": {Host: "a", State: membership.Alive, TargetState: membership.Ready},
	}}
}

func newFake() *fakeMesh {
	return &fakeMesh{
		table:   &enforce.Table{Offset: 9, Digest: []byte{0xab}, Config: &publish.Configuration{Version: 8}},
		current: 8,
		sources: map[publish.Version]*publish.WorkspaceSource{
			3: {Name: "w", Version: 3, Templates: map[string]string{"t": "old"}, Parameters: map[string]string{"r": `"w/s1"`, "gone": `1`}},
			8: {Name: "w", Version: 8, Templates: map[string]string{"t": "new", "u": "x"}, Parameters: map[string]string{"r": `"w/s2"`}},
		},
		verdict:  publish.Verdict{ID: testID, Workspace: "w", Outcome: publish.Accepted, Version: 10, Offset: 10},
		verdicts: []publish.Verdict{{Workspace: "w", Author: "ama", Reason: "frost"}, {Workspace: "other", Author: "efua"}},
	}
}

// serve starts the API over a fake mesh.
func serve(t *testing.T, fake *fakeMesh, adjust func(*Options)) (*Client, *httptest.Server) {
	t.Helper()
	buffer := timeline.NewBuffer(timeline.NewClock(time.Now), "h", "z", 1, 10)
	buffer.Record(timeline.Event{Kind: timeline.Started})
	options := Options{
		Host: "h", Zone: "z", Submitter: fake, Enforcer: fake, Sources: fake, Directory: fake, Drainer: fake,
		Convergence: func() Convergence { return Convergence{Offset: 9, Lowest: 9, Living: 2, InForce: 2} },
		Timeline:    buffer.Handler(),
	}
	if adjust != nil {
		adjust(&options)
	}
	server := httptest.NewServer(New(options).Handler())
	t.Cleanup(server.Close)
	return NewClient(server.URL, "", server.Client()), server
}

func TestPublishAnswersWithTheVerdict(t *testing.T) {
	cases := []struct {
		outcome publish.Outcome
		status  int
	}{
		{publish.Accepted, http.StatusOK},
		{publish.Duplicate, http.StatusOK},
		{publish.Conflict, http.StatusConflict},
		{publish.Refused, http.StatusUnprocessableEntity},
	}
	for _, c := range cases {
		fake := newFake()
		fake.verdict.Outcome = c.outcome
		fake.verdict.Problems = []publish.Problem{{Place: "route r", Reason: "no service"}}
		client, _ := serve(t, fake, nil)
		verdict, err := client.Publish(t.Context(), &Publication{ID: testID, Workspace: "w", Author: "ama"})
		assert.NilError(t, err)
		assert.Equal(t, verdict.Outcome, c.outcome.String())
		assert.Equal(t, verdict.Problems[0].Place, "route r")
		assert.Equal(t, fake.submitted.GetDaemon(), "h")
		assert.Equal(t, statusOf(fake.verdict), c.status)
	}
}

func TestPublishSaysWhetherALostAppendMayHaveTakenEffect(t *testing.T) {
	for err, kind := range map[error]string{
		platform.ErrRefused: TypeUnavailable,
		platform.ErrUnknown: TypeUnknownResult,
	} {
		fake := newFake()
		fake.err = fmt.Errorf("append: %w", err)
		client, _ := serve(t, fake, nil)
		_, got := client.Publish(t.Context(), &Publication{ID: testID, Workspace: "w"})
		var problem *Problem
		assert.Assert(t, errors.As(got, &problem))
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
	fake := newFake()
	_, server := serve(t, fake, func(o *Options) { o.MaxBody = 1 << 10 })
	for body, status := range cases {
		answer, err := server.Client().Post(server.URL+"/v1/publications", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, status, body)
		assert.Equal(t, answer.Header.Get("Content-Type"), ProblemContentType)
		assert.NilError(t, answer.Body.Close())
	}
	assert.Assert(t, fake.submitted == nil)
}

func TestRollbackPublishesOldContentOnTheCurrentBase(t *testing.T) {
	fake := newFake()
	client, _ := serve(t, fake, nil)
	_, err := client.Rollback(t.Context(), "w", &Rollback{ID: testID, Version: 3, Reason: "night"})
	assert.NilError(t, err)
	p := fake.submitted
	assert.Equal(t, p.GetBase(), uint64(8))
	assert.DeepEqual(t, p.GetSetTemplates(), map[string]string{"t": "old"})
	assert.DeepEqual(t, p.GetRemoveTemplates(), []string{"u"})
	assert.DeepEqual(t, p.GetSetParameters(), map[string]string{"r": `"w/s1"`, "gone": "1"})
}

func TestDiffComparesRenderedVersions(t *testing.T) {
	client, _ := serve(t, newFake(), nil)
	diff, err := client.Diff(t.Context(), "w", 3, 0)
	assert.NilError(t, err)
	assert.Equal(t, diff.To, uint64(8))
	assert.Equal(t, len(diff.Changes), 2)
	assert.Equal(t, diff.Changes[0].Name, "w/gone")
	assert.Equal(t, diff.Changes[0].After, "")
	_, err = client.Diff(t.Context(), "w", 4, 0)
	assert.ErrorContains(t, err, "expired")
}

func TestHistoryShowsOneWorkspace(t *testing.T) {
	client, _ := serve(t, newFake(), nil)
	history, err := client.History(t.Context(), "w")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Verdicts), 1)
	assert.Equal(t, history.Verdicts[0].Reason, "frost")
}

func TestStateOfTheDaemon(t *testing.T) {
	fake := newFake()
	client, _ := serve(t, fake, nil)
	status, err := client.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Version, uint64(8))
	assert.Equal(t, status.Digest, "ab")
	assert.Equal(t, status.StalenessMillis, int64(unknownStaleness))
	assert.Equal(t, status.Convergence.InForce, 2)
	members, err := client.Members(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, members.Members[1].Target, "draining")
	_, err = client.Drain(t.Context(), true)
	assert.NilError(t, err)
	assert.Assert(t, fake.drained)
	events, err := client.Timeline(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1)
}

func TestReadyzSaysWhyNot(t *testing.T) {
	fake := newFake()
	fake.table = nil
	fake.stopped = errors.New("schema 2")
	_, server := serve(t, fake, nil)
	for path, status := range map[string]int{"/readyz": http.StatusServiceUnavailable, "/healthz": http.StatusOK} {
		answer, err := server.Client().Get(server.URL + path)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, status)
		assert.NilError(t, answer.Body.Close())
	}
}

func TestEveryGuardedRouteAsksTheAuthorizer(t *testing.T) {
	server := New(Options{Authorizer: denyAll{}, Enforcer: newFake(), Directory: newFake()})
	for _, route := range server.Routes() {
		path := strings.ReplaceAll(route.Path, ":workspace", "w")
		body := strings.NewReader(`{"id": "` + testID + `", "workspace": "w"}`)
		answer := httptest.NewRecorder()
		server.Handler().ServeHTTP(answer, httptest.NewRequest(route.Method, path, body))
		switch path {
		case "/metrics", "/healthz", "/readyz":
			assert.Assert(t, answer.Code != http.StatusForbidden, path)
		default:
			assert.Equal(t, answer.Code, http.StatusForbidden, path)
		}
	}
}

type denyAll struct{}

func (denyAll) Authorize(string, string, Role) (Principal, error) {
	return Principal{}, ErrForbidden
}
