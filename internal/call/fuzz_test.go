package call_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

func FuzzDeadline(f *testing.F) {
	for _, text := range []string{"", "250ms", "-1s", "0s", "1e9h", "1h0m0.000000001s", "9223372036854775807ns"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		left, err := call.ParseDeadline(text)
		if err != nil {
			return
		}
		assert.Assert(t, left > 0 && left <= time.Hour || text == "" && left == 0, "%q: %s", text, left)
	})
}

func FuzzKey(f *testing.F) {
	for _, text := range []string{"", "01a240b5-2b73-70d0-9d6e-bd9578cf8dd0", "{01a240b5-2b73-70d0-9d6e-bd9578cf8d}", "01A240B5-2B73-70D0-9D6E-BD9578CF8DD0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := call.ParseKey(text)
		if err != nil {
			return
		}
		parsed, err := uuid.Parse(key)
		assert.NilError(t, err)
		assert.Equal(t, parsed.Version(), uuid.Version(7))
		assert.Equal(t, key, strings.ToLower(text), "one key has one spelling")
	})
}

func FuzzLoad(f *testing.F) {
	for _, text := range []string{"1/2/3", "//", "1/2/3/4", "-1/0/0", "+1/0/0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		load, err := route.ParseLoad(text)
		if err != nil {
			return
		}
		assert.Assert(t, load.Busy >= 0 && load.Slots >= 0 && load.Queued >= 0)
		again, err := route.ParseLoad(load.String())
		assert.NilError(t, err)
		assert.Equal(t, again, load)
	})
}

func FuzzPath(f *testing.F) {
	for _, text := range []string{"/a/b/c", "/a/b", "//", "/a//b", "/%2F/x/y%2Fz"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		name, rest, err := call.SplitPath(text)
		if err != nil {
			return
		}
		assert.Assert(t, strings.HasPrefix(rest, "/"))
		assert.Assert(t, strings.HasPrefix(strings.TrimPrefix(text, "/"), name))
		assert.Equal(t, strings.Count(name, "/"), 1)
	})
}

// Whatever headers another daemon sends, the response is that of the target or an
// error with an outcome, and nothing runs if the outcome is not-run.
func FuzzPeerHeaders(f *testing.F) {
	ran := 0
	targetServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	f.Cleanup(targetServer.Close)
	n := &node{tables: &tables{}, dir: &directory{}, target: nil}
	address := strings.TrimPrefix(targetServer.URL, "http://")
	n.address.Store(&address)
	n.tables.table.Store(&enforce.Table{Config: config(nil)})
	n.dir.view.Store(&membership.View{Self: membership.Member{
		Host: "a", State: membership.Alive, Service: "railway/status", TargetState: membership.Ready, Slots: 4,
	}})
	server := call.New(call.Options{Config: n.tables, Directory: n.dir, Target: n})
	f.Cleanup(server.Close)
	id := "01a240b5-2b73-70d0-9d6e-bd9578cf8dd0"
	f.Add("railway/status", id, "100ms", "1", "2", "", "railway")
	f.Add("railway/status", id, "100ms", "-1", "999999999999999999999", id, "")
	f.Add("none", "", "", "", "", "", "")
	f.Fuzz(func(t *testing.T, service, id, deadline, attempt, budget, key, workspace string) {
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		for name, value := range map[string]string{
			call.HeaderService: service, call.HeaderCall: id, call.HeaderDeadline: deadline,
			call.HeaderAttempt: attempt, call.HeaderRetryBudget: budget, call.HeaderKey: key,
			"Mulberry-Workspace": workspace, call.HeaderClock: deadline,
		} {
			request.Header.Set(name, value)
		}
		before := ran
		recorder := httptest.NewRecorder()
		server.PeerHandler().ServeHTTP(recorder, request)
		outcome := recorder.Header().Get(call.HeaderOutcome)
		switch {
		case recorder.Code == http.StatusOK:
			assert.Equal(t, outcome, "")
			assert.Equal(t, ran, before+1)
		case outcome == string(call.NotRun):
			assert.Equal(t, ran, before)
		default:
			assert.Equal(t, outcome, string(call.Unknown))
		}
	})
}
