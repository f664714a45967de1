package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// announcementLease is how long an announcement holds without renewal.
	defaultLeaseDuration = 3 * time.Second
	// standstill is a time between two checks of a lease that is too long for
	// a daemon that runs.
	pauseThreshold = 2 * maintenanceInterval
	// withdrawalTime is how long a withdrawn target is shown as draining.
	withdrawalDrainTime = 3 * time.Second
)

// ErrAnnouncementRefused is wrapped by every refusal of an announcement.
var ErrAnnouncementRefused = errors.New("announcement refused")

// targetStates are the states that a target may announce.
var announceableStates = map[string]TargetState{
	"cold":     Cold,
	"ready":    Ready,
	"draining": Draining,
}

// ErrStaleAnnouncement is wrapped by the refusal of an announcement that a later one or the
// target's departure has overtaken.
var ErrStaleAnnouncement = errors.New("announcement came late")

// maxDepartures bounds the starts of targets that are remembered as departed.
const maxDepartedInstances = 64

// start names one start of a target.
type instanceID struct {
	instance      string
	startedUnixMs int64
}

// departure is a start that said that it leaves. Where it did not say when it
// started, at is when it left.
type departedInstance struct {
	instanceID
	leftAt time.Time
}

// clockTolerance is how far the clocks of a daemon and its target may differ.
const clockTolerance = 5 * time.Second

// covers reports whether a start is the one that left. A start that came after
// the departure, by the target's clock, is another one.
func (d departedInstance) matches(s instanceID) bool {
	if d.instance != s.instance {
		return false
	}
	if d.startedUnixMs > 0 || s.startedUnixMs == 0 {
		return d.startedUnixMs == s.startedUnixMs
	}
	return !time.UnixMilli(s.startedUnixMs).After(d.leftAt.Add(-clockTolerance))
}

func (a Announcement) instanceID() instanceID {
	return instanceID{instance: a.Instance, startedUnixMs: a.StartedUnixMs}
}

// lease is the state of the target on this host.
type lease struct {
	// length is how long an announcement holds without renewal, 0 for
	// announcementLease.
	configuredDuration time.Duration
	announcement       Announcement
	// last is the newest announcement, kept when the lease has ended.
	lastAnnouncement Announcement
	state            TargetState
	renewedAt        time.Time
	// withdrawn is when the target withdrew or its announcement lapsed.
	withdrawnAt time.Time
	// departed holds the starts that said that they leave, oldest first. They
	// do not become ready again.
	departedInstances []departedInstance
	// checked is when the lease was last moved on with time.
	lastChecked time.Time
	// drained is set by the operator or by a stop of the daemon.
	drained bool
}

// check returns the target state of an announcement.
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
	return state, nil
}

// renew takes an announcement. The error wraps ErrAnnouncement.
func (l *lease) renew(a Announcement, now time.Time) error {
	state, err := validateAnnouncement(a)
	if err != nil {
		return err
	}
	if l.isStale(a) {
		return fmt.Errorf("%w: %w: start %q sequence %d", ErrAnnouncementRefused, ErrStaleAnnouncement, a.Instance, a.Sequence)
	}
	if state == Draining {
		l.recordDeparture(a.instanceID(), now)
	}
	if l.hasDeparted(a.instanceID()) {
		state = Draining
	}
	l.announcement = a
	l.lastAnnouncement = a
	l.state = state
	l.renewedAt = now
	l.withdrawnAt = time.Time{}
	return nil
}

// overtaken reports whether an announcement is older than what is known: an
// earlier one of the same start, or one of an earlier start. Order of arrival
// says nothing.
func (l *lease) isStale(a Announcement) bool {
	if a.instanceID() == l.lastAnnouncement.instanceID() {
		return a.Sequence > 0 && a.Sequence <= l.lastAnnouncement.Sequence
	}
	return a.StartedUnixMs > 0 && a.StartedUnixMs < l.lastAnnouncement.StartedUnixMs
}

// depart remembers a start that leaves. One without a name may come back.
func (l *lease) recordDeparture(leaving instanceID, now time.Time) {
	if leaving.instance == "" || l.hasDeparted(leaving) {
		return
	}
	l.departedInstances = append(l.departedInstances, departedInstance{instanceID: leaving, leftAt: now})
	l.departedInstances = l.departedInstances[max(0, len(l.departedInstances)-maxDepartedInstances):]
}

// hasDeparted reports whether a start said that it leaves.
func (l *lease) hasDeparted(s instanceID) bool {
	return slices.ContainsFunc(l.departedInstances, func(d departedInstance) bool { return d.matches(s) })
}

// withdraw takes the target out and reports whether it was in.
func (l *lease) withdraw(now time.Time) bool {
	if l.state == NoTarget || !l.withdrawnAt.IsZero() {
		return false
	}
	l.withdrawnAt = now
	return true
}

// holds returns how long an announcement holds without renewal.
func (l *lease) duration() time.Duration {
	if l.configuredDuration > 0 {
		return l.configuredDuration
	}
	return defaultLeaseDuration
}

// expire moves the lease on with time and reports whether it lapsed just now.
// A daemon that stood still could not hear the target, so that time does not
// count.
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

// current is the target state that the daemon tells others.
func (l *lease) effectiveState() TargetState {
	if l.state == NoTarget {
		return NoTarget
	}
	if l.drained || !l.withdrawnAt.IsZero() {
		return Draining
	}
	return l.state
}
