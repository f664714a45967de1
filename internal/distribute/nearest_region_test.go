package distribute

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestNearestRegionReads lets only the region that is clearly nearest to the log
// read it, and the others again when its reader stands still.
func TestNearestRegionReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := threeRegions(t, 3)
		m.options.Timing = FastTiming
		for host, member := range m.members {
			member.LogRTT = 41 * time.Millisecond
			if member.Region == "ashanti" {
				member.LogRTT = 2 * time.Millisecond
			}
			m.members[host] = member
		}
		m.log.add("1")
		m.startAll()
		m.waitFor(1, 10*time.Second)
		time.Sleep(20 * time.Second)
		rooted := m.logReaders()
		assert.Equal(t, len(rooted), 1, "%v read the log", rooted)
		assert.Equal(t, m.members[rooted[0]].Region, "ashanti")
		began := time.Now()
		m.log.add("2")
		m.waitFor(2, 500*time.Millisecond)

		// A reader that is frozen costs less than the bound of 2.5 s.
		defer m.net.pause(rooted[0])()
		last := m.log.add("3")
		m.waitForOthers(rooted[0], last, 2500*time.Millisecond)
		t.Logf("after %s", time.Since(began))
	})
}
