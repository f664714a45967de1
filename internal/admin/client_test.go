package admin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// A response of a daemon that never ends is an error and is not read into memory.
func TestEndlessResponseOfDaemonIsAnError(t *testing.T) {
	const maxSent = 128 << 20
	sent := 0
	block := strings.Repeat("a", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, err := io.WriteString(w, `{"host":"`)
		for err == nil && sent < maxSent {
			_, err = io.WriteString(w, block)
			sent += len(block)
		}
	}))
	_, err := admin.NewClient(server.URL, "", server.Client()).Status(t.Context())
	server.Close()
	assert.ErrorContains(t, err, "too large")
	assert.Assert(t, sent < maxSent)
}
