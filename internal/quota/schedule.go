package quota

import (
	"maps"
	"time"
)

// Due returns when the next report to a home is due; ok is false if there is nothing to
// report.
func (l *Limiter) Due(host string) (due time.Time, ok bool) {
	h := l.homes[host]
	if h == nil || !h.connected || len(h.dirty) == 0 {
		return time.Time{}, false
	}
	due = h.lastFull.Add(l.calm())
	if !h.busyAt.IsZero() {
		due = earlier(due, h.busyDue())
	}
	if !h.urgentAt.IsZero() {
		due = earlier(due, h.urgentAt.Add(urgentDelay))
	}
	return due, true
}

// busyDue returns when watched and limited workspaces are reported next. The times are
// multiples of busyInterval after the last report, whenever requests arrive: a report
// right after each of a few requests would overstate the demand.
func (h *homeLink) busyDue() time.Time {
	since := max(h.busyAt.Sub(h.lastSent), 1)
	return h.lastSent.Add((since + busyInterval - 1) / busyInterval * busyInterval)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Collect returns the report to a home that is due, and records that it was sent.
func (l *Limiter) Collect(host string, now time.Time) []Usage {
	h := l.homes[host]
	if h == nil || !h.connected {
		return nil
	}
	full := !now.Before(h.lastFull.Add(l.calm()))
	busy := full || !h.busyAt.IsZero() && !now.Before(h.busyDue())
	var usages []Usage
	keepBusy := false
	for name, a := range h.dirty {
		a.count(now)
		watched := a.answered && a.grant.Mode != Free
		if !full && a.answered && a.samples == 0 && !a.surging && (!watched || !busy) {
			keepBusy = keepBusy || watched
			continue
		}
		usage := Usage{
			Workspace: name, Admitted: a.reportable(l.reportedSlots(), now), Samples: a.samples, Blind: a.blind, Demand: a.demand,
		}
		if !a.answered {
			usage.Limit = a.limit
		}
		usages = append(usages, usage)
		a.reports.sent(a.pending - usage.Admitted)
		a.pending, a.samples, a.blind = 0, 0, false
		if watched && a.demand >= endedDemand {
			// The home takes silence for a cut link, so the end of demand is reported.
			keepBusy = true
			continue
		}
		delete(h.dirty, name)
	}
	h.urgentAt = time.Time{}
	if !keepBusy {
		h.busyAt = time.Time{}
	} else if busy || h.busyAt.IsZero() {
		h.busyAt = now
	}
	if len(usages) > 0 {
		h.lastSent = now
		h.sent = append(h.sent, now)
	}
	if full {
		h.lastFull = now
		l.Sweep(now)
	}
	return usages
}

// reportedSlots returns how many slots of recent requests a report counts of a free
// workspace. Where reports are rarer than reportedTime, the bucket is full in calm, and
// only the slots in which a surge is detected count.
func (l *Limiter) reportedSlots() int64 {
	if l.calm() > reportedTime {
		return surgeSlots
	}
	return recentSlots
}

// reportable returns the part of the pending requests that counts.
func (a *account) reportable(slots int64, now time.Time) int {
	recent := a.recent.take(slots, now)
	if a.answered && a.grant.Mode != Free && !a.flush {
		return a.pending
	}
	a.flush = false
	return min(a.pending, recent)
}

// Connected records that a link to a home was made.
func (l *Limiter) Connected(host string, now time.Time) {
	h := l.link(host)
	h.connected = true
	h.sent, h.answered = nil, 0
	h.lastSent, h.lastFull, h.busyAt = now, now.Add(-l.calm()), time.Time{}
	maps.DeleteFunc(l.watched, func(_ string, w homeGrant) bool { return w.home == host })
	for name, a := range l.accounts {
		if a.home == host {
			a.answered = false
			a.reports.homeChanged()
			if now.Sub(a.lastUse) < idleAccount {
				h.dirty[name] = a
			}
		}
	}
}

// Silence returns the age of the oldest report to a home without an answer.
func (l *Limiter) Silence(host string, now time.Time) time.Duration { return l.link(host).silence(now) }

// Disconnected records that a link to a home was lost, and returns whether there was one.
func (l *Limiter) Disconnected(host string, now time.Time) (lost bool) {
	h := l.link(host)
	lost = h.connected
	if lost {
		h.lostAt = now
	}
	h.connected, h.sent, h.urgentAt, h.busyAt = false, nil, time.Time{}, time.Time{}
	return lost
}

// SilentAt returns when a home that does not answer is lost; ok is false if no answer is
// outstanding.
func (l *Limiter) SilentAt(host string) (at time.Time, ok bool) {
	h := l.homes[host]
	if h == nil || len(h.sent) == 0 {
		return time.Time{}, false
	}
	return h.sent[0].Add(lostAfter), true
}

// Silent reports whether a home has not answered for lostAfter.
func (l *Limiter) Silent(host string, now time.Time) bool {
	h := l.homes[host]
	return h != nil && h.silence(now) >= lostAfter
}

// Answered takes an answer of a home. acknowledged is how many reports of this link it
// has processed.
func (l *Limiter) Answered(host string, acknowledged uint64, grants []Grant, now time.Time) {
	h := l.homes[host]
	if h == nil || !h.connected {
		return
	}
	for h.answered < acknowledged && len(h.sent) > 0 {
		h.sent = h.sent[1:]
		h.answered++
	}
	for _, g := range grants {
		if g.Mode == Free {
			delete(l.watched, g.Workspace)
		} else {
			l.watched[g.Workspace] = homeGrant{host, g}
		}
		a := l.accounts[g.Workspace]
		if a == nil || a.home != host {
			continue
		}
		if g.Mode != Free && (!a.answered || a.grant.Mode == Free) {
			// The home needs the counts of all daemons as soon as it watches a workspace.
			h.dirty[a.name] = a
			if h.busyAt.IsZero() {
				h.busyAt = now
			}
			a.flush = a.answered
		}
		a.answered, a.homed, a.grant = true, true, g
	}
	if h.answered > 0 {
		h.lostAt = time.Time{}
	}
}

// SetHosts sets the number of hosts of the mesh and chooses the homes of all accounts
// again.
func (l *Limiter) SetHosts(known int, now time.Time) {
	l.known = max(known, 1)
	for name, a := range l.accounts {
		home := l.homeOf(name)
		if home == a.home {
			continue
		}
		before, h := l.link(a.home), l.link(home)
		delete(before.dirty, name)
		a.home, a.answered = home, false
		a.reports.homeChanged()
		if !h.connected && h.lostAt.IsZero() {
			h.lostAt = now
		}
		if now.Sub(a.lastUse) < idleAccount {
			h.dirty[name] = a
			h.makeUrgent(now)
		}
	}
}

// Len returns the number of accounts.
func (l *Limiter) Len() int { return len(l.accounts) }

// Sweep forgets accounts that are no longer used.
func (l *Limiter) Sweep(now time.Time) {
	if now.Sub(l.swept) < idleAccount {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		if now.Sub(a.lastUse) >= idleAccount && a.pending == 0 {
			delete(l.accounts, name)
			delete(l.link(a.home).dirty, name)
		}
	}
}
