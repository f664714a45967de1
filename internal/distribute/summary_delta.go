package distribute

import "time"

// summaryDelta keeps what one stream has been told of the summaries, so that a
// change of the offset alone is told in a few bytes.
type summaryDelta struct {
	now      func() time.Time
	revision uint64
	sent     map[string]sentSummary
}

type sentSummary struct {
	zones      []ZoneSummary
	fullSentAt time.Time
}

func newSummaryDelta(now func() time.Time) *summaryDelta {
	return &summaryDelta{now: now, sent: make(map[string]sentSummary)}
}

// allSummaries is the filter that keeps every summary.
func allSummaries(RegionSummary) bool { return true }

// inRegion returns the filter that keeps the summaries of one region.
func inRegion(region string) func(RegionSummary) bool {
	return func(summary RegionSummary) bool { return summary.region() == region }
}

// next returns the summaries that changed and that the stream is to be told.
func (t *summaryDelta) next(known *regionSummaries, wanted func(RegionSummary) bool) []RegionSummary {
	changed, seen := known.changedSince(t.revision)
	t.revision = seen
	var next []RegionSummary
	for _, summary := range changed {
		if wanted(summary) {
			next = append(next, t.abbreviate(summary))
		}
	}
	return next
}

// abbreviate leaves out the zones when the stream knows them.
func (t *summaryDelta) abbreviate(summary RegionSummary) RegionSummary {
	told, ok := t.sent[summary.Root]
	settled := commonOffset(summary.Zones)
	recent := ok && t.now().Sub(told.fullSentAt) < fullSummaryInterval
	if recent && settled > 0 && sameDaemons(summary.Zones, told.zones) {
		told.zones = summary.Zones
		t.sent[summary.Root] = told
		summary.Zones = nil
		summary.CommonOffset = settled
		return summary
	}
	t.sent[summary.Root] = sentSummary{zones: summary.Zones, fullSentAt: t.now()}
	return summary
}
