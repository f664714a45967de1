package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// between cuts daemons of one group from those outside.
func between(inside func(peer.Identity) bool) func(from, to peer.Identity) bool {
	return func(from, to peer.Identity) bool { return inside(from) != inside(to) }
}

func inZone(zone string) func(peer.Identity) bool {
	return func(id peer.Identity) bool { return id.Zone == zone }
}

func inRegion(region string) func(peer.Identity) bool {
	return func(id peer.Identity) bool { return id.Region == region }
}

// seesCut reports whether a view holds all hosts and those on the other side
// of a cut as unreachable.
func seesCut(count int, inside func(peer.Identity) bool) func(*daemon) bool {
	return func(d *daemon) bool {
		view := d.View()
		for _, member := range view.Members {
			id := peer.Identity{Host: member.Host, Zone: member.Zone, Region: member.Region}
			apart := inside(id) != inside(d.identity)
			if apart != (member.Reach == Unreachable) {
				return false
			}
		}
		return len(view.Members) == count
	}
}

func TestZoneCutIsKeptUnreachableAndHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.settle(15*time.Second, "complete", knowsAll(count))
		m.net.setCut(between(inZone("north-1")))
		took := m.settle(30*time.Second, "cut", seesCut(count, inZone("north-1")))
		t.Logf("cut seen after %s", took)
		assert.Assert(t, m.daemons[hostName("north", 1, 0)].View().Stale)
		assert.Assert(t, !m.daemons[hostName("north", 2, 0)].View().Stale)
		time.Sleep(time.Minute)
		m.settle(time.Second, "still cut", seesCut(count, inZone("north-1")))
		m.net.heal()
		took = m.settle(15*time.Second, "healed", knowsAll(count))
		t.Logf("healed after %s", took)
	})
}

func TestRegionCutIsKeptUnreachableAndHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.settle(15*time.Second, "complete", knowsAll(count))
		m.net.setCut(between(inRegion("south")))
		took := m.settle(30*time.Second, "cut", seesCut(count, inRegion("south")))
		t.Logf("cut seen after %s", took)
		drained := hostName("south", 1, 1)
		announce(t, m.daemons[drained], "ready")
		m.net.heal()
		took = m.settle(15*time.Second, "healed", knowsAll(count))
		t.Logf("healed after %s", took)
		m.settle(10*time.Second, "told of the target", seesTarget(drained, Ready))
	})
}

func seesReach(host string, reach Reach) func(*daemon) bool {
	return func(d *daemon) bool { return d.View().Members[host].Reach == reach }
}

func TestDeadHostBecomesUnreachableAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.settle(15*time.Second, "complete", knowsAll(count))
		host := hostName("north", 1, 2)
		m.kill(host)
		t.Logf("suspect after %s", m.settle(10*time.Second, "suspect", seesReach(host, Suspect)))
		t.Logf("unreachable after %s", m.settle(15*time.Second, "unreachable", seesReach(host, Unreachable)))
		m.start("north", "north-1", host, 2, hostName("south", 0, 0))
		t.Logf("back after %s", m.settle(10*time.Second, "complete", knowsAll(count)))
	})
}

// TestOtherPeersPreventSuspicion breaks the links of one host to its observer
// only.
func TestOtherPeersPreventSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 6, 1)
		m.settle(15*time.Second, "complete", knowsAll(6))
		observed := hostName("north", 0, 3)
		var ring []Member
		for _, member := range m.daemons[observed].View().Members {
			ring = append(ring, member)
		}
		observer := ringObservers(observed, ring)[0].Host
		m.net.setCut(func(from, to peer.Identity) bool {
			return from.Host == observer && to.Host == observed || from.Host == observed && to.Host == observer
		})
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			assert.Assert(t, m.all(seesReach(observed, Reachable)))
		}
	})
}

// TestCutDaemonAccusesNobody cuts one daemon from all others.
func TestCutDaemonAccusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 6, 1)
		m.settle(15*time.Second, "complete", knowsAll(6))
		lone := hostName("north", 0, 3)
		m.net.setCut(between(func(id peer.Identity) bool { return id.Host == lone }))
		time.Sleep(30 * time.Second)
		synctest.Wait()
		view := m.daemons[lone].View()
		assert.Assert(t, view.Stale)
		assert.Assert(t, len(m.daemons[lone].self().unreachable) == 0)
		assert.Equal(t, m.daemons[hostName("north", 0, 1)].View().Members[lone].Reach, Unreachable)
		m.net.heal()
		m.settle(10*time.Second, "complete", knowsAll(6))
		m.settle(10*time.Second, "fresh", func(d *daemon) bool { return !d.View().Stale })
	})
}

func TestSilentConnectionIsRedialled(t *testing.T) {
	for _, direction := range []string{"to the peer", "from the peer"} {
		t.Run(direction, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t)
				defer m.killAll()
				a := m.start("r", "z", "a", 1)
				m.start("r", "z", "b", 1, "a")
				m.settle(5*time.Second, "complete", knowsAll(2))
				time.Sleep(5 * time.Second)
				m.net.silence(func(from, to peer.Identity) bool {
					return (from.Host == "a") == (direction == "to the peer")
				})
				announce(t, a, "ready")
				took := m.settle(4*time.Second, "told", seesTarget("a", Ready))
				t.Logf("told after %s", took)
				m.settle(time.Second, "reachable", knowsAll(2))
			})
		})
	}
}

func TestHerdDeathAndReturnOfZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 6)
		defer m.killAll()
		m.settle(15*time.Second, "complete", knowsAll(count))
		for number := range 6 {
			m.kill(hostName("south", 2, number))
		}
		gone := func(d *daemon) bool {
			for number := range 6 {
				if d.View().Members[hostName("south", 2, number)].Reach != Unreachable {
					return false
				}
			}
			return true
		}
		t.Logf("gone after %s", m.settle(30*time.Second, "gone", gone))
		time.Sleep(time.Minute)
		m.settle(time.Second, "still gone", gone)
		m.startZone("south", 2, 6, 2)
		t.Logf("back after %s", m.settle(15*time.Second, "complete", knowsAll(count)))
	})
}

// TestRestartWithEarlierClock restarts a host whose clock stepped back.
func TestRestartWithEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 4, 1000)
		m.settle(15*time.Second, "complete", knowsAll(4))
		host := hostName("north", 0, 2)
		assert.NilError(t, m.daemons[host].Leave(t.Context()))
		m.kill(host)
		returned := m.start("north", "north-0", host, 7, hostName("north", 0, 0))
		announce(t, returned, "ready")
		m.settle(10*time.Second, "ready again", func(d *daemon) bool {
			member := d.View().Members[host]
			return member.TargetState == Ready && member.State == Alive && member.Position.Incarnation > 1000
		})
	})
}
