package membership

import (
	"errors"
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

// The starts of this test have times as clocks give them: a later start begins after the
// response that said that the one before leaves.
func TestInstanceThatLeavesDoesNotBecomeReadyAgain(t *testing.T) {
	now := time.Now()
	announce := func(instance string, sequence uint64) Announcement {
		return Announcement{Service: "railway/status", Address: "10.0.0.1:1", Slots: 1, State: "ready", Instance: instance, StartedUnixMs: now.Add(-time.Minute).UnixMilli(), Sequence: sequence}
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
	again.StartedUnixMs = now.UnixMilli() + 1
	assert.NilError(t, l.renew(again, now))
	assert.Equal(t, l.effectiveState(), Ready)
	assert.Assert(t, l.leave("i-1", now))
	assert.Equal(t, l.effectiveState(), Draining)
}

// departureCase is a way in which a departure is first heard of. depart tells the lease of
// the departure of a start and reports whether that may be acknowledged.
type departureCase struct {
	name   string
	depart func(l *lease, a Announcement, now time.Time) (acknowledged bool)
}

func withdrawal(l *lease, a Announcement, now time.Time) bool {
	l.recordDeparture(a.instanceID(), now)
	l.closeIfDeparted()
	return !l.servesLaterStart(a.instanceID())
}

func drainingAnnouncement(l *lease, a Announcement, now time.Time) bool {
	a.State = "draining"
	a.Sequence += 10
	return !errors.Is(l.renew(a, now), ErrLaterStartServed)
}

// TestAcknowledgedDepartureClosesTheGate draws starts of one instance, of which one leaves:
// the announced one, a later one that has not announced itself, or an earlier one. Late and
// repeated announcements follow. Guards against: the departure of an instance that started
// again was acknowledged and ignored, and its earlier lease went on (review case 7, DRAIN).
func TestAcknowledgedDepartureClosesTheGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000_000)
		start := func(ms int64) Announcement {
			return Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready", Instance: "i-1", StartedUnixMs: now.UnixMilli() + ms}
		}
		drawn := func(label string) Announcement {
			a := start(rapid.SampledFrom([]int64{-60_000, -3_000, -1_000}).Draw(t, label))
			a.Sequence = rapid.Uint64Range(1, 9).Draw(t, label+" sequence")
			return a
		}
		l := lease{configuredDuration: 10 * time.Second}
		assert.NilError(t, l.renew(drawn("announced"), now))
		leaving := drawn("leaving")
		tell := rapid.SampledFrom([]departureCase{{"withdrawal", withdrawal}, {"announcement", drainingAnnouncement}}).Draw(t, "told by")
		if !tell.depart(&l, leaving, now) {
			return
		}
		// Late announcements arrive for seconds.
		for range rapid.IntRange(0, 12).Draw(t, "late announcements") {
			assert.Assert(t, l.effectiveState() != Ready || l.announcement.StartedUnixMs > leaving.StartedUnixMs, "an instance that left takes work")
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			late := leaving
			late.StartedUnixMs -= rapid.SampledFrom([]int64{0, 2_000}).Draw(t, "earlier by")
			late.Sequence = rapid.Uint64Range(1, 30).Draw(t, "sequence")
			_ = l.renew(late, now)
		}
		assert.Assert(t, l.effectiveState() != Ready || l.announcement.StartedUnixMs > leaving.StartedUnixMs, "an instance that left takes work")
		next := start(60_000)
		next.Sequence = 1
		assert.NilError(t, l.renew(next, now))
		assert.Equal(t, l.effectiveState(), Ready, "a later start is served at once")
	})
}

// TestDepartureOfEarlierStartInDoubtIsNotAcknowledged checks that the departure of a start
// before the one that takes work neither closes the gate nor is acknowledged: it may come
// late, or the clock of the target was set back.
func TestDepartureOfEarlierStartInDoubtIsNotAcknowledged(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	later := Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready", Instance: "i-1", StartedUnixMs: 2_000, Sequence: 1}
	earlier := later
	earlier.StartedUnixMs, earlier.Sequence, earlier.State = 1_000, 40, "draining"
	var l lease
	assert.NilError(t, l.renew(later, now))
	assert.ErrorIs(t, l.renew(earlier, now), ErrLaterStartServed)
	assert.Equal(t, l.effectiveState(), Ready)
	// With the gate closed the promise is kept.
	l.withdraw(now)
	assert.ErrorIs(t, l.renew(earlier, now), ErrStaleAnnouncement)
}

// TestStartWithEarlierClockIsServedInTheEnd sets the clock of a target back between two
// starts. Guards against: the later one got no work, since its announcements counted as late.
func TestStartWithEarlierClockIsServedInTheEnd(t *testing.T) {
	const interval, span = 1500 * time.Millisecond, 10 * time.Second
	for name, departed := range map[string]bool{"the one before crashed": false, "the one before left": true} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			before := Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready", Instance: "i-1", StartedUnixMs: 900_000, Sequence: 7}
			after := before
			after.StartedUnixMs, after.Sequence = 898_000, 0
			l := lease{configuredDuration: span}
			assert.NilError(t, l.renew(before, now))
			if departed {
				l.recordDeparture(before.instanceID(), now)
				l.closeIfDeparted()
			}
			for passed := time.Duration(0); passed < span+2*interval; passed += maintenanceInterval {
				l.expire(now.Add(passed))
				if passed%interval == 0 {
					after.Sequence++
					_ = l.renew(after, now.Add(passed))
				}
				assert.Assert(t, passed >= span || l.effectiveState() != Ready || l.announcement == before)
			}
			assert.Equal(t, l.effectiveState(), Ready)
			assert.Equal(t, l.announcement, after)
		})
	}
}

// TestResponseThatLeavesCoversUnannouncedStart has a response say that its instance leaves
// before the start that gave it has announced itself.
func TestResponseThatLeavesCoversUnannouncedStart(t *testing.T) {
	now := time.Now()
	announced := Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: "ready", Instance: "i-1", StartedUnixMs: now.Add(-time.Minute).UnixMilli(), Sequence: 9}
	l := lease{configuredDuration: 10 * time.Second}
	assert.NilError(t, l.renew(announced, now))
	assert.Assert(t, l.leave("i-1", now))
	later := announced
	later.StartedUnixMs, later.Sequence = now.Add(-time.Second).UnixMilli(), 1
	assert.NilError(t, l.renew(later, now.Add(time.Second)))
	assert.Equal(t, l.effectiveState(), Draining)
	next := announced
	next.StartedUnixMs, next.Sequence = now.Add(time.Second).UnixMilli(), 1
	assert.NilError(t, l.renew(next, now.Add(2*time.Second)))
	assert.Equal(t, l.effectiveState(), Ready)
}
