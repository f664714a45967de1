package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// reportFailing makes a router hear what share of its requests a target failed.
func reportFailing(r *route.Router, host string, share float64) {
	r.Begin(host)
	r.Done(host, route.Result{Outcome: route.Success, Load: &route.Load{Slots: slots, FailureRate: share}})
}

// shareOf returns the share of 1,000 choices that go to a host.
func shareOf(t *testing.T, r *route.Router, want route.Request, host string) float64 {
	t.Helper()
	picks := 0
	for range 1000 {
		choice, err := r.Choose(want)
		assert.NilError(t, err)
		if choice.Member.Host == host {
			picks++
		}
	}
	return float64(picks) / 1000
}

// TestReportedFailuresMoveCalls has one target fail less than half of its
// requests, which another daemon's calls have shown: none go there for a while,
// and those that may not be repeated stay away longer.
func TestReportedFailuresMoveCalls(t *testing.T) {
	d := &directory{members: []membership.Member{ready("grey", "zone-0"), ready("a", "zone-0"), ready("b", "zone-0")}}
	r, c := newRouter(d, 1)
	reportFailing(r, "grey", 0.4)
	once := route.Request{Service: service}
	repeatable := route.Request{Service: service, Repeatable: true}
	assert.Equal(t, shareOf(t, r, once, "grey"), 0.0)
	assert.Equal(t, shareOf(t, r, repeatable, "grey"), 0.0)
	c.time = c.time.Add(6 * time.Second)
	assert.Equal(t, shareOf(t, r, once, "grey"), 0.0)
	assert.Assert(t, shareOf(t, r, repeatable, "grey") > 0.2)
	c.time = c.time.Add(30 * time.Second)
	assert.Assert(t, shareOf(t, r, once, "grey") > 0.2)
}

// TestCommonFailuresMoveNothing has all targets fail alike, as when what they
// call fails.
func TestCommonFailuresMoveNothing(t *testing.T) {
	d := &directory{members: []membership.Member{ready("a", "zone-0"), ready("b", "zone-0"), ready("c", "zone-0")}}
	r, _ := newRouter(d, 1)
	for host, share := range map[string]float64{"a": 0.5, "b": 0.55, "c": 0.6} {
		reportFailing(r, host, share)
	}
	for _, host := range []string{"a", "b", "c"} {
		assert.Assert(t, shareOf(t, r, route.Request{Service: service}, host) > 0.2)
	}
}

// TestTallyFades counts failures that end.
func TestTallyFades(t *testing.T) {
	var tally route.FailureTracker
	now := time.Unix(1_800_000_000, 0)
	tally.Add(true, now)
	assert.Equal(t, tally.Rate(now), 0.0, "one failure shows nothing")
	for range 3 {
		tally.Add(true, now)
		tally.Add(false, now)
	}
	assert.Assert(t, tally.Rate(now) > 0.5)
	assert.Equal(t, tally.Rate(now.Add(10*time.Second)), 0.0)
}
