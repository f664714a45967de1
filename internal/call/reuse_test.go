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

// hastyListener accepts connections on which a bound on reads that lies ahead
// passes soon, as it has for a process that was paused.
type hastyListener struct{ net.Listener }

func (l hastyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return hastyConn{conn}, err
}

type hastyConn struct{ net.Conn }

// hastyBound is how soon a bound on reads passes.
const hastyBound = 10 * time.Millisecond

func (c hastyConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > hastyBound {
		t = time.Now().Add(hastyBound)
	}
	return c.Conn.SetReadDeadline(t)
}

// TestPauseDoesNotSpoilAConnection sends requests on one connection whose bounds on
// reads pass while each is in progress. All are answered.
func TestPauseDoesNotSpoilAConnection(t *testing.T) {
	const calls = 5
	m := newMesh(t, 1, config(nil), nil)
	caller := m.nodes[0]
	caller.behave(target.Behaviour{State: target.StateReady, Delay: settings.Duration(5 * hastyBound)})
	server := httptest.NewUnstartedServer(caller.server.CallerHandler())
	server.Listener = hastyListener{server.Listener}
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

// TestCallerTakenForGoneIsToldTheTruth serves a request whose caller the server
// takes for gone though it is not: the answer is no fault of the caller's, and the
// connection ends with it.
func TestCallerTakenForGoneIsToldTheTruth(t *testing.T) {
	m := newMesh(t, 1, config(nil), nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/"+lookups+"/heaters", nil).WithContext(ctx)
	m.nodes[0].server.CallerHandler().ServeHTTP(w, r)
	assert.Assert(t, w.Code >= http.StatusInternalServerError, "%d", w.Code)
	assert.Equal(t, w.Header().Get("Connection"), "close")
}
