package main_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call/ratetest"
	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

func TestRateLimitOfUpstreamIsKeptByAllDaemonsTogether(t *testing.T) {
	const rateLimit = 2
	f := startFleet(t)
	limited := f.hosts[0]
	limited.upstream.SetBehaviour(upstream.Behaviour{RateLimit: "2"})
	for range 400 {
		for _, h := range f.hosts {
			_, _ = f.send(h, http.MethodGet, "/lookup/1", "")
		}
	}
	var times []time.Time
	for _, run := range limited.upstream.Runs() {
		times = append(times, run.Started)
	}
	most := ratetest.MostInWindow(times)
	assert.Assert(t, most > 0, "the limited upstream got nothing")
	assert.Assert(t, most <= ratetest.Allowed(rateLimit), "%d in a window", most)
}

func TestUpstreamThatLeavesGetsNoFurtherRequest(t *testing.T) {
	f := startFleet(t)
	leaving := f.hosts[0]
	leaving.upstream.SetBehaviour(upstream.Behaviour{Leaving: true})
	f.await("an answer of the upstream that leaves", func() bool {
		_, _ = f.send(leaving, http.MethodGet, "/lookup/1", "")
		return len(leaving.upstream.Runs()) > 0
	})
	before := len(leaving.upstream.Runs())
	for _, h := range f.hosts {
		f.await(h.name+" knows another upstream", func() bool {
			got, err := f.send(h, http.MethodGet, "/lookup/1", "")
			return err == nil && got.status == http.StatusOK
		})
	}
	for range 50 {
		for _, h := range f.hosts {
			f.mustSend(h, http.MethodGet, "/lookup/1", "")
		}
		// A heartbeat that says otherwise does not bring it back.
		assert.NilError(t, leaving.upstream.SendHeartbeat(t.Context()))
	}
	assert.Equal(t, len(leaving.upstream.Runs()), before)
}
