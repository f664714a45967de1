package distribute

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Ages of summaries.
const (
	// summaryInterval is the least time between two summaries of one root.
	summaryInterval = time.Second
	// settleTime is how long a root waits for its daemons to reach one offset
	// before it tells that they differ.
	settleTime = 3 * time.Second
	// summaryRefresh is how often a summary without change is told again, and
	// fullRefresh how often with its zones.
	summaryRefresh = 10 * time.Second
	fullRefresh    = 30 * time.Second
	// summaryLimit is the age at which a summary is dropped.
	summaryLimit = 2 * fullRefresh
)

// RegionSummary is what one daemon without a parent in its region knows of
// those that follow it.
type RegionSummary struct {
	// Root is the host of the daemon.
	Root string
	// Made is when it made the summary, by this daemon's clock.
	Made  time.Time
	Zones []ZoneSummary
	// SettledAt stands in for Zones in a message when the daemons are those
	// of the last message and all are at this offset.
	SettledAt uint64
}

// region returns the region of the root. A summary begins with the root's own
// region, since a root sums up no other one.
func (s RegionSummary) region() string {
	if len(s.Zones) == 0 {
		return ""
	}
	return s.Zones[0].Region
}

// retire returns the summary of a daemon that has got a parent in its region:
// its zone without daemons, since the parent counts them.
func retire(root, zone, region string, now time.Time) RegionSummary {
	return RegionSummary{Root: root, Made: now, Zones: []ZoneSummary{{Zone: zone, Region: region}}}
}

// retired reports whether the root counts no daemons any more.
func (s RegionSummary) retired() bool {
	return len(s.Zones) == 1 && s.Zones[0].Daemons == 0
}

// regions holds the newest summary of each root.
type regions struct {
	now     func() time.Time
	changed wait.Broadcast

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
	before := r.counter
	defer func() {
		if r.counter != before {
			r.changed.Notify()
		}
	}()
	for _, summary := range summaries {
		known, ok := r.entries[summary.Root]
		if ok && summary.Made.Sub(known.summary.Made) < summaryInterval/2 {
			continue
		}
		if summary.SettledAt > 0 {
			if !ok {
				continue
			}
			summary.Zones = settle(known.summary.Zones, summary.SettledAt)
			summary.SettledAt = 0
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

// of returns the summary of one root.
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
