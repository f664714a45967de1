package distribute

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// threeRegions returns a mesh of three regions with two zones each.
func threeRegions(t *testing.T, perZone int) *mesh {
	m := newMesh(t)
	for _, region := range []string{"greater-accra", "ashanti", "northern"} {
		m.zone(region, region+"-a", perZone)
		m.zone(region, region+"-b", perZone)
	}
	return m
}

// stableRegions returns a mesh of three regions in which all daemons have
// applied the first record and use their preferred sources.
func stableRegions(t *testing.T, perZone int) *mesh {
	m := threeRegions(t, perZone)
	m.log.add("1")
	m.startAll()
	m.waitFor(1, 10*time.Second)
	time.Sleep(stabilizeTime)
	return m
}

func TestRecordsReachEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := threeRegions(t, 8)
		m.log.add("1", "2", "3")
		m.startAll()
		m.waitFor(3, 10*time.Second)
		// After a minute every daemon uses its preferred source.
		time.Sleep(time.Minute)
		assert.Equal(t, len(m.logReaders()), 3, "one reader of the log for each region")
		began := time.Now()
		m.log.add("4")
		m.waitFor(4, time.Second)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "pushed, not polled")
		// The summaries arrive within a few seconds.
		time.Sleep(8 * time.Second)
		_, digest := m.nodes["ashanti-a-0"].enforcer.Position()
		for host, n := range m.nodes {
			_, other := n.enforcer.Position()
			assert.DeepEqual(t, other, digest)
			status := n.dist.Convergence()
			assert.Equal(t, status.Offset, uint64(4), host)
			assert.Equal(t, status.Daemons, 48, host)
			assert.Equal(t, status.Reached, 48, host)
		}
	})
}
