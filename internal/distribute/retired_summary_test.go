package distribute

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFormerRootIsCountedOnce guards against counting a daemon twice. The
// preferred reader of a region starts last; the old summary of the previous
// root must not count beside the new one.
func TestFormerRootIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		hosts := append(m.zone("ashanti", "ashanti-a", 2), m.zone("northern", "northern-a", 1)...)
		m.log.add("1")
		directory := &fakeDirectory{}
		directory.set(hosts[0], m.members)
		first := regionReaders(rankZones(directory.View()), "ashanti")[0].Host
		for _, host := range hosts {
			if host != first {
				m.start(host)
			}
		}
		time.Sleep(10 * time.Second)
		m.start(first)
		time.Sleep(10 * time.Second)
		last := m.log.add("2")
		m.waitFor(last, 5*time.Second)
		time.Sleep(8 * time.Second)
		for host, n := range m.nodes {
			status := n.dist.Convergence()
			assert.Equal(t, status.Reached, 3, host)
			assert.Equal(t, status.Daemons, 3, host)
			for _, zone := range status.Zones {
				assert.Equal(t, zone.Lowest, last, "%s sees %+v", host, zone)
			}
		}
	})
}
