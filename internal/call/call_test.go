package call_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

func TestCallThroughOneDaemon(t *testing.T) {
	m := newMesh(t, 1, config(nil), nil)
	got := m.nodes[0].post(t, lookups+"/points/12%2F3?x=1", "cold night")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, string(got.body), "cold night")
	assert.Equal(t, got.outcome(), "")
	assert.Equal(t, got.trailer.Get(target.CallIDTrailer), got.id())
	runs := m.runsOf(got.id())
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Path, "/points/12%2F3?x=1")
	assert.Assert(t, runs[0].Deadline > 0)
	for _, kind := range []timeline.Kind{timeline.CallBegan, timeline.Sent, timeline.Ran, timeline.Answered} {
		assert.Equal(t, len(m.nodes[0].events.of(kind, got.id())), 1, string(kind))
	}
}

func TestCallThroughTwoDaemons(t *testing.T) {
	m := newMesh(t, 2, config(nil), nil)
	m.nodes[0].routeOnlyTo(m.nodes[1])
	got := m.nodes[0].post(t, lookups, "body", "X-Own", "kept", "Mulberry-Service", "forged/one")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, string(got.body), "body")
	assert.Equal(t, got.header.Get(call.HeaderLoad), "")
	assert.Equal(t, got.trailer.Get(target.CallIDTrailer), got.id())
	assert.Equal(t, len(m.nodes[1].target.Runs()), 1)
	assert.Equal(t, len(m.nodes[1].events.of(timeline.Ran, got.id())), 1)
	sent := m.nodes[0].events.of(timeline.Sent, got.id())
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].Peer, "b")
}

func TestErrorsBeforeAnyTarget(t *testing.T) {
	m := newMesh(t, 1, config(nil), nil)
	n := m.nodes[0]
	cases := []struct {
		name, path, step string
		header           []string
		status           int
	}{
		{"no route", "railway/none/x", call.StepRoute, nil, http.StatusNotFound},
		{"no path", "railway", call.StepRoute, nil, http.StatusNotFound},
		{"no key", orders, call.StepRequest, nil, http.StatusBadRequest},
		{"key without time", orders, call.StepRequest, []string{call.HeaderKey, "7d444840-9dc0-11d1-b245-5ffdce74fad2"}, http.StatusBadRequest},
		{"deadline", lookups, call.StepRequest, []string{call.HeaderDeadline, "-1s"}, http.StatusBadRequest},
		{"budget", lookups, call.StepRequest, []string{call.HeaderRetryBudget, "many"}, http.StatusBadRequest},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			got := n.get(t, one.path, one.header...)
			assert.Equal(t, got.status, one.status)
			assert.Equal(t, got.outcome(), string(call.NotRun))
			assert.Equal(t, got.step(), one.step)
			assert.Equal(t, got.header.Get(call.HeaderPeer), "a")
			assert.Assert(t, strings.Contains(string(got.body), `"outcome":"not-run"`))
		})
	}
	n.tables.table.Store(nil)
	got := n.get(t, lookups)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.step(), call.StepConfiguration)
	assert.Equal(t, len(n.target.Runs()), 0)
}

func TestKeyRunsOnceOnItsHome(t *testing.T) {
	m := newMesh(t, 2, config(nil), nil)
	shared := m.nodes[0].keys
	m.nodes[1].keys.host = "a"
	key := newKey(t)
	first := m.nodes[1].post(t, orders, "order", call.HeaderKey, key)
	assert.Equal(t, first.status, http.StatusOK)
	again := m.nodes[0].post(t, orders, "order", call.HeaderKey, key)
	assert.Equal(t, again.status, http.StatusOK)
	assert.Equal(t, string(again.body), "order")
	assert.Equal(t, len(m.runsOfKey(key)), 1)
	assert.Equal(t, len(shared.claims), 1)
}
