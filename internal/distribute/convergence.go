package distribute

import (
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// Convergence describes the offsets applied by all daemons, as far as one
// daemon knows.
type Convergence struct {
	// Offset is the highest offset known to be applied by any daemon.
	Offset uint64
	// Daemons counts the daemons that are expected to reach Offset, Reached
	// those known to have reached it.
	Daemons int
	Reached int
	Zones   []ZoneSummary
	// Lagging lists daemons that are not known to have reached Offset.
	Lagging []LaggingHost
	// Staleness is the time since this daemon's state was last known to be the
	// newest of the log, -1 if it never was.
	Staleness time.Duration
	// OldestSummaryAge is the age of the oldest summary used, -1 without
	// summaries.
	OldestSummaryAge time.Duration
}

// Convergence returns what this daemon knows of the offsets applied by all
// daemons.
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

// computeConvergence combines summaries with the directory. own is the offset
// of this daemon, which is always known.
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

// expectedDaemons counts the daemons that have not left gracefully, by zone and
// in total.
func expectedDaemons(view *membership.View) (zones map[string]int, total int) {
	zones = make(map[string]int)
	for _, member := range view.Members.All() {
		if member.State != membership.Left {
			zones[member.Zone]++
			total++
		}
	}
	return zones, total
}

// confirmedAtHighest returns how many of the zone's daemons are certainly at
// the highest offset. While a daemon changes its parent, both the old and the
// new parent may count it; the count in excess of the known daemons of the zone
// is subtracted.
func (s ZoneSummary) confirmedAtHighest(known int) int {
	return max(0, s.AtHighest-max(0, s.Daemons-known))
}

// laggingHosts returns the daemons below an offset: those that their parents
// report, and those that the directory has lost contact with.
func laggingHosts(zones []ZoneSummary, view *membership.View, offset uint64) []LaggingHost {
	byHost := make(map[string]LaggingHost)
	for _, zone := range zones {
		for _, host := range zone.Lagging {
			if host.Offset < offset {
				byHost[host.Host] = host
			}
		}
	}
	for _, member := range view.Members.All() {
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
