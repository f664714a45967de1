package distribute

import (
	"slices"
	"sync"
	"time"
)

// Ages of summaries.
const (
	// summaryInterval is the least time between two summaries of one root.
	summaryInterval = time.Second
	// summaryRefresh is how often a summary without change is told again.
	summaryRefresh = 10 * time.Second
	// summaryLimit is the age at which a summary is dropped.
	summaryLimit = 3 * summaryRefresh
)

// RegionSummary is what one reader of the log knows of those that follow it.
type RegionSummary struct {
	// Root is the host of the reader.
	Root string
	// Made is when the reader made the summary, by this daemon's clock.
	Made  time.Time
	Zones []ZoneSummary
}

// regions holds the newest summary of each reader of the log.
type regions struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]regionEntry
	// counter grows with each change.
	counter uint64
}

type regionEntry struct {
	summary RegionSummary
	changed uint64
}

func newRegions(now func() time.Time) *regions {
	return &regions{now: now, entries: make(map[string]regionEntry)}
}

// merge takes summaries that are newer than those known.
func (r *regions) merge(summaries []RegionSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, summary := range summaries {
		known, ok := r.entries[summary.Root]
		if ok && summary.Made.Sub(known.summary.Made) < summaryInterval/2 {
			continue
		}
		r.counter++
		r.entries[summary.Root] = regionEntry{summary: summary, changed: r.counter}
	}
}

// since returns the summaries that changed after a count and the present one.
func (r *regions) since(counter uint64) ([]RegionSummary, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var changed []RegionSummary
	for _, entry := range r.entries {
		if entry.changed > counter {
			changed = append(changed, entry.summary)
		}
	}
	slices.SortFunc(changed, func(a, b RegionSummary) int { return a.Made.Compare(b.Made) })
	return changed, r.counter
}

// all returns every summary, oldest first.
func (r *regions) all() []RegionSummary {
	summaries, _ := r.since(0)
	return summaries
}

// of returns the summary of one reader.
func (r *regions) of(root string) (RegionSummary, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.entries[root]
	return entry.summary, ok
}

func (r *regions) expire() {
	now := r.now()
	for root, entry := range r.entries {
		if now.Sub(entry.summary.Made) > summaryLimit {
			delete(r.entries, root)
		}
	}
}
