package admin_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/admin/admintest"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

// FuzzBodies sends bodies to every path that takes one. Whatever they hold,
// the answer is a verdict or a problem that blames the request, and the state
// stays readable.
func FuzzBodies(f *testing.F) {
	good, err := json.Marshal(change("heaters", 0, "20"))
	assert.NilError(f, err)
	f.Add("/v1/publications", good)
	f.Add("/v1/validate", good)
	f.Add("/v1/workspaces/heaters/rollback", []byte(`{"id": "0193f3a0-0000-7000-8000-000000000001", "version": 1}`))
	f.Add("/v1/publications", []byte(`{"id": "0193f3a0-0000-7000-8000-000000000001", "workspace": "w", "set_parameters": {"a": 1e999}}`))
	f.Add("/v1/workspaces/%2e%2e/rollback", []byte(`{`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://daemon"+path, bytes.NewReader(body))
		if err != nil || request.URL.Host != "daemon" {
			t.Skip() // No client can send it.
		}
		mesh := admintest.New(logservice.New(logservice.Options{}))
		options := mesh.Options()
		options.MaxBody = 1 << 16
		handler := admin.New(options).Handler()
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		assert.Assert(t, answer.Code != http.StatusInternalServerError, answer.Body.String())
		if answer.Header().Get("Content-Type") == "application/json" {
			var verdict admin.Verdict
			assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &verdict))
		} else if answer.Code >= http.StatusBadRequest {
			var problem admin.Problem
			assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &problem))
			assert.Equal(t, problem.Status, answer.Code)
		}
		for _, read := range []string{"/v1/status", "/v1/workspaces/heaters/history"} {
			after := httptest.NewRecorder()
			handler.ServeHTTP(after, httptest.NewRequest(http.MethodGet, read, nil))
			assert.Equal(t, after.Code, http.StatusOK)
		}
	})
}

// FuzzTokens authorizes arbitrary tokens; only the listed one gets in.
func FuzzTokens(f *testing.F) {
	mesh := admintest.New(logservice.New(logservice.Options{}))
	body := withAccess(change("heaters", 0, "20"), map[string]publish.Role{publisherToken: publish.Publisher})
	_, err := mesh.Submit(f.Context(), admin.ToPublication(body, "host-1"))
	assert.NilError(f, err)
	authorizer := &admin.TokenAuthorizer{Config: mesh}
	f.Add("", "heaters")
	f.Add(publisherToken, "heaters")
	f.Add(publish.HashToken(publisherToken), "heaters")
	f.Fuzz(func(t *testing.T, token, workspace string) {
		_, err := authorizer.Authorize(token, workspace, publish.Publisher)
		assert.Equal(t, err == nil, token == publisherToken && workspace == "heaters")
	})
}
