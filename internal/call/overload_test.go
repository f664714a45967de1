package call_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// When every host is full, calls are refused after few attempts: an attempt that a
// daemon refuses costs processor time that calls which could be served need.
func TestFullHostsGetFewAttempts(t *testing.T) {
	const (
		hosts = 6
		calls = 300
		// allowed is the budget for attempts after full hosts.
		allowed = 20 + calls/2
	)
	set := metrics.NewSet()
	var seconds atomic.Int64
	m := newMesh(t, hosts, config(func(service *publish.Service, route *publish.Route) {
		service.Slots, service.Queue = 1, 0
		route.Refusals, route.Deadline = 3, time.Minute
	}), func(i int, o *call.Options) {
		if i > 0 {
			return
		}
		o.Metrics = set
		// What a refusal shows of a host has expired when the next call comes.
		o.Router = route.New(route.Options{Directory: o.Directory, Self: o.Self, Now: func() time.Time { return time.Unix(seconds.Add(1), 0) }})
	})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for _, n := range m.nodes {
		n.setBehaviour(target.Behaviour{Hang: true})
		n.routeOnlyTo(n)
		tasks.Go(func() { _, _ = n.do(t, ctx, http.MethodGet, lookups, nil) })
		eventually(t, "the slot is taken", func() bool { return n.server.Load().Busy == 1 })
	}
	m.shareView()
	for range calls {
		got := m.nodes[0].get(t, lookups)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.outcome(), "not-run")
	}
	retries := set.GetOrCreateCounter("mulberrybank_call_retries_total").Get()
	assert.Assert(t, retries <= allowed, "%d", retries)
}
