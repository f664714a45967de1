package distribute

import (
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// Convergence is what one daemon knows of the offsets in force everywhere.
type Convergence struct {
	// Offset is the highest offset known to be in force anywhere.
	Offset uint64
	// Daemons counts the daemons that ought to be at Offset, Reached those
	// known to be.
	Daemons int
	Reached int
	Zones   []ZoneSummary
	// Lagging names daemons that are not known to be at Offset.
	Lagging []LaggingHost
	// Staleness is the time since this daemon's fold was known to be
	// the newest of the log, -1 when it never was.
	Staleness time.Duration
	// OldestSummaryAge is the age of the oldest summary used, -1 without any.
	OldestSummaryAge time.Duration
}

// Convergence returns what this daemon knows of the offsets in force.
func (d *Distributor) Convergence() Convergence {
	now := d.now()
	known := d.summaries.all()
	own, _ := d.enforcer.Position()
	if len(known) == 0 {
		known = []RegionSummary{{Root: d.self.Host, CreatedAt: now, Zones: d.subtree()}}
	}
	status := computeConvergence(known, d.directory.View(), own)
	status.Staleness = ageOf(now, d.state.lastUpToDate())
	status.OldestSummaryAge = -1
	for _, summary := range known {
		status.OldestSummaryAge = max(status.OldestSummaryAge, now.Sub(summary.CreatedAt))
	}
	return status
}

func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// computeConvergence joins summaries with the directory. own is the offset of the
// daemon that asks, which counts as known.
func computeConvergence(summaries []RegionSummary, view *membership.View, own uint64) Convergence {
	var all []ZoneSummary
	for _, summary := range summaries {
		if !summary.retired() {
			all = append(all, summary.Zones...)
		}
	}
	status := Convergence{Offset: own, Zones: mergeZones(all)}
	for _, zone := range status.Zones {
		status.Offset = max(status.Offset, zone.Highest)
	}
	known, total := expectedDaemons(view)
	for _, zone := range status.Zones {
		if zone.Highest == status.Offset {
			status.Reached += zone.confirmedAtHighest(known[zone.Zone])
		}
	}
	status.Daemons = total
	if status.Reached < status.Daemons {
		status.Lagging = laggingHosts(status.Zones, view, status.Offset)
	}
	return status
}

// expectedDaemons counts the daemons that did not leave in order, by zone and in all.
func expectedDaemons(view *membership.View) (zones map[string]int, total int) {
	zones = make(map[string]int)
	for _, member := range view.Members {
		if member.State != membership.Left {
			zones[member.Zone]++
			total++
		}
	}
	return zones, total
}

// confirmedAtHighest returns how many of the zone's daemons are at the highest offset in
// any case. While a daemon changes its parent it may be counted by the old and
// the new one; what exceeds the known daemons of the zone is not claimed.
func (s ZoneSummary) confirmedAtHighest(known int) int {
	return max(0, s.AtHighest-max(0, s.Daemons-known))
}

// laggingHosts names the daemons below an offset: those that their parents name,
// and those that the directory has lost contact with.
func laggingHosts(zones []ZoneSummary, view *membership.View, offset uint64) []LaggingHost {
	byHost := make(map[string]LaggingHost)
	for _, zone := range zones {
		for _, host := range zone.Lagging {
			if host.Offset < offset {
				byHost[host.Host] = host
			}
		}
	}
	for _, member := range view.Members {
		if member.State != membership.Left && member.Reachability != membership.Reachable && member.AppliedOffset < offset {
			byHost[member.Host] = LaggingHost{Host: member.Host, Offset: member.AppliedOffset, LastHeard: member.LastHeard}
		}
	}
	hosts := make([]LaggingHost, 0, len(byHost))
	for _, host := range byHost {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, byOffset)
	return hosts
}
