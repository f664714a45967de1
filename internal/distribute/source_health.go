package distribute

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Limits on how long a source that failed is left alone.
const (
	initialFailureBackOff = 200 * time.Millisecond
	maxFailureBackOff     = 30 * time.Second
	// initialStaleBackOff and maxStaleHoldOff bound the hold-off of a source that
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

// healthTracker remembers what happened with each source. It is owned by one task.
type healthTracker struct {
	now func() time.Time
	// maxLogBackOff bounds the hold-off of the log, so that its return is seen
	// soon.
	maxLogBackOff time.Duration
	entries       map[Source]*sourceHealth
}

type sourceHealth struct {
	failedUntil    time.Time
	staleUntil     time.Time
	failureBackOff *backoff.ExponentialBackOff
	staleBackOff   *backoff.ExponentialBackOff
}

func newHealthTracker(now func() time.Time, logHoldOff time.Duration) *healthTracker {
	return &healthTracker{now: now, maxLogBackOff: logHoldOff, entries: make(map[Source]*sourceHealth)}
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

// recordFailure leaves a source alone for a time that doubles with each failure.
func (h *healthTracker) recordFailure(source Source) {
	entry := h.entry(source)
	entry.failedUntil = h.now().Add(entry.failureBackOff.NextBackOff())
}

// recordShed leaves a source alone for at least as long as it asked for.
func (h *healthTracker) recordShed(source Source, retryAfter time.Duration) {
	h.recordFailure(source)
	entry := h.entry(source)
	if until := h.now().Add(retryAfter); until.After(entry.failedUntil) {
		entry.failedUntil = until
	}
}

// recordStaleness prefers other sources for a while when a source is stale.
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

// clearStale forgets which sources were stale, because the log is reached
// again.
func (h *healthTracker) clearStale() {
	for _, entry := range h.entries {
		entry.staleUntil = time.Time{}
		entry.staleBackOff.Reset()
	}
}

// recordSuccess forgets the failures of a source.
func (h *healthTracker) recordSuccess(source Source) {
	entry := h.entry(source)
	entry.failedUntil = time.Time{}
	entry.failureBackOff.Reset()
}

// retainOnly drops what is known of sources that are not in a list.
func (h *healthTracker) retainOnly(keep []Source) {
	kept := make(map[Source]*sourceHealth, len(keep))
	for _, source := range keep {
		if entry, ok := h.entries[source]; ok {
			kept[source] = entry
		}
	}
	h.entries = kept
}

// choose returns the first source that neither failed nor is stale, else the
// first one that did not fail. It returns false and the time to wait when all
// have failed.
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
