package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLeaseSurvivesPauseOfDaemon checks that a lease does not expire because
// the daemon itself was paused, and expires later without renewal.
func TestLeaseSurvivesPauseOfDaemon(t *testing.T) {
	start := time.UnixMilli(0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l lease
	assert.NilError(t, l.renew(Announcement{Service: "w/s", Address: "a", Slots: 1, State: "ready"}, start))
	assert.Assert(t, !l.expire(at(500)))
	assert.Assert(t, !l.expire(at(60_500)))
	assert.Equal(t, l.effectiveState(), Ready)
	expiredAfterMs := 0
	for ms := 61_000; ms < 70_000; ms += 500 {
		if l.expire(at(ms)) {
			expiredAfterMs = ms
		}
	}
	assert.Equal(t, expiredAfterMs, 63_000)
	assert.Equal(t, l.effectiveState(), NoTarget)
}

// TestLeaseFollowsTarget checks random sequences of announcements, withdrawals
// and drains against a model of the lease.
func TestLeaseFollowsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(0)
		var l lease
		var renewed time.Time
		announced := NoTarget
		drained := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"announce", "withdraw", "drain", "resume", "wait"}).Draw(t, "step") {
			case "announce":
				state := rapid.SampledFrom([]string{"cold", "ready", "draining"}).Draw(t, "state")
				assert.NilError(t, l.renew(Announcement{Service: "w/s", Address: "a", Slots: 1, State: state}, now))
				announced, renewed = announceableStates[state], now
			case "withdraw":
				l.withdraw(now)
				announced = NoTarget
			case "drain":
				drained = true
				l.setOperatorDrain(true, now)
			case "resume":
				drained = false
				l.setOperatorDrain(false, now)
			case "wait":
				now = now.Add(maintenanceInterval)
				l.expire(now)
			}
			takesWork := l.effectiveState() == Cold || l.effectiveState() == Ready
			held := now.Sub(renewed) < defaultLeaseDuration && (announced == Cold || announced == Ready)
			assert.Equal(t, takesWork, held && !drained)
			if takesWork {
				assert.Equal(t, l.effectiveState(), announced)
			}
		}
	})
}

func TestAnnouncementsAreChecked(t *testing.T) {
	valid := Announcement{Service: "w/s", Address: "a", Slots: 1, State: "ready"}
	broken := map[string]func(*Announcement){
		"state":   func(a *Announcement) { a.State = "warm" },
		"service": func(a *Announcement) { a.Service = "s" },
		"address": func(a *Announcement) { a.Address = "" },
		"slots":   func(a *Announcement) { a.Slots = 0 },
	}
	for name, edit := range broken {
		t.Run(name, func(t *testing.T) {
			a := valid
			edit(&a)
			var l lease
			assert.ErrorIs(t, l.renew(a, time.Time{}), ErrAnnouncementRefused)
			assert.Equal(t, l.effectiveState(), NoTarget)
		})
	}
}

// TestDepartureOutlivesLateAnnouncements records the departure of a target that
// has not announced itself since the daemon started. Announcements that the
// target sent before and that arrive late must not make it ready again; a later
// instance of the same name does.
func TestDepartureOutlivesLateAnnouncements(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	late := Announcement{
		Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready",
		Instance: "i-1", StartedUnixMs: now.Add(-time.Minute).UnixMilli(), Sequence: 20,
	}
	var l lease
	l.recordDeparture(instanceID{instance: "i-1"}, now)
	assert.NilError(t, l.renew(late, now.Add(time.Second)))
	assert.Equal(t, l.effectiveState(), Draining)

	next := late
	next.StartedUnixMs, next.Sequence = now.Add(8*time.Second).UnixMilli(), 1
	assert.NilError(t, l.renew(next, now.Add(9*time.Second)))
	assert.Equal(t, l.effectiveState(), Ready)
	assert.ErrorIs(t, l.renew(late, now.Add(10*time.Second)), ErrStaleAnnouncement)
}

// TestAnnouncementsAreOrderedBySequence checks that a draining target does not
// become ready by an announcement that arrives late, or by a later one of the
// same instance.
func TestAnnouncementsAreOrderedBySequence(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	one := Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready", Instance: "i-1", StartedUnixMs: 1, Sequence: 4}
	draining := one
	draining.State, draining.Sequence = "draining", 6
	again := one
	again.Sequence = 7
	var l lease
	assert.NilError(t, l.renew(one, now))
	assert.NilError(t, l.renew(draining, now))
	assert.ErrorIs(t, l.renew(one, now), ErrStaleAnnouncement)
	assert.NilError(t, l.renew(again, now))
	assert.Equal(t, l.effectiveState(), Draining)
}

func TestInstanceThatLeavesDoesNotBecomeReadyAgain(t *testing.T) {
	now := time.Now()
	announce := func(instance string, sequence uint64) Announcement {
		return Announcement{Service: "railway/status", Address: "10.0.0.1:1", Slots: 1, State: "ready", Instance: instance, StartedUnixMs: 1, Sequence: sequence}
	}
	var l lease
	assert.Assert(t, !l.leave("i-1", now), "an instance left before it was announced")
	assert.NilError(t, l.renew(announce("i-1", 1), now))
	assert.Assert(t, !l.leave("i-0", now), "an instance that is not announced left")
	assert.Equal(t, l.effectiveState(), Ready)
	assert.Assert(t, l.leave("i-1", now))
	assert.Equal(t, l.effectiveState(), Draining)
	assert.NilError(t, l.renew(announce("i-1", 2), now))
	assert.Equal(t, l.effectiveState(), Draining)
	assert.NilError(t, l.renew(announce("i-2", 1), now))
	assert.Equal(t, l.effectiveState(), Ready)

	// A later start under the name that it had leaves by itself.
	again := announce("i-1", 1)
	again.StartedUnixMs = 2
	assert.NilError(t, l.renew(again, now))
	assert.Equal(t, l.effectiveState(), Ready)
	assert.Assert(t, l.leave("i-1", now))
	assert.Equal(t, l.effectiveState(), Draining)
}
