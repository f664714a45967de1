package distribute

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestChangedRegionOfZoneIsSentInAck(t *testing.T) {
	before := ack{Offset: 7, Zones: []ZoneSummary{singleDaemon("zone-a", "north", 7)}}
	after := ack{Offset: 7, Zones: []ZoneSummary{singleDaemon("zone-a", "south", 7)}}
	assert.DeepEqual(t, deltaAck(after, before).Zones, after.Zones)
	after.Zones = []ZoneSummary{singleDaemon("zone-a", "south", 8)}
	assert.DeepEqual(t, deltaAck(after, before).Zones, after.Zones)
}

func TestChangedRegionOfZoneIsSentInSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known, delta := newRegionSummaries(time.Now), newSummaryDelta(time.Now)
		for _, region := range []string{"north", "south"} {
			zones := []ZoneSummary{singleDaemon("zone-a", region, 7)}
			known.merge([]RegionSummary{{Root: "host-1", CreatedAt: time.Now(), Zones: zones}})
			sent := delta.next(known, allSummaries)
			assert.Equal(t, len(sent), 1)
			assert.DeepEqual(t, sent[0].Zones, zones)
			time.Sleep(summaryInterval)
		}
	})
}

func TestMergedRegionOfZoneDoesNotDependOnTheOrder(t *testing.T) {
	north, south := singleDaemon("zone-a", "north", 7), singleDaemon("zone-a", "south", 7)
	assert.Equal(t, north.merge(south).Region, south.merge(north).Region)
}
