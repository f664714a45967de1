package distribute

import (
	"context"
	"time"
)

// isRegionRoot reports whether this daemon has no parent in its region. Such a
// daemon summarizes its followers.
func (d *Distributor) isRegionRoot() bool { return !d.state.hasParentIn(d.self.Region) }

// runSummaries updates the summary of this daemon's followers while it has no
// parent in its region, and maintains the exchanges with other regions.
func (d *Distributor) runSummaries(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	active := newExchanges(ctx, d)
	defer active.wait()
	var differSince time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !d.isRegionRoot() {
			d.retireSummary()
			active.reconcile(nil)
			continue
		}
		differSince = d.summarize(differSince)
		active.reconcile(d.exchangeAddresses())
	}
}

// summarize renews this daemon's summary if it has changed and its daemons have
// reached one offset, or have had convergenceGrace to do so. It returns since
// when they have been at different offsets.
func (d *Distributor) summarize(differSince time.Time) time.Time {
	next := RegionSummary{Root: d.self.Host, CreatedAt: d.now(), Zones: d.subtree()}
	last, ok := d.summaries.get(d.self.Host)
	switch {
	case !ok:
	case equalZones(next.Zones, last.Zones):
		if next.CreatedAt.Sub(last.CreatedAt) < summaryRefreshInterval {
			return time.Time{}
		}
	case commonOffset(next.Zones) == 0 && differSince.IsZero():
		return next.CreatedAt
	case commonOffset(next.Zones) == 0 && next.CreatedAt.Sub(differSince) < convergenceGrace:
		return differSince
	}
	d.summaries.merge([]RegionSummary{next})
	return time.Time{}
}

// retireSummary replaces this daemon's summary, if there is one, by one that
// counts no daemons: its parent in the region counts them now.
func (d *Distributor) retireSummary() {
	last, ok := d.summaries.get(d.self.Host)
	if ok && !last.retired() {
		d.summaries.merge([]RegionSummary{retiredSummary(d.self.Host, d.self.Zone, d.self.Region, d.now())})
	}
}

// exchangeAddresses returns the control addresses to exchange summaries with.
// Of two regions, the reader of the one whose name sorts first dials.
func (d *Distributor) exchangeAddresses() []string {
	zones := rankZones(d.directory.View())
	own := regionReaders(zones, d.self.Region)
	reader := len(own) > 0 && own[0].Host == d.self.Host
	var addresses []string
	for _, region := range otherRegions(zones, d.self.Region) {
		if !reader || d.self.Region < region {
			addresses = append(addresses, regionReaders(zones, region)[0].ControlAddress)
		}
	}
	return addresses
}
