package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// report makes a router hear what a target takes for calls of rank 0.
func report(r *route.Router, host string, busy int, took time.Duration) {
	r.Begin(host)
	r.Done(host, route.Result{Outcome: route.Success, Load: &route.Load{Busy: busy, Slots: slots, ServiceTime: took}})
}

// picksOf counts how many of 1,000 picks go to a host.
func picksOf(t *testing.T, r *route.Router, host string) int {
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

// TestFasterTargetGetsMoreCalls has three targets of one load and different pace.
// The slowest gets far less than a third of the calls, until the reports are old.
func TestFasterTargetGetsMoreCalls(t *testing.T) {
	const third = 1000 / 3
	d := &directory{members: []membership.Member{ready("slow", "zone-0"), ready("usual", "zone-0"), ready("fast", "zone-0")}}
	r, c := newRouter(d, 1)
	report(r, "slow", 2, 580*time.Millisecond)
	report(r, "usual", 2, 350*time.Millisecond)
	report(r, "fast", 2, 250*time.Millisecond)
	slow, fast := picksOf(t, r, "slow"), picksOf(t, r, "fast")
	assert.Assert(t, slow < third/2, "%d", slow)
	assert.Assert(t, fast > third, "%d", fast)
	c.time = c.time.Add(time.Minute)
	slow = picksOf(t, r, "slow")
	assert.Assert(t, slow > third-third/4, "%d", slow)
}

// TestLoadedFastTargetIsSpared fills the faster target beyond its slots.
func TestLoadedFastTargetIsSpared(t *testing.T) {
	d := &directory{members: []membership.Member{ready("slow", "zone-0"), ready("fast", "zone-0")}}
	r, _ := newRouter(d, 1)
	report(r, "slow", 1, 580*time.Millisecond)
	report(r, "fast", 3*slots, 250*time.Millisecond)
	assert.Assert(t, picksOf(t, r, "fast") < 500)
}

// TestSlowTargetOfTheZoneIsLeft has the only target of the zone turn slow: calls
// go to another zone though it has free slots.
func TestSlowTargetOfTheZoneIsLeft(t *testing.T) {
	d := &directory{members: []membership.Member{ready("near", "zone-0"), ready("b", "zone-1"), ready("c", "zone-1")}}
	r, _ := newRouter(d, 1)
	report(r, "near", slots/2, 350*time.Millisecond)
	assert.Equal(t, picksOf(t, r, "near"), 1000)
	report(r, "b", 1, 350*time.Millisecond)
	report(r, "c", 1, 350*time.Millisecond)
	report(r, "near", slots/2, 3500*time.Millisecond)
	assert.Assert(t, picksOf(t, r, "near") < 100)
}
