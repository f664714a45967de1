package distribute

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestNearestRegionReads checks that only the region clearly nearest to the log
// reads it, and that another region takes over when its reader hangs.
func TestNearestRegionReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := nearestRegionMesh(t, 3, "ashanti")
		readers := m.logReaders()
		assert.Equal(t, len(readers), 1, "%v read the log", readers)
		assert.Equal(t, m.members[readers[0]].Region, "ashanti")
		began := time.Now()
		m.log.add("2")
		m.waitFor(2, 500*time.Millisecond)

		// A paused reader is replaced within the limit of 2.5 s.
		defer m.net.pause(readers[0])()
		last := m.log.add("3")
		m.waitForOthers(readers[0], last, 2500*time.Millisecond)
		t.Logf("after %s", time.Since(began))
	})
}
