package route

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

const (
	// evidenceHalfLife is how long it takes until half of an outcome counts.
	evidenceHalfLife = 5 * time.Second
	// ejectFailures is the least weight of failures that ejects.
	ejectFailures = 3
	// ejectShare is the least share of failures that ejects.
	ejectShare = 0.5
	// ejectBase is the length of the first ejection. It doubles.
	ejectBase = 2 * time.Second
	// ejectMax bounds an ejection.
	ejectMax = 30 * time.Second
	// maxEjectedShare is the share of a service's targets that may be ejected.
	// When more look bad the evidence is distrusted.
	maxEjectedShare = 0.5
	// leavingTime is how long a host that refused work as leaving is passed
	// over while the directory still shows what it showed then.
	leavingTime = 2 * time.Second
	// fullTime is how long a host that refused a call as full is passed over by
	// calls of the rank. It doubles up to fullMax while the host goes on refusing.
	fullTime = 100 * time.Millisecond
	fullMax  = 800 * time.Millisecond
	// forgetAfter is when a host without calls is forgotten.
	forgetAfter = 5 * time.Minute
)

// Outcome is what one attempt shows of a target.
type Outcome int

// Verdicts of attempts.
const (
	// Neutral attempts show nothing: the caller went away, or a queue was full.
	Neutral Outcome = iota
	// Success attempts were answered.
	Success
	// Failure attempts failed at the target or on the way to it.
	Failure
	// Full attempts were refused because no slot would be free in time.
	Full
	// Leaving attempts met a host that takes no new work, or no longer listens.
	Leaving
)

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome
	// Priority is the rank of the call.
	Priority int
	// Position is that of the member that was picked.
	Position membership.EntryVersion
	// Load is what the target's daemon reported, nil when it did not.
	Load *Load
}

// Begin counts an attempt that is about to be sent to a host.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.forget(now)
	known := r.hosts[name]
	if known == nil {
		known = &host{counted: now, reported: now}
		r.hosts[name] = known
	}
	known.outstanding++
	known.used = now
}

// Done takes the result of an attempt that Begin counted.
func (r *Router) Done(name string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.hosts[name]
	if known == nil {
		return
	}
	now := r.now()
	if result.Load != nil {
		known.report(*result.Load, now)
		known.reportTook(result.Priority, result.Load.ServiceTime, now)
		known.failing = failingReport{share: result.Load.FailureRate, at: now}
	}
	known.outstanding = max(known.outstanding-1, 0)
	known.noteFull(result, now)
	if result.Outcome == Leaving {
		known.leavingUntil = now.Add(leavingTime)
		known.leavingAt = result.Position
	}
	if known.judge(result.Outcome, now) {
		r.counters.ejections.Inc()
	}
}

// judge adds one verdict and ejects the host when most of its recent attempts
// were bad. It reports whether it ejected.
func (h *host) judge(verdict Outcome, now time.Time) bool {
	fade := decay(now.Sub(h.counted), evidenceHalfLife)
	h.counted = now
	h.successes *= fade
	h.failures *= fade
	switch verdict {
	case Success:
		h.successes++
		h.recover(now)
	case Failure:
		h.failures++
		return h.eject(now)
	}
	return false
}

// leaving reports whether the host refused work as leaving and the directory
// has had no newer word of it since.
func (h *host) leaving(member membership.Member, now time.Time) bool {
	return now.Before(h.leavingUntil) && !member.Version.After(h.leavingAt)
}

// recover forgets past ejections once a host answers after one.
func (h *host) recover(now time.Time) {
	if h.ejections > 0 && now.After(h.ejectedUntil) && h.failures < 1 {
		h.ejections = 0
	}
}

func (h *host) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) || h.failures < ejectFailures-ejectTolerance {
		return false
	}
	if h.failures/(h.failures+h.successes) < ejectShare {
		return false
	}
	length := min(ejectBase<<min(h.ejections, 4), ejectMax)
	h.ejections++
	h.ejectedUntil = now.Add(length)
	return true
}

// ejectTolerance allows for the fading of failures that come in quick
// succession.
const ejectTolerance = 0.5

// withoutEjected drops ejected targets unless more of them are ejected than
// may be, in which case all stay.
func (r *Router) withoutEjected(candidates []candidate) []candidate {
	kept := make([]candidate, 0, len(candidates))
	for _, one := range candidates {
		if !one.ejected {
			kept = append(kept, one)
		}
	}
	ejected := len(candidates) - len(kept)
	if float64(ejected) > maxEjectedShare*float64(len(candidates)) {
		r.counters.distrusted.Inc()
		return candidates
	}
	return kept
}

// forget drops hosts that have had no calls for long.
func (r *Router) forget(now time.Time) {
	if now.Sub(r.cleaned) < forgetAfter {
		return
	}
	r.cleaned = now
	for name, known := range r.hosts {
		if known.outstanding == 0 && now.Sub(known.used) > forgetAfter {
			delete(r.hosts, name)
		}
	}
}

// noteFull keeps a refusal as full, or forgets earlier ones when a call of such
// a rank was taken.
func (h *host) noteFull(result Result, now time.Time) {
	switch {
	case result.Outcome == Full && now.Before(h.fullUntil):
		h.fullRank = min(h.fullRank, result.Priority)
	case result.Outcome == Full:
		length := min(fullTime<<min(h.fulls, 8), fullMax)
		h.fulls++
		h.fullRank = result.Priority
		h.fullUntil = now.Add(length)
	case result.Outcome == Success && result.Priority >= h.fullRank:
		h.fulls = 0
	}
}

// full reports whether the host has just refused a call of a rank, or of a more
// urgent one, as full.
func (h *host) full(priority int, now time.Time) bool {
	return now.Before(h.fullUntil) && priority >= h.fullRank
}
