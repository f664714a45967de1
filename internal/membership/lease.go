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
	announcementLease = 3 * time.Second
	// standstill is a time between two checks of a lease that is too long for
	// a daemon that runs.
	standstill = 2 * maintenanceInterval
	// withdrawalTime is how long a withdrawn target is shown as draining.
	withdrawalTime = 3 * time.Second
)

// ErrAnnouncementRefused is wrapped by every refusal of an announcement.
var ErrAnnouncementRefused = errors.New("announcement refused")

// targetStates are the states that a target may announce.
var targetStates = map[string]TargetState{
	"cold":     Cold,
	"ready":    Ready,
	"draining": Draining,
}

// ErrStaleAnnouncement is wrapped by the refusal of an announcement that a later one or the
// target's departure has overtaken.
var ErrStaleAnnouncement = errors.New("announcement came late")

// maxDepartures bounds the starts of targets that are remembered as departed.
const maxDepartures = 64

// start names one start of a target.
type start struct {
	instance string
	started  int64
}

// departure is a start that said that it leaves. Where it did not say when it
// started, at is when it left.
type departure struct {
	start
	at time.Time
}

// clockTolerance is how far the clocks of a daemon and its target may differ.
const clockTolerance = 5 * time.Second

// covers reports whether a start is the one that left. A start that came after
// the departure, by the target's clock, is another one.
func (d departure) covers(s start) bool {
	if d.instance != s.instance {
		return false
	}
	if d.started > 0 || s.started == 0 {
		return d.started == s.started
	}
	return !time.UnixMilli(s.started).After(d.at.Add(-clockTolerance))
}

func (a Announcement) start() start { return start{instance: a.Instance, started: a.StartedUnixMs} }

// lease is the state of the target on this host.
type lease struct {
	// length is how long an announcement holds without renewal, 0 for
	// announcementLease.
	length       time.Duration
	announcement Announcement
	// last is the newest announcement, kept when the lease has ended.
	last    Announcement
	state   TargetState
	renewed time.Time
	// withdrawn is when the target withdrew or its announcement lapsed.
	withdrawn time.Time
	// departed holds the starts that said that they leave, oldest first. They
	// do not become ready again.
	departed []departure
	// checked is when the lease was last moved on with time.
	checked time.Time
	// drained is set by the operator or by a stop of the daemon.
	drained bool
}

// check returns the target state of an announcement.
func check(a Announcement) (TargetState, error) {
	state, ok := targetStates[a.State]
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
	state, err := check(a)
	if err != nil {
		return err
	}
	if l.overtaken(a) {
		return fmt.Errorf("%w: %w: start %q sequence %d", ErrAnnouncementRefused, ErrStaleAnnouncement, a.Instance, a.Sequence)
	}
	if state == Draining {
		l.depart(a.start(), now)
	}
	if l.hasDeparted(a.start()) {
		state = Draining
	}
	l.announcement = a
	l.last = a
	l.state = state
	l.renewed = now
	l.withdrawn = time.Time{}
	return nil
}

// overtaken reports whether an announcement is older than what is known: an
// earlier one of the same start, or one of an earlier start. Order of arrival
// says nothing.
func (l *lease) overtaken(a Announcement) bool {
	if a.start() == l.last.start() {
		return a.Sequence > 0 && a.Sequence <= l.last.Sequence
	}
	return a.StartedUnixMs > 0 && a.StartedUnixMs < l.last.StartedUnixMs
}

// depart remembers a start that leaves. One without a name may come back.
func (l *lease) depart(leaving start, now time.Time) {
	if leaving.instance == "" || l.hasDeparted(leaving) {
		return
	}
	l.departed = append(l.departed, departure{start: leaving, at: now})
	l.departed = l.departed[max(0, len(l.departed)-maxDepartures):]
}

// hasDeparted reports whether a start said that it leaves.
func (l *lease) hasDeparted(s start) bool {
	return slices.ContainsFunc(l.departed, func(d departure) bool { return d.covers(s) })
}

// withdraw takes the target out and reports whether it was in.
func (l *lease) withdraw(now time.Time) bool {
	if l.state == NoTarget || !l.withdrawn.IsZero() {
		return false
	}
	l.withdrawn = now
	return true
}

// holds returns how long an announcement holds without renewal.
func (l *lease) holds() time.Duration {
	if l.length > 0 {
		return l.length
	}
	return announcementLease
}

// expire moves the lease on with time and reports whether it lapsed just now.
// A daemon that stood still could not hear the target, so that time does not
// count.
func (l *lease) expire(now time.Time) (lapsed bool) {
	if still := now.Sub(l.checked); still > standstill && l.checked.After(l.renewed) {
		l.renewed = l.renewed.Add(still)
	}
	l.checked = now
	if l.state == NoTarget {
		return false
	}
	if l.withdrawn.IsZero() && now.Sub(l.renewed) >= l.holds() {
		l.withdrawn = now
		lapsed = true
	}
	if !l.withdrawn.IsZero() && now.Sub(l.withdrawn) >= withdrawalTime {
		l.state = NoTarget
		l.announcement = Announcement{}
	}
	return lapsed
}

// current is the target state that the daemon tells others.
func (l *lease) current() TargetState {
	if l.state == NoTarget {
		return NoTarget
	}
	if l.drained || !l.withdrawn.IsZero() {
		return Draining
	}
	return l.state
}
