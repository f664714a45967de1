package distribute

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the time during which a failed source is not used again.
const (
	initialFailureBackOff = 200 * time.Millisecond
	maxFailureBackOff     = 30 * time.Second
	// initialStaleBackOff and maxStaleBackOff are the bounds for a source that
	// answers but is cut off from the log.
	initialStaleBackOff = 10 * time.Second
	maxStaleBackOff     = 5 * time.Minute
)

// maxStateAge returns how old the state of a daemon may be before it tries
// another source.
func (t Timing) maxStateAge(reader bool) time.Duration {
	if reader {
		return t.ReaderMaxAge
	}
	return t.FollowerMaxAge
}

// healthTracker records failures and staleness of each source. It is not safe
// for concurrent use.
type healthTracker struct {
	now func() time.Time
	// maxLogBackOff limits the back-off of the log, so that its recovery is
	// noticed soon.
	maxLogBackOff time.Duration
	entries       map[Source]*sourceHealth
}

type sourceHealth struct {
	failedUntil    time.Time
	staleUntil     time.Time
	failureBackOff *backoff.ExponentialBackOff
	staleBackOff   *backoff.ExponentialBackOff
}

func newHealthTracker(now func() time.Time, maxLogBackOff time.Duration) *healthTracker {
	return &healthTracker{now: now, maxLogBackOff: maxLogBackOff, entries: make(map[Source]*sourceHealth)}
}

func (h *healthTracker) entry(source Source) *sourceHealth {
	entry, ok := h.entries[source]
	if !ok {
		limit := maxFailureBackOff
		if source.Log {
			limit = h.maxLogBackOff
		}
		entry = &sourceHealth{
			failureBackOff: newBackOff(initialFailureBackOff, limit),
			staleBackOff:   newBackOff(initialStaleBackOff, maxStaleBackOff),
		}
		h.entries[source] = entry
	}
	return entry
}

// recordFailure backs off from a source. The back-off doubles with each
// failure.
func (h *healthTracker) recordFailure(source Source) {
	entry := h.entry(source)
	entry.failedUntil = h.now().Add(entry.failureBackOff.NextBackOff())
}

// recordShed backs off from a source for at least as long as it asked for.
func (h *healthTracker) recordShed(source Source, retryAfter time.Duration) {
	h.recordFailure(source)
	entry := h.entry(source)
	if until := h.now().Add(retryAfter); until.After(entry.failedUntil) {
		entry.failedUntil = until
	}
}

// recordStaleness makes choose prefer other sources for a while if a source is
// stale.
func (h *healthTracker) recordStaleness(source Source, stale bool) {
	entry := h.entry(source)
	switch {
	case !stale:
		entry.staleUntil = time.Time{}
		entry.staleBackOff.Reset()
	case !entry.staleUntil.After(h.now()):
		entry.staleUntil = h.now().Add(entry.staleBackOff.NextBackOff())
	}
}

// clearStale clears the staleness of all sources. It is called when the log is
// reachable again.
func (h *healthTracker) clearStale() {
	for _, entry := range h.entries {
		entry.staleUntil = time.Time{}
		entry.staleBackOff.Reset()
	}
}

// recordSuccess clears the failures of a source.
func (h *healthTracker) recordSuccess(source Source) {
	entry := h.entry(source)
	entry.failedUntil = time.Time{}
	entry.failureBackOff.Reset()
}

// retainOnly drops the entries of sources that are not in a list.
func (h *healthTracker) retainOnly(sources []Source) {
	kept := make(map[Source]*sourceHealth, len(sources))
	for _, source := range sources {
		if entry, ok := h.entries[source]; ok {
			kept[source] = entry
		}
	}
	h.entries = kept
}

// choose returns the first source that is neither in back-off nor stale, else
// the first one that is not in back-off. If all are in back-off, it returns
// false and the time until one may be used again.
func (h *healthTracker) choose(sources []Source) (Source, time.Duration, bool) {
	now := h.now()
	var usable *Source
	wait := maxFailureBackOff
	for i, source := range sources {
		entry := h.entry(source)
		if left := entry.failedUntil.Sub(now); left > 0 {
			wait = min(wait, left)
			continue
		}
		if !entry.staleUntil.After(now) {
			return source, 0, true
		}
		if usable == nil {
			usable = &sources[i]
		}
	}
	if usable != nil {
		return *usable, 0, true
	}
	return Source{}, wait, false
}

// newBackOff returns jittered intervals that double up to a limit.
func newBackOff(first, limit time.Duration) *backoff.ExponentialBackOff {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = first
	intervals.Multiplier = 2
	intervals.MaxInterval = limit
	intervals.Reset()
	return intervals
}
