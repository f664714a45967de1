package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

func TestSilentConnectionIsRedialled(t *testing.T) {
	for _, direction := range []string{"to the peer", "from the peer"} {
		t.Run(direction, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t)
				defer m.killAll()
				a := m.start("r", "z", "a", 1)
				m.start("r", "z", "b", 1, "a")
				m.waitUntil(5*time.Second, "complete", knowsAll(2))
				time.Sleep(5 * time.Second)
				m.net.blackhole(func(from, to peer.Identity) bool {
					return (from.Host == "a") == (direction == "to the peer")
				})
				announce(t, a, "ready")
				took := m.waitUntil(4*time.Second, "ready", seesTarget("a", Ready))
				t.Logf("ready seen after %s", took)
				m.waitUntil(time.Second, "reachable", knowsAll(2))
			})
		})
	}
}

// TestAcceptedConnectionIsClosed drops all bytes from the dialling host, and
// with them the close of its connection. The accepting side must close the
// connection itself instead of leaking it.
func TestAcceptedConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		a := m.start("r", "z", "a", 1)
		m.start("r", "z", "b", 1, "a")
		m.waitUntil(5*time.Second, "complete", knowsAll(2))
		time.Sleep(5 * time.Second)
		m.net.blackhole(func(from, to peer.Identity) bool { return from.Host == "b" })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		before := int(a.open.Load())
		time.Sleep(inboundIdleTimeout + time.Second)
		synctest.Wait()
		assert.Equal(t, before, 2)
		assert.Equal(t, int(a.open.Load()), 1)
		m.waitUntil(time.Second, "reachable", knowsAll(2))
	})
}

// TestConcurrentJoinsAreRateLimited starts many daemons at once that know the
// same two seeds. No daemon may answer more comparisons than its limit allows.
func TestConcurrentJoinsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.start("north", "north-0", hostName("north", 0, 0), 1)
		m.start("south", "south-0", hostName("south", 0, 0), 1, hostName("north", 0, 0))
		m.waitUntil(5*time.Second, "complete", knowsAll(2))
		start := time.Now()
		for zone := 1; zone <= 3; zone++ {
			m.startZone("north", zone, 30, 1)
		}
		took := m.waitUntil(30*time.Second, "complete", knowsAll(92))
		t.Logf("92 daemons complete after %s", took)
		for host, d := range m.daemons {
			allowed := comparisonBurst + comparisonRate*time.Since(start).Seconds()
			answered := float64(d.metrics.comparisons.Get())
			assert.Assert(t, answered <= allowed, "%s answered %.0f comparisons, %.0f allowed", host, answered, allowed)
		}
	})
}

// TestBridgeFailsOver breaks the links between a zone and one bridge of
// another. The bridges of the same rank must dial other members, so that
// neither zone is reported as silent.
func TestBridgeFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		view := m.daemons[hostName("north", 0, 0)].View()
		bridge := bridgesOf(view.zone("north-0"))[0].Host
		partitionedBridge := bridgesOf(view.zone("north-1"))[0].Host
		m.net.setPartition(func(from, to peer.Identity) bool {
			return from.Host == partitionedBridge && to.Zone == "north-0" || from.Zone == "north-0" && to.Host == partitionedBridge
		})
		time.Sleep(20 * time.Second)
		synctest.Wait()
		d := m.daemons[bridge]
		d.mu.Lock()
		defer d.mu.Unlock()
		assert.Equal(t, len(d.selfRow().silentZones), 0)
	})
}

// TestSeparatePartitionsMerge starts two regions that do not reach each other.
func TestSeparatePartitionsMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.net.setPartition(crosses(inRegion("south")))
		m.startZone("north", 0, 4, 1)
		m.startZone("south", 0, 4, 1)
		m.waitUntil(15*time.Second, "complete in its region", knowsAll(4))
		time.Sleep(time.Minute)
		m.net.heal()
		m.waitUntil(15*time.Second, "complete", knowsAll(8))
	})
}

// TestSeedsAreDialledWhenAllKnownHostsAreGone replaces all other hosts of a
// zone while one daemon is partitioned from them.
func TestSeedsAreDialledWhenAllKnownHostsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		for _, host := range []string{"a", "b", "c", "d"} {
			m.start("r", "z", host, 1, "a", "b", "new-0")
		}
		m.waitUntil(15*time.Second, "complete", knowsAll(4))
		order := bridgeOrder(m.daemons["a"].View().zone("z"))
		isolated := order[3].Host
		m.net.setPartition(crosses(func(id peer.Identity) bool { return id.Host == isolated }))
		for _, member := range order[:3] {
			m.kill(member.Host)
		}
		for number := range 3 {
			m.start("r", "z", fmt.Sprintf("new-%d", number), 1, "new-0")
		}
		time.Sleep(time.Minute)
		m.net.heal()
		m.waitUntil(20*time.Second, "merged", func(d *daemon) bool {
			members := d.View().Members
			return members.At(isolated).Reachability == Reachable && members.At("new-0").Reachability == Reachable &&
				members.At(isolated).Host != "" && members.At("new-0").Host != ""
		})
	})
}
