package distribute

import "time"

// summaryDelta tracks which summaries have been sent on one stream, so that a
// change of the offset alone takes a few bytes.
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

// allSummaries is the filter that accepts every summary.
func allSummaries(RegionSummary) bool { return true }

// inRegion returns the filter that accepts the summaries of one region.
func inRegion(region string) func(RegionSummary) bool {
	return func(summary RegionSummary) bool { return summary.region() == region }
}

// next returns the summaries to send: those that have changed and pass the
// filter.
func (s *summaryDelta) next(known *regionSummaries, filter func(RegionSummary) bool) []RegionSummary {
	changed, revision := known.changedSince(s.revision)
	s.revision = revision
	var next []RegionSummary
	for _, summary := range changed {
		if filter(summary) {
			next = append(next, s.abbreviate(summary))
		}
	}
	return next
}

// abbreviate omits the zones if they have been sent before.
func (s *summaryDelta) abbreviate(summary RegionSummary) RegionSummary {
	sent, ok := s.sent[summary.Root]
	offset := commonOffset(summary.Zones)
	recent := ok && s.now().Sub(sent.fullSentAt) < fullSummaryInterval
	if recent && offset > 0 && sameDaemons(summary.Zones, sent.zones) {
		sent.zones = summary.Zones
		s.sent[summary.Root] = sent
		summary.Zones = nil
		summary.CommonOffset = offset
		return summary
	}
	s.sent[summary.Root] = sentSummary{zones: summary.Zones, fullSentAt: s.now()}
	return summary
}
