package call_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// A look-up on a target that hangs is answered by another one, and the losing run
// is cancelled. A call with a key is never hedged.
func TestHedge(t *testing.T) {
	hedged := func(_ *publish.Service, route *publish.Route) {
		route.Hedge = time.Millisecond
		route.RetryBudget = 1
		route.Deadline = time.Hour
	}
	m := newMesh(t, 2, config(hedged), nil)
	m.nodes[1].setBehaviour(target.Behaviour{Hang: true})
	hedges := 0
	for range 20 {
		got := m.nodes[0].post(t, lookups, "body")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, string(got.body), "body")
		if len(m.nodes[0].events.of(timeline.Sent, got.id())) == 2 {
			hedges++
		}
	}
	assert.Assert(t, hedges > 0)
	eventually(t, "all runs that lost are cancelled", func() bool {
		for _, run := range m.nodes[1].target.Runs() {
			if !run.Cancelled {
				return false
			}
		}
		return m.nodes[1].server.Load().Busy == 0
	})
	for _, n := range m.nodes {
		n.keys.host = "b"
	}
	key := newKey(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := m.nodes[0].do(t, ctx, http.MethodPost, orders, nil, call.HeaderKey, key, call.HeaderDeadline, "100ms")
	assert.Assert(t, err != nil)
	eventually(t, "the keyed run ends", func() bool {
		runs := m.runsOfKey(key)
		return len(runs) == 1 && runs[0].Cancelled
	})
}
