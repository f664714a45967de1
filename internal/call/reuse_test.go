package call_test

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// TestConnectionIsReusedAfterUnreadBody refuses requests whose chunked bodies
// nobody has read; each leaves its connection fit for the next.
func TestConnectionIsReusedAfterUnreadBody(t *testing.T) {
	const calls = 20
	m := newMesh(t, 1, config(nil), nil)
	caller := m.nodes[0]
	caller.member.TargetState = membership.Draining
	m.share()
	reused := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			reused++
		}
	}}
	ctx := httptrace.WithClientTrace(t.Context(), trace)
	for range calls {
		body := io.MultiReader(strings.NewReader("night shift"))
		got, err := caller.do(t, ctx, http.MethodPost, lookups+"/heaters", body)
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.outcome(), string(call.NotRun))
	}
	assert.Equal(t, reused, calls-1)
}
