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

// FuzzBodies sends arbitrary bodies to arbitrary paths. The response must be a verdict
// or a problem other than an internal error, and the state must stay readable.
func FuzzBodies(f *testing.F) {
	valid, err := json.Marshal(newPublication("heaters", 0, "20"))
	assert.NilError(f, err)
	f.Add("/v1/publications", valid)
	f.Add("/v1/validate", valid)
	f.Add("/v1/workspaces/heaters/rollback", []byte(`{"id": "0193f3a0-0000-7000-8000-000000000001", "version": 1}`))
	f.Add("/v1/publications", []byte(`{"id": "0193f3a0-0000-7000-8000-000000000001", "workspace": "w", "set_parameters": {"a": 1e999}}`))
	f.Add("/v1/workspaces/%2e%2e/rollback", []byte(`{`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://daemon"+path, bytes.NewReader(body))
		if err != nil || request.URL.Host != "daemon" {
			t.Skip() // An HTTP client cannot send this path.
		}
		mesh := admintest.New(logservice.New(logservice.Options{}))
		options := mesh.Options()
		options.MaxBody = 1 << 16
		handler := admin.New(options).Handler()
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		assert.Assert(t, response.Code != http.StatusInternalServerError, response.Body.String())
		if response.Header().Get("Content-Type") == "application/json" {
			var verdict admin.Verdict
			assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &verdict))
		} else if response.Code >= http.StatusBadRequest {
			var problem admin.Problem
			assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &problem))
			assert.Equal(t, problem.Status, response.Code)
		}
		for _, statePath := range []string{"/v1/status", "/v1/workspaces/heaters/history"} {
			stateResponse := httptest.NewRecorder()
			handler.ServeHTTP(stateResponse, httptest.NewRequest(http.MethodGet, statePath, nil))
			assert.Equal(t, stateResponse.Code, http.StatusOK)
		}
	})
}

// FuzzTokens authorizes arbitrary tokens. Only the token that the workspace lists must
// be accepted.
func FuzzTokens(f *testing.F) {
	mesh := admintest.New(logservice.New(logservice.Options{}))
	body := withAccess(newPublication("heaters", 0, "20"), map[string]publish.Role{publisherToken: publish.Publisher})
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
