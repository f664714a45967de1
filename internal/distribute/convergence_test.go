package distribute

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// TestDaemonCountedTwiceIsNotConfirmed guards against hiding a lagging daemon.
// While a daemon changes its parent, both the old and the new parent count it;
// the daemon that is behind must not be counted as having reached the offset.
func TestDaemonCountedTwiceIsNotConfirmed(t *testing.T) {
	view := &membership.View{}
	for _, host := range []string{"h1", "h2", "h3"} {
		view.Members = view.Members.With(host, membership.Member{Host: host, Zone: "za", Region: "r", State: membership.Alive})
	}
	zone := func(daemons, reached int) []ZoneSummary {
		return []ZoneSummary{{Zone: "za", Region: "r", Daemons: daemons, Lowest: 7, Highest: 7, AtHighest: reached}}
	}
	summaries := []RegionSummary{
		{Root: "h1", CreatedAt: time.Now(), Zones: zone(2, 2)},
		{Root: "h2", CreatedAt: time.Now(), Zones: zone(2, 2)},
	}
	status := computeConvergence(summaries, view, 7)
	assert.Equal(t, status.Daemons, 3)
	assert.Equal(t, status.Reached, 3)
	summaries[1].Zones = zone(3, 2)
	status = computeConvergence(summaries, view, 7)
	assert.Equal(t, status.Daemons, 3)
	assert.Equal(t, status.Reached, 2)
}
