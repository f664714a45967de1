package call_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// TestConnectionIsReusedAfterUnreadBody refuses requests whose chunked bodies have
// not been read; the connection of each can be reused for the next request.
func TestConnectionIsReusedAfterUnreadBody(t *testing.T) {
	const calls = 20
	m := newMesh(t, 1, config(nil), nil)
	caller := m.nodes[0]
	caller.member.TargetState = membership.Draining
	m.shareView()
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

// earlyDeadlineListener accepts connections on which a future read deadline passes
// early, as it does for a process that was paused.
type earlyDeadlineListener struct{ net.Listener }

func (l earlyDeadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return earlyDeadlineConn{conn}, err
}

type earlyDeadlineConn struct{ net.Conn }

// maxReadDeadline is the longest time until a read deadline passes.
const maxReadDeadline = 10 * time.Millisecond

func (c earlyDeadlineConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > maxReadDeadline {
		t = time.Now().Add(maxReadDeadline)
	}
	return c.Conn.SetReadDeadline(t)
}

// TestConnectionIsReusedAfterReadDeadline sends requests on one connection whose
// read deadlines pass while each request is in progress. All get a response.
func TestConnectionIsReusedAfterReadDeadline(t *testing.T) {
	const calls = 5
	m := newMesh(t, 1, config(nil), nil)
	caller := m.nodes[0]
	caller.setBehaviour(target.Behaviour{State: target.StateReady, Delay: settings.Duration(5 * maxReadDeadline)})
	server := httptest.NewUnstartedServer(caller.server.CallerHandler())
	server.Listener = earlyDeadlineListener{server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for _, body := range []string{"", "night shift"} {
		for range calls {
			request, err := http.NewRequest(http.MethodPut, server.URL+"/"+lookups+"/heaters", strings.NewReader(body))
			assert.NilError(t, err)
			response, err := client.Do(request)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusOK, "%q", body)
		}
	}
}

// TestCallerTakenForDisconnectedGetsServerError serves a request whose caller the
// server takes for disconnected though it is still connected: the status does not
// blame the caller, and the connection is closed.
func TestCallerTakenForDisconnectedGetsServerError(t *testing.T) {
	m := newMesh(t, 1, config(nil), nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/"+lookups+"/heaters", nil).WithContext(ctx)
	m.nodes[0].server.CallerHandler().ServeHTTP(w, r)
	assert.Assert(t, w.Code >= http.StatusInternalServerError, "%d", w.Code)
	assert.Equal(t, w.Header().Get("Connection"), "close")
}
