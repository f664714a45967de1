package distribute

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Limits on how long a source that failed is left alone.
const (
	firstHoldOff = 200 * time.Millisecond
	maxHoldOff   = 30 * time.Second
	// staleHoldOff and maxStaleHoldOff bound the hold-off of a source that
	// answers but is cut off from the log.
	staleHoldOff    = 10 * time.Second
	maxStaleHoldOff = 5 * time.Minute
)

// staleLimit returns how old the state of a daemon may be before it tries
// another source.
func (t Timing) staleLimit(reader bool) time.Duration {
	if reader {
		return t.ReaderStale
	}
	return t.FollowerStale
}

// health remembers what happened with each source. It is owned by one task.
type health struct {
	now func() time.Time
	// logHoldOff bounds the hold-off of the log, so that its return is seen
	// soon.
	logHoldOff time.Duration
	entries    map[Source]*sourceHealth
}

type sourceHealth struct {
	failedUntil time.Time
	staleUntil  time.Time
	failures    *backoff.ExponentialBackOff
	stales      *backoff.ExponentialBackOff
}

func newHealth(now func() time.Time, logHoldOff time.Duration) *health {
	return &health{now: now, logHoldOff: logHoldOff, entries: make(map[Source]*sourceHealth)}
}

func (h *health) entry(source Source) *sourceHealth {
	entry, ok := h.entries[source]
	if !ok {
		limit := maxHoldOff
		if source.Log {
			limit = h.logHoldOff
		}
		entry = &sourceHealth{
			failures: newBackOff(firstHoldOff, limit),
			stales:   newBackOff(staleHoldOff, maxStaleHoldOff),
		}
		h.entries[source] = entry
	}
	return entry
}

// failed leaves a source alone for a time that doubles with each failure.
func (h *health) failed(source Source) {
	entry := h.entry(source)
	entry.failedUntil = h.now().Add(entry.failures.NextBackOff())
}

// shed leaves a source alone for at least as long as it asked for.
func (h *health) shed(source Source, retryAfter time.Duration) {
	h.failed(source)
	entry := h.entry(source)
	if until := h.now().Add(retryAfter); until.After(entry.failedUntil) {
		entry.failedUntil = until
	}
}

// observe prefers other sources for a while when a source is stale.
func (h *health) observe(source Source, stale bool) {
	entry := h.entry(source)
	switch {
	case !stale:
		entry.staleUntil = time.Time{}
		entry.stales.Reset()
	case !entry.staleUntil.After(h.now()):
		entry.staleUntil = h.now().Add(entry.stales.NextBackOff())
	}
}

// clearStale forgets which sources were stale, because the log is reached
// again.
func (h *health) clearStale() {
	for _, entry := range h.entries {
		entry.staleUntil = time.Time{}
		entry.stales.Reset()
	}
}

// worked forgets the failures of a source.
func (h *health) worked(source Source) {
	entry := h.entry(source)
	entry.failedUntil = time.Time{}
	entry.failures.Reset()
}

// forget drops what is known of sources that are not in a list.
func (h *health) forget(keep []Source) {
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
func (h *health) choose(sources []Source) (Source, time.Duration, bool) {
	now := h.now()
	var usable *Source
	wait := maxHoldOff
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
