package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// reportServiceTime reports to a router the load of a target and its service time
// for calls of priority 0.
func reportServiceTime(r *route.Router, host string, busy int, mean time.Duration) {
	r.Begin(host)
	r.Done(host, route.Result{Outcome: route.Success, Load: &route.Load{Busy: busy, Slots: slots, ServiceTime: mean}})
}

// countPicks counts how many of 1,000 picks go to a host.
func countPicks(t *testing.T, r *route.Router, host string) int {
	t.Helper()
	picks := 0
	for range 1000 {
		member, err := r.Pick(service, nil)
		assert.NilError(t, err)
		if member.Host == host {
			picks++
		}
	}
	return picks
}

// Of three targets with the same load and different service times, the slowest
// gets far less than a third of the calls until the reports have decayed.
func TestFasterTargetGetsMoreCalls(t *testing.T) {
	const third = 1000 / 3
	d := &directory{members: []membership.Member{readyMember("slow", "zone-0"), readyMember("usual", "zone-0"), readyMember("fast", "zone-0")}}
	r, c := newRouter(d, 1)
	reportServiceTime(r, "slow", 2, 580*time.Millisecond)
	reportServiceTime(r, "usual", 2, 350*time.Millisecond)
	reportServiceTime(r, "fast", 2, 250*time.Millisecond)
	slow, fast := countPicks(t, r, "slow"), countPicks(t, r, "fast")
	assert.Assert(t, slow < third/2, "%d", slow)
	assert.Assert(t, fast > third, "%d", fast)
	c.time = c.time.Add(time.Minute)
	slow = countPicks(t, r, "slow")
	assert.Assert(t, slow > third-third/4, "%d", slow)
}

// A faster target that is loaded beyond its slots gets fewer calls.
func TestOverloadedFastTargetGetsFewerCalls(t *testing.T) {
	d := &directory{members: []membership.Member{readyMember("slow", "zone-0"), readyMember("fast", "zone-0")}}
	r, _ := newRouter(d, 1)
	reportServiceTime(r, "slow", 1, 580*time.Millisecond)
	reportServiceTime(r, "fast", 3*slots, 250*time.Millisecond)
	assert.Assert(t, countPicks(t, r, "fast") < 500)
}

// When the only target of the zone becomes slow, calls go to another zone even
// though it has free slots.
func TestSlowTargetSpillsToOtherZone(t *testing.T) {
	d := &directory{members: []membership.Member{readyMember("near", "zone-0"), readyMember("b", "zone-1"), readyMember("c", "zone-1")}}
	r, _ := newRouter(d, 1)
	reportServiceTime(r, "near", slots/2, 350*time.Millisecond)
	assert.Equal(t, countPicks(t, r, "near"), 1000)
	reportServiceTime(r, "b", 1, 350*time.Millisecond)
	reportServiceTime(r, "c", 1, 350*time.Millisecond)
	reportServiceTime(r, "near", slots/2, 3500*time.Millisecond)
	assert.Assert(t, countPicks(t, r, "near") < 100)
}
