package distribute

import "time"

// teller keeps what one stream has been told of the summaries, so that a
// change of the offset alone is told in a few bytes.
type teller struct {
	now  func() time.Time
	seen uint64
	told map[string]toldSummary
}

type toldSummary struct {
	zones []ZoneSummary
	full  time.Time
}

func newTeller(now func() time.Time) *teller {
	return &teller{now: now, told: make(map[string]toldSummary)}
}

// anySummary is the filter that keeps every summary.
func anySummary(RegionSummary) bool { return true }

// inRegion returns the filter that keeps the summaries of one region.
func inRegion(region string) func(RegionSummary) bool {
	return func(summary RegionSummary) bool { return summary.region() == region }
}

// next returns the summaries that changed and that the stream is to be told.
func (t *teller) next(known *regions, wanted func(RegionSummary) bool) []RegionSummary {
	changed, seen := known.since(t.seen)
	t.seen = seen
	var next []RegionSummary
	for _, summary := range changed {
		if wanted(summary) {
			next = append(next, t.shorten(summary))
		}
	}
	return next
}

// shorten leaves out the zones when the stream knows them.
func (t *teller) shorten(summary RegionSummary) RegionSummary {
	told, ok := t.told[summary.Root]
	settled := settledAt(summary.Zones)
	recent := ok && t.now().Sub(told.full) < fullRefresh
	if recent && settled > 0 && sameDaemons(summary.Zones, told.zones) {
		told.zones = summary.Zones
		t.told[summary.Root] = told
		summary.Zones = nil
		summary.SettledAt = settled
		return summary
	}
	t.told[summary.Root] = toldSummary{zones: summary.Zones, full: t.now()}
	return summary
}
