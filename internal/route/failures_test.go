package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// reportFailureRate reports to a router the failure rate of a target.
func reportFailureRate(r *route.Router, host string, rate float64) {
	r.Begin(host)
	r.Done(host, route.Result{Outcome: route.Success, Load: &route.Load{Slots: slots, FailureRate: rate}})
}

// choiceRate returns the fraction of 1,000 choices that go to a host.
func choiceRate(t *testing.T, r *route.Router, request route.Request, host string) float64 {
	t.Helper()
	count := 0
	for range 1000 {
		choice, err := r.Choose(request)
		assert.NilError(t, err)
		if choice.Member.Host == host {
			count++
		}
	}
	return float64(count) / 1000
}

// A target that fails less than half of its requests, according to a report,
// gets no calls for a while, and non-repeatable calls stay away for longer.
func TestReportedFailuresDivertCalls(t *testing.T) {
	d := &directory{members: []membership.Member{readyMember("grey", "zone-0"), readyMember("a", "zone-0"), readyMember("b", "zone-0")}}
	r, c := newRouter(d, 1)
	reportFailureRate(r, "grey", 0.4)
	nonRepeatable := route.Request{Service: service}
	repeatable := route.Request{Service: service, Repeatable: true}
	assert.Equal(t, choiceRate(t, r, nonRepeatable, "grey"), 0.0)
	assert.Equal(t, choiceRate(t, r, repeatable, "grey"), 0.0)
	c.time = c.time.Add(6 * time.Second)
	assert.Equal(t, choiceRate(t, r, nonRepeatable, "grey"), 0.0)
	assert.Assert(t, choiceRate(t, r, repeatable, "grey") > 0.2)
	c.time = c.time.Add(30 * time.Second)
	assert.Assert(t, choiceRate(t, r, nonRepeatable, "grey") > 0.2)
}

// Targets with similar failure rates all keep their calls: the cause is then
// likely a common dependency.
func TestCommonFailuresDivertNothing(t *testing.T) {
	d := &directory{members: []membership.Member{readyMember("a", "zone-0"), readyMember("b", "zone-0"), readyMember("c", "zone-0")}}
	r, _ := newRouter(d, 1)
	for host, rate := range map[string]float64{"a": 0.5, "b": 0.55, "c": 0.6} {
		reportFailureRate(r, host, rate)
	}
	for _, host := range []string{"a", "b", "c"} {
		assert.Assert(t, choiceRate(t, r, route.Request{Service: service}, host) > 0.2)
	}
}

// The failure rate decays once failures stop.
func TestFailureTrackerDecays(t *testing.T) {
	var tracker route.FailureTracker
	now := time.Unix(1_800_000_000, 0)
	tracker.Add(true, now)
	assert.Equal(t, tracker.Rate(now), 0.0, "one failure is not reported")
	for range 3 {
		tracker.Add(true, now)
		tracker.Add(false, now)
	}
	assert.Assert(t, tracker.Rate(now) > 0.5)
	assert.Equal(t, tracker.Rate(now.Add(10*time.Second)), 0.0)
}
