package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBoundHoldsThroughFaults guards against homes and daemons that together admit more
// than the bound while a home is dead, frozen or cut off, while two hosts are the home, and
// after a restart of all daemons.
func TestBoundHoldsThroughFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{6, 20, 60}).Draw(t, "hosts")
		rate := float64(rapid.SampledFrom([]int{30, 100, 590}).Draw(t, "rate"))
		chosen := rapid.SampledFrom(loads[:6]).Draw(t, "load")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), hosts, Limit{Rate: rate, Burst: rate})
		s.run(time.Duration(rapid.IntRange(100, 7000).Draw(t, "idle")) * time.Millisecond)
		s.demand = func(host int, at time.Duration) float64 { return rate * chosen.demand(hosts, host, at) }
		s.run(time.Duration(rapid.IntRange(200, 7000).Draw(t, "before")) * time.Millisecond)
		fault := rapid.SampledFrom([]string{"kill", "restart", "pause", "cut", "restart all"}).Draw(t, "fault")
		length := time.Duration(rapid.IntRange(100, 12000).Draw(t, "length")) * time.Millisecond
		victim := s.order[0]
		if rapid.Bool().Draw(t, "other") {
			victim = s.order[1]
		}
		switch fault {
		case "kill":
			s.kill(victim)
		case "restart":
			s.kill(victim)
			s.after(length, func() { s.restart(victim) })
		case "pause":
			s.pause(victim, length)
		case "cut":
			s.cut(rapid.IntRange(1, hosts-1).Draw(t, "cut off"), length)
		case "restart all":
			s.restartAll(length / 4)
		}
		s.run(length + 8*time.Second)
		assert.Assert(t, s.excess() <= 0, "%s of %v under %s: %.0f requests above the bound", fault, length, chosen.name, s.excess())
	})
}
