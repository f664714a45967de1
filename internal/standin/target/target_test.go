package target_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// startDaemon starts an endpoint for announcements and returns its address and a
// channel of the announcements. A withdrawal is sent as nil.
func startDaemon(t *testing.T) (string, <-chan *membership.Announcement) {
	announced := make(chan *membership.Announcement, 100)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			announced <- nil
			return
		}
		var announcement membership.Announcement
		if json.NewDecoder(r.Body).Decode(&announcement) == nil {
			announced <- &announcement
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), announced
}

func start(t *testing.T, options target.Options) (*target.Target, func()) {
	options.Listen = "127.0.0.1:0"
	standin, err := target.New(options)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() { assert.Check(t, standin.Run(ctx)) })
	stop := func() { cancel(); tasks.Wait() }
	t.Cleanup(stop)
	return standin, stop
}

func TestTargetAnnouncesChangesAndWithdraws(t *testing.T) {
	address, announced := startDaemon(t)
	standin, stop := start(t, target.Options{Service: "railway/status", DaemonAddress: address, Slots: 6})
	first := <-announced
	assert.Equal(t, *first, membership.Announcement{Service: "railway/status", Address: standin.Address(), Slots: 6, State: "ready"})
	assert.NilError(t, standin.SetBehaviour(target.Behaviour{State: target.StateDraining}))
	for next := range announced {
		if next.State == target.StateDraining {
			break
		}
	}
	stop()
	for next := range announced {
		if next == nil {
			break
		}
	}
}

func TestTargetRecordsExecutedRequests(t *testing.T) {
	standin, _ := start(t, target.Options{Service: "railway/status", Slots: 6})
	url := "http://" + standin.Address()
	request, err := http.NewRequest(http.MethodPost, url+"/points", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set(call.HeaderCall, "id-1")
	request.Header.Set(call.HeaderAttempt, "2")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(body), "body")
	assert.Equal(t, response.Trailer.Get(target.CallIDTrailer), "id-1")

	response, err = http.Post(url+"/behaviour", "application/json", strings.NewReader(`{"shed":true}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	response, err = http.Get(url + "/points")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)

	runs := standin.Runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Call, "id-1")
	assert.Equal(t, runs[0].Attempt, 2)
	assert.Assert(t, runs[0].Finished)
}

func TestHealthOverride(t *testing.T) {
	standin, _ := start(t, target.Options{Service: "railway/status"})
	health := func() int {
		response, err := http.Get("http://" + standin.Address() + "/health")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, health(), http.StatusOK)
	assert.NilError(t, standin.SetBehaviour(target.Behaviour{Hang: true}))
	assert.Equal(t, health(), http.StatusServiceUnavailable)
	assert.NilError(t, standin.SetBehaviour(target.Behaviour{Hang: true, ReportHealthy: true}))
	assert.Equal(t, health(), http.StatusOK)
	assert.ErrorContains(t, standin.SetBehaviour(target.Behaviour{State: "odd"}), "odd")
}
