package distribute

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Timing of summaries.
const (
	// summaryInterval is the minimum time between two summaries of one root.
	summaryInterval = time.Second
	// convergenceGrace is how long a root waits for its daemons to reach one
	// offset before it reports that they differ.
	convergenceGrace = 3 * time.Second
	// summaryRefreshInterval is how often an unchanged summary is sent again,
	// fullSummaryInterval how often it is sent with its zones.
	summaryRefreshInterval = 10 * time.Second
	fullSummaryInterval    = 30 * time.Second
	// summaryExpiry is the age at which a summary is dropped.
	summaryExpiry = 2 * fullSummaryInterval
)

// RegionSummary is what one daemon without a parent in its region, a root,
// knows of the daemons that follow it.
type RegionSummary struct {
	// Root is the host of the daemon.
	Root string
	// CreatedAt is when the root made the summary, by this daemon's clock.
	CreatedAt time.Time
	Zones     []ZoneSummary
	// CommonOffset replaces Zones in a message if the daemons are those of the
	// last message and all are at this offset.
	CommonOffset uint64
}

// region returns the region of the root. It is that of the first zone, since a
// root summarizes no other region.
func (s RegionSummary) region() string {
	if len(s.Zones) == 0 {
		return ""
	}
	return s.Zones[0].Region
}

// retiredSummary returns the summary of a daemon that now has a parent in its
// region: its zone without daemons, since the parent counts them.
func retiredSummary(root, zone, region string, now time.Time) RegionSummary {
	return RegionSummary{Root: root, CreatedAt: now, Zones: []ZoneSummary{{Zone: zone, Region: region}}}
}

// retired reports whether the root no longer counts any daemons.
func (s RegionSummary) retired() bool {
	return len(s.Zones) == 1 && s.Zones[0].Daemons == 0
}

// regionSummaries holds the newest summary of each root.
type regionSummaries struct {
	now     func() time.Time
	changed wait.Broadcast

	mu      sync.Mutex
	entries map[string]regionEntry
	// revision increases with each change.
	revision uint64
}

type regionEntry struct {
	summary  RegionSummary
	revision uint64
}

func newRegionSummaries(now func() time.Time) *regionSummaries {
	return &regionSummaries{now: now, entries: make(map[string]regionEntry)}
}

// merge stores the summaries that are newer than the known ones.
func (r *regionSummaries) merge(summaries []RegionSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.revision
	defer func() {
		if r.revision != before {
			r.changed.Notify()
		}
	}()
	for _, summary := range summaries {
		known, ok := r.entries[summary.Root]
		if ok && summary.CreatedAt.Sub(known.summary.CreatedAt) < summaryInterval/2 {
			continue
		}
		if summary.CommonOffset > 0 {
			if !ok {
				continue
			}
			summary.Zones = withCommonOffset(known.summary.Zones, summary.CommonOffset)
			summary.CommonOffset = 0
		}
		r.revision++
		r.entries[summary.Root] = regionEntry{summary: summary, revision: r.revision}
	}
}

// changedSince returns the summaries that changed after a revision, and the
// current revision.
func (r *regionSummaries) changedSince(revision uint64) ([]RegionSummary, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired()
	var changed []RegionSummary
	for _, entry := range r.entries {
		if entry.revision > revision {
			changed = append(changed, entry.summary)
		}
	}
	slices.SortFunc(changed, func(a, b RegionSummary) int { return a.CreatedAt.Compare(b.CreatedAt) })
	return changed, r.revision
}

// all returns every summary, oldest first.
func (r *regionSummaries) all() []RegionSummary {
	summaries, _ := r.changedSince(0)
	return summaries
}

// get returns the summary of one root.
func (r *regionSummaries) get(root string) (RegionSummary, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.entries[root]
	return entry.summary, ok
}

func (r *regionSummaries) removeExpired() {
	now := r.now()
	for root, entry := range r.entries {
		if now.Sub(entry.summary.CreatedAt) > summaryExpiry {
			delete(r.entries, root)
		}
	}
}
