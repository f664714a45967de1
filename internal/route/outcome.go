package route

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

const (
	// outcomeHalfLife is the half-life of the success and failure counts.
	outcomeHalfLife = 5 * time.Second
	// ejectFailures is the minimum failure count for an ejection.
	ejectFailures = 3
	// ejectFailureRate is the minimum fraction of failures for an ejection.
	ejectFailureRate = 0.5
	// baseEjection is the duration of the first ejection. It doubles with each.
	baseEjection = 2 * time.Second
	maxEjection  = 30 * time.Second
	// maxEjectedFraction bounds the fraction of a service's targets that may be
	// ejected. Beyond it the failures are not taken as evidence against single
	// targets, and ejection is suspended.
	maxEjectedFraction = 0.5
	// leavingTTL is how long a host that refused work because it is leaving is
	// avoided while the directory still has the state it had then.
	leavingTTL = 2 * time.Second
	// baseFullBackoff is how long calls of the same priority avoid a host that
	// refused a call as full. It doubles up to maxFullBackoff with each refusal.
	baseFullBackoff = 100 * time.Millisecond
	maxFullBackoff  = 800 * time.Millisecond
	// hostIdleTimeout is after how long without calls the stats of a host are evicted.
	hostIdleTimeout = 5 * time.Minute
)

// Outcome classifies how one attempt ended by what it shows about the target.
type Outcome int

// Outcomes of attempts.
const (
	// Neutral means that the attempt shows nothing about the target, for example
	// because the caller disconnected.
	Neutral Outcome = iota
	// Success means that the target completed a response without a server error.
	Success
	// Failure means that the attempt failed at the target or on the way to it.
	Failure
	// Full means that the target refused because no slot would be free in time.
	Full
	// Leaving means that the host accepts no new work, or no longer listens.
	Leaving
)

// Result describes how one attempt ended.
type Result struct {
	Outcome Outcome
	// Priority of the call.
	Priority int
	// Version of the chosen member.
	Version membership.EntryVersion
	// Load as reported by the target's daemon, nil without a report.
	Load *Load
}

// Begin counts an attempt that is about to be sent to a host.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.evictIdleHosts(now)
	stats := r.hosts[name]
	if stats == nil {
		stats = &hostStats{outcomesAt: now, loadAt: now}
		r.hosts[name] = stats
	}
	stats.outstanding++
	stats.usedAt = now
}

// Done records the result of an attempt that Begin counted.
func (r *Router) Done(name string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.hosts[name]
	if stats == nil {
		return
	}
	now := r.now()
	t := r.targets[name]
	if result.Load != nil {
		r.recordReport(t, stats, result, now)
	}
	stats.outstanding = max(stats.outstanding-1, 0)
	stats.recordFull(result, now)
	if result.Outcome == Leaving {
		stats.leavingUntil = now.Add(leavingTTL)
		stats.leavingVersion = result.Version
	}
	if stats.recordOutcome(result.Outcome, now) {
		r.counters.ejections.Inc()
	}
	for ; t != nil; t = t.next {
		t.index.classify(t, now)
	}
}

// recordReport records what a host reported with a response. The target is the first
// of the host, nil if no index holds it.
func (r *Router) recordReport(t *target, stats *hostStats, result Result, now time.Time) {
	load := result.Load
	stats.recordLoad(*load, now)
	stats.reportedFailures = failureReport{rate: load.FailureRate, at: now}
	previous, found := stats.serviceTimes[result.Priority]
	recorded := stats.recordServiceTime(result.Priority, load.ServiceTime, now)
	for ; t != nil; t = t.next {
		if recorded && t.tier == healthy {
			t.index.replaceRate(result.Priority, previous.mean, found, load.ServiceTime)
		}
		t.index.failuresKnown = t.index.failuresKnown || load.FailureRate > 0
	}
}

// recordOutcome counts one outcome and ejects the host when most of its recent
// attempts failed. It reports whether the host was ejected.
func (h *hostStats) recordOutcome(outcome Outcome, now time.Time) bool {
	factor := decay(now.Sub(h.outcomesAt), outcomeHalfLife)
	h.outcomesAt = now
	h.successCount *= factor
	h.failureCount *= factor
	switch outcome {
	case Success:
		h.successCount++
		h.resetEjections(now)
	case Failure:
		h.failureCount++
		return h.eject(now)
	}
	return false
}

// leaving reports whether the host refused work because it is leaving and the
// directory has had no newer state of it since.
func (h *hostStats) leaving(member *membership.Member, now time.Time) bool {
	return now.Before(h.leavingUntil) && !member.Version.After(h.leavingVersion)
}

// resetEjections resets the ejection backoff once a host succeeds after an ejection.
func (h *hostStats) resetEjections(now time.Time) {
	if h.ejections > 0 && now.After(h.ejectedUntil) && h.failureCount < 1 {
		h.ejections = 0
	}
}

func (h *hostStats) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) || h.failureCount < ejectFailures-ejectTolerance {
		return false
	}
	if h.failureCount/(h.failureCount+h.successCount) < ejectFailureRate {
		return false
	}
	duration := min(baseEjection<<min(h.ejections, 4), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(duration)
	return true
}

// ejectTolerance compensates for the decay of failures in quick succession,
// whose count would otherwise stay just below ejectFailures.
const ejectTolerance = 0.5

// evictIdleHosts drops hosts and services without calls for hostIdleTimeout.
func (r *Router) evictIdleHosts(now time.Time) {
	if now.Sub(r.evictedAt) < hostIdleTimeout {
		return
	}
	r.evictedAt = now
	for name, ix := range r.services {
		if now.Sub(ix.usedAt) > hostIdleTimeout {
			ix.sync(nil, now)
			delete(r.services, name)
		}
	}
	for key, ix := range r.versions {
		if now.Sub(ix.usedAt) > hostIdleTimeout {
			ix.sync(nil, now)
			delete(r.versions, key)
		}
	}
	for name, stats := range r.hosts {
		if stats.outstanding == 0 && now.Sub(stats.usedAt) > hostIdleTimeout {
			r.evict(name, now)
		}
	}
}

func (r *Router) evict(name string, now time.Time) {
	first := r.targets[name]
	for t := first; t != nil; t = t.next {
		t.index.setTier(t, closed)
	}
	delete(r.hosts, name)
	for t := first; t != nil; t = t.next {
		t.index.classify(t, now)
	}
}

// nextExpiry returns when what is known of a host next expires, zero if nothing does.
func (h *hostStats) nextExpiry(now time.Time) (next time.Time) {
	if h == nil {
		return next
	}
	for _, until := range []time.Time{h.leavingUntil, h.ejectedUntil, h.fullUntil} {
		if until.After(now) && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	return next
}

// recordFull records a refusal as full, and resets the backoff when a call of
// the refused priority or a less urgent one succeeds.
func (h *hostStats) recordFull(result Result, now time.Time) {
	if result.Outcome == Full {
		h.refusedAt = now
	}
	switch {
	case result.Outcome == Full && now.Before(h.fullUntil):
		h.fullPriority = min(h.fullPriority, result.Priority)
	case result.Outcome == Full:
		duration := min(baseFullBackoff<<min(h.fullCount, 8), maxFullBackoff)
		h.fullCount++
		h.fullPriority = result.Priority
		h.fullUntil = now.Add(duration)
	case result.Outcome == Success && result.Priority >= h.fullPriority:
		h.fullCount = 0
	}
}

// full reports whether the host has recently refused a call of this priority,
// or of a more urgent one, as full.
func (h *hostStats) full(priority int, now time.Time) bool {
	return now.Before(h.fullUntil) && priority >= h.fullPriority
}
