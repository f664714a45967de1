package distribute

import (
	"context"
	"slices"
	"time"
)

// runSummaries makes the summary of this daemon's followers while it reads
// the log, and trades it with the readers of other regions.
func (d *Distributor) runSummaries(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !d.state.isRooted() {
			continue
		}
		if d.summarize() {
			d.exchangeAll(ctx)
		}
	}
}

// summarize renews this daemon's own summary and reports whether others are
// to be told.
func (d *Distributor) summarize() bool {
	next := RegionSummary{Root: d.self.Host, Made: d.now(), Zones: d.subtree()}
	last, ok := d.regions.of(d.self.Host)
	same := ok && slices.EqualFunc(next.Zones, last.Zones, ZoneSummary.equal)
	if same && next.Made.Sub(last.Made) < summaryRefresh {
		return false
	}
	d.regions.merge([]RegionSummary{next})
	return true
}

// exchangeAll trades summaries with the reader of each other region.
func (d *Distributor) exchangeAll(ctx context.Context) {
	view := d.directory.View()
	zones := rankZones(view)
	for _, region := range otherRegions(zones, d.self.Region) {
		reader := regionReaders(zones, region)[0]
		own, _ := d.regions.of(d.self.Host)
		answer, err := d.exchange(ctx, reader.ControlAddress, []RegionSummary{own})
		if err != nil {
			d.logger.WithError(err).Debugf("No summary from region %s.", region)
			continue
		}
		d.regions.merge(answer)
	}
}

// answerExchange takes the summaries of another region's reader and returns
// this daemon's own.
func (d *Distributor) answerExchange(summaries []RegionSummary) []RegionSummary {
	d.regions.merge(summaries)
	own, ok := d.regions.of(d.self.Host)
	if !ok {
		return nil
	}
	return []RegionSummary{own}
}
