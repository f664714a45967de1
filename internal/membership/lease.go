package membership

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// defaultLeaseDuration is how long an announcement holds without renewal.
	defaultLeaseDuration = 3 * time.Second
	// pauseThreshold is the time between two checks of a lease above which this
	// daemon is taken to have been paused.
	pauseThreshold = 2 * maintenanceInterval
	// withdrawalDrainTime is how long a withdrawn target is shown as draining.
	withdrawalDrainTime = 3 * time.Second
)

// ErrAnnouncementRefused is wrapped by every error about an announcement.
var ErrAnnouncementRefused = errors.New("announcement refused")

// announceableStates are the states that a target may announce, by name.
var announceableStates = map[string]TargetState{
	"cold":     Cold,
	"ready":    Ready,
	"draining": Draining,
}

// ErrStaleAnnouncement is wrapped by the error for an announcement that was
// superseded by a later one.
var ErrStaleAnnouncement = errors.New("announcement is out of date")

// ErrLaterStartServed is wrapped by the error for the departure of an earlier start of an
// instance than the one that takes work. Whether it comes late or the target's clock was set
// back can't be told, so it is not acknowledged.
var ErrLaterStartServed = errors.New("a later start of the instance takes work")

func (a Announcement) instanceID() instanceID {
	return instanceID{instance: a.Instance, startedUnixMs: a.StartedUnixMs}
}

// lease is the state of the target on this host.
type lease struct {
	// configuredDuration is how long an announcement holds without renewal, 0
	// for defaultLeaseDuration.
	configuredDuration time.Duration
	announcement       Announcement
	// lastAnnouncement is the newest announcement, kept after the lease has ended.
	lastAnnouncement Announcement
	state            TargetState
	renewedAt        time.Time
	// withdrawnAt is when the target withdrew or its announcement expired, zero
	// if neither happened.
	withdrawnAt time.Time
	// history holds what also binds a later process beside this target.
	history targetHistory
	// persistent is the start that last announced itself although a later one was known.
	persistent persistentStart
	// recovering is set until this daemon knows what its predecessor on this host
	// acknowledged. Until then the target takes no work, unless it started after
	// processStarted, when no predecessor can have heard of it.
	recovering     bool
	processStarted time.Time
	// lastChecked is when expire was last called.
	lastChecked time.Time
	// stopping is set when the daemon shuts down.
	stopping bool
}

// validateAnnouncement checks an announcement and returns its target state.
func validateAnnouncement(a Announcement) (TargetState, error) {
	state, ok := announceableStates[a.State]
	if !ok {
		return NoTarget, fmt.Errorf("%w: state %q is not cold, ready or draining", ErrAnnouncementRefused, a.State)
	}
	workspace, name, found := strings.Cut(a.Service, "/")
	if !found || workspace == "" || name == "" {
		return NoTarget, fmt.Errorf("%w: service %q is not workspace/service", ErrAnnouncementRefused, a.Service)
	}
	if a.Address == "" {
		return NoTarget, fmt.Errorf("%w: no address", ErrAnnouncementRefused)
	}
	if a.Slots < 1 {
		return NoTarget, fmt.Errorf("%w: %d slots", ErrAnnouncementRefused, a.Slots)
	}
	if err := validateInstance(a.Instance); err != nil {
		return NoTarget, err
	}
	return state, nil
}

// renew applies an announcement. The error wraps ErrAnnouncementRefused. A departure is
// remembered whatever the order of arrival.
func (l *lease) renew(a Announcement, now time.Time) error {
	state, err := validateAnnouncement(a)
	if err != nil {
		return err
	}
	if state == Draining && !l.lacksKnownStart(a) {
		l.recordDeparture(a.instanceID(), now)
		l.closeIfDeparted()
	}
	if l.isSuperseded(a) && !l.supersedes(a, now) {
		if state == Draining && l.servesLaterStart(a.instanceID()) {
			return fmt.Errorf("%w: instance %q started at %d", ErrLaterStartServed, a.Instance, a.StartedUnixMs)
		}
		return fmt.Errorf("%w: %w: instance %q sequence %d", ErrAnnouncementRefused, ErrStaleAnnouncement, a.Instance, a.Sequence)
	}
	if l.departed(a, now) {
		state = Draining
	}
	l.announcement = a
	l.lastAnnouncement = a
	l.state = state
	l.renewedAt = now
	l.withdrawnAt = time.Time{}
	return nil
}

// isSuperseded reports whether an announcement was superseded: by a later one of
// the same instance, or by one of a later instance. The order of arrival does
// not count.
func (l *lease) isSuperseded(a Announcement) bool {
	last := l.lastAnnouncement
	if a.instanceID() == last.instanceID() {
		return a.Sequence > 0 && a.Sequence <= last.Sequence
	}
	if a.StartedUnixMs == 0 {
		return l.lacksKnownStart(a)
	}
	return a.StartedUnixMs < last.StartedUnixMs
}

// lacksKnownStart reports whether an announcement bears the name of the last instance without
// its known start, so that it comes from somebody else.
func (l *lease) lacksKnownStart(a Announcement) bool {
	last := l.lastAnnouncement
	return a.StartedUnixMs == 0 && a.Instance == last.Instance && last.StartedUnixMs > 0
}

// supersedes reports whether an announcement of an earlier start takes the place of the
// later one, since the clock of the target was set back between them: the earlier one has
// gone on announcing itself while nothing was heard of the later one.
func (l *lease) supersedes(a Announcement, now time.Time) bool {
	if a.instanceID() == l.lastAnnouncement.instanceID() || a.StartedUnixMs == 0 {
		return false
	}
	if l.renewedAt.After(l.persistent.since) {
		l.persistent = persistentStart{}
	}
	return l.persistent.persists(a, now, l.duration())
}

// departed reports whether the instance of an announcement has left, and remembers that for
// longer. An earlier start of an instance that left has ended too, unless it goes on
// announcing itself.
func (l *lease) departed(a Announcement, now time.Time) bool {
	switch l.history.departures.match(a.instanceID()) {
	case sameStart:
		l.recordDeparture(a.instanceID(), now)
		return true
	case earlierStart:
		return !l.persistent.persists(a, now, l.duration())
	default:
		return false
	}
}

// closeIfDeparted sets the announced instance to draining if it has left.
func (l *lease) closeIfDeparted() {
	if l.state == NoTarget {
		return
	}
	id := l.announcement.instanceID()
	known := l.history.departures.match(id)
	if known == sameStart || known == earlierStart && l.persistent.id != id {
		l.state = Draining
	}
}

// servesLaterStart reports whether a later start of an instance takes work. Whether it or the
// given one runs can't be told then.
func (l *lease) servesLaterStart(id instanceID) bool {
	serves := (l.state == Ready || l.state == Cold) && l.withdrawnAt.IsZero()
	return serves && l.announcement.Instance == id.instance && l.announcement.StartedUnixMs > id.startedUnixMs
}

// persistentStart is a start of an instance that goes on announcing itself although a later
// one is known. Late announcements arrive for seconds only.
type persistentStart struct {
	id           instanceID
	since, heard time.Time
	sequence     uint64
}

// persists notes an announcement and reports whether its start has announced itself for some
// time, without a pause as long as that.
func (p *persistentStart) persists(a Announcement, now time.Time, span time.Duration) bool {
	if p.id != a.instanceID() || now.Sub(p.heard) >= span {
		*p = persistentStart{id: a.instanceID(), since: now, heard: now, sequence: a.Sequence}
		return false
	}
	if a.Sequence > p.sequence {
		p.sequence, p.heard = a.Sequence, now
	}
	return p.heard.Sub(p.since) >= span
}

// recordDeparture remembers an instance as departed. An instance without a
// name is not remembered and may become ready again. An instance that still announces
// itself is recorded anew before its departure expires.
func (l *lease) recordDeparture(leaving instanceID, now time.Time) {
	if leaving.instance == "" || l.history.departures.holdsRecent(leaving, now) {
		return
	}
	left := departedInstance{instanceID: leaving, leftUnixMs: now.UnixMilli()}
	l.history.departures = l.history.departures.merge(departures{left}, now)
}

// setOperatorDrain records an operator's request. Its revision is above those of a
// predecessor that this daemon has not heard of yet, unless the clock was set back.
func (l *lease) setOperatorDrain(drained bool, now time.Time) {
	l.history.drain = operatorDrain{revision: max(l.history.drain.revision+1, uint64(now.UnixMilli())), drained: drained}
}

// learnHistory adds what others remember of this target. It reports whether any of it
// was news.
func (l *lease) learnHistory(learnt targetHistory, now time.Time) bool {
	merged := l.history.merge(learnt, now)
	if merged.equal(l.history) {
		return false
	}
	l.history = merged
	l.closeIfDeparted()
	return true
}

// pruneHistory drops what has expired.
func (l *lease) pruneHistory(now time.Time) {
	l.history = l.history.merge(targetHistory{}, now)
}

// leave records that an instance leaves, as its response says. It reports whether that is
// news of the announced one. The response does not say which start gave it: one that has not
// announced itself yet may have, so all starts until now have left.
func (l *lease) leave(instance string, now time.Time) bool {
	if l.state == NoTarget || l.state == Draining || l.announcement.Instance != instance {
		return false
	}
	l.recordDeparture(l.announcement.instanceID(), now)
	l.recordDeparture(instanceID{instance: instance, startedUnixMs: max(l.announcement.StartedUnixMs, now.UnixMilli())}, now)
	l.state = Draining
	return true
}

// withdraw ends the lease and reports whether it was held.
func (l *lease) withdraw(now time.Time) bool {
	if l.state == NoTarget || !l.withdrawnAt.IsZero() {
		return false
	}
	l.withdrawnAt = now
	return true
}

// duration returns how long an announcement holds without renewal.
func (l *lease) duration() time.Duration {
	if l.configuredDuration > 0 {
		return l.configuredDuration
	}
	return defaultLeaseDuration
}

// expire applies the passing of time and reports whether the lease has just
// expired. Time in which this daemon was paused does not count, since it could
// not receive a renewal.
func (l *lease) expire(now time.Time) (expired bool) {
	if paused := now.Sub(l.lastChecked); paused > pauseThreshold && l.lastChecked.After(l.renewedAt) {
		l.renewedAt = l.renewedAt.Add(paused)
	}
	l.lastChecked = now
	if l.state == NoTarget {
		return false
	}
	if l.withdrawnAt.IsZero() && now.Sub(l.renewedAt) >= l.duration() {
		l.withdrawnAt = now
		expired = true
	}
	if !l.withdrawnAt.IsZero() && now.Sub(l.withdrawnAt) >= withdrawalDrainTime {
		l.state = NoTarget
		l.announcement = Announcement{}
	}
	return expired
}

// startedAfterProcess reports whether the announced instance started after this process.
func (l *lease) startedAfterProcess() bool {
	return time.UnixMilli(l.announcement.StartedUnixMs).After(l.processStarted)
}

// effectiveState returns the target state to publish.
func (l *lease) effectiveState() TargetState {
	if l.state == NoTarget || l.recovering && !l.startedAfterProcess() {
		return NoTarget
	}
	if l.stopping || l.history.drain.drained || !l.withdrawnAt.IsZero() {
		return Draining
	}
	return l.state
}
