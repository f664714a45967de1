package distribute

import (
	"cmp"
	"slices"
	"time"
)

// maxLaggingHosts limits the hosts that a summary names.
const maxLaggingHosts = 8

// ZoneSummary summarizes daemons of one availability zone.
type ZoneSummary struct {
	Zone    string
	Region  string
	Daemons int
	// Lowest and Highest are the bounds of the daemons' offsets.
	Lowest  uint64
	Highest uint64
	// AtHighest counts the daemons at Highest.
	AtHighest int
	// Lagging lists some of the daemons below Highest.
	Lagging []LaggingHost
}

// LaggingHost is a host whose daemon has not reached the highest offset.
type LaggingHost struct {
	Host   string
	Offset uint64
	// LastHeard is when its daemon was last heard from, by this daemon's clock.
	LastHeard time.Time
}

// equal ignores when the lagging hosts were last heard from.
func (s ZoneSummary) equal(other ZoneSummary) bool {
	return s.countsSameDaemons(other) &&
		s.Lowest == other.Lowest && s.Highest == other.Highest && s.AtHighest == other.AtHighest &&
		slices.EqualFunc(s.Lagging, other.Lagging, func(a, b LaggingHost) bool {
			return a.Host == b.Host && a.Offset == b.Offset
		})
}

// countsSameDaemons reports whether two summaries count the same number of daemons in
// the same zone and region.
func (s ZoneSummary) countsSameDaemons(other ZoneSummary) bool {
	return s.Zone == other.Zone && s.Region == other.Region && s.Daemons == other.Daemons
}

// singleDaemon returns the summary of one daemon.
func singleDaemon(zone, region string, offset uint64) ZoneSummary {
	return ZoneSummary{Zone: zone, Region: region, Daemons: 1, Lowest: offset, Highest: offset, AtHighest: 1}
}

// merge adds the daemons of other, which are of the same zone. Of two regions it keeps
// the first by name, so that the order of the summaries does not matter.
func (s ZoneSummary) merge(other ZoneSummary) ZoneSummary {
	merged := ZoneSummary{
		Zone:    s.Zone,
		Region:  min(s.Region, other.Region),
		Daemons: s.Daemons + other.Daemons,
		Lowest:  min(s.Lowest, other.Lowest),
		Highest: max(s.Highest, other.Highest),
	}
	for _, part := range []ZoneSummary{s, other} {
		if part.Highest == merged.Highest {
			merged.AtHighest += part.AtHighest
		}
		merged.Lagging = append(merged.Lagging, part.Lagging...)
	}
	slices.SortFunc(merged.Lagging, byOffset)
	merged.Lagging = merged.Lagging[:min(maxLaggingHosts, len(merged.Lagging))]
	return merged
}

func byOffset(a, b LaggingHost) int {
	if a.Offset != b.Offset {
		return cmp.Compare(a.Offset, b.Offset)
	}
	return cmp.Compare(a.Host, b.Host)
}

// mergeZones merges summaries by zone, sorted by zone.
func mergeZones(summaries []ZoneSummary) []ZoneSummary {
	byZone := make(map[string]ZoneSummary)
	for _, summary := range summaries {
		known, ok := byZone[summary.Zone]
		if ok {
			summary = known.merge(summary)
		}
		byZone[summary.Zone] = summary
	}
	merged := make([]ZoneSummary, 0, len(byZone))
	for _, summary := range byZone {
		merged = append(merged, summary)
	}
	slices.SortFunc(merged, func(a, b ZoneSummary) int { return cmp.Compare(a.Zone, b.Zone) })
	return merged
}

// commonOffset returns the offset that all daemons are at, 0 if they differ.
func commonOffset(zones []ZoneSummary) uint64 {
	if len(zones) == 0 {
		return 0
	}
	offset := zones[0].Highest
	for _, zone := range zones {
		if zone.Lowest != offset || zone.Highest != offset || len(zone.Lagging) > 0 {
			return 0
		}
	}
	return offset
}

// withCommonOffset returns the same daemons, all of them at an offset.
func withCommonOffset(zones []ZoneSummary, offset uint64) []ZoneSummary {
	merged := slices.Clone(zones)
	for i := range merged {
		merged[i].Lowest = offset
		merged[i].Highest = offset
		merged[i].AtHighest = merged[i].Daemons
		merged[i].Lagging = nil
	}
	return merged
}

// sameDaemons reports whether two summaries count the same number of daemons in
// each zone.
func sameDaemons(a, b []ZoneSummary) bool {
	return slices.EqualFunc(a, b, ZoneSummary.countsSameDaemons)
}

func equalZones(a, b []ZoneSummary) bool { return slices.EqualFunc(a, b, ZoneSummary.equal) }
