package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// crosses returns a filter for traffic between daemons of a group and daemons
// outside it.
func crosses(inside func(peer.Identity) bool) func(from, to peer.Identity) bool {
	return func(from, to peer.Identity) bool { return inside(from) != inside(to) }
}

func inZone(zone string) func(peer.Identity) bool {
	return func(id peer.Identity) bool { return id.Zone == zone }
}

func inRegion(region string) func(peer.Identity) bool {
	return func(id peer.Identity) bool { return id.Region == region }
}

// seesPartition returns a condition that a view holds all hosts, of which
// exactly those on the other side of a partition are unreachable.
func seesPartition(count int, inside func(peer.Identity) bool) func(*daemon) bool {
	return func(d *daemon) bool {
		view := d.View()
		for _, member := range view.Members.All() {
			id := peer.Identity{Host: member.Host, Zone: member.Zone, Region: member.Region}
			otherSide := inside(id) != inside(d.identity)
			if otherSide != (member.Reachability == Unreachable) {
				return false
			}
		}
		return view.Members.Len() == count
	}
}

func TestPartitionedZoneStaysUnreachableUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		m.net.setPartition(crosses(inZone("north-1")))
		took := m.waitUntil(30*time.Second, "partitioned", seesPartition(count, inZone("north-1")))
		t.Logf("partition seen after %s", took)
		assert.Assert(t, m.daemons[hostName("north", 1, 0)].View().Stale)
		assert.Assert(t, !m.daemons[hostName("north", 2, 0)].View().Stale)
		time.Sleep(35 * time.Second)
		m.waitUntil(time.Second, "still partitioned", seesPartition(count, inZone("north-1")))
		m.net.heal()
		took = m.waitUntil(15*time.Second, "healed", knowsAll(count))
		t.Logf("healed after %s", took)
	})
}

func TestPartitionedRegionStaysUnreachableUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		m.net.setPartition(crosses(inRegion("south")))
		took := m.waitUntil(30*time.Second, "partitioned", seesPartition(count, inRegion("south")))
		t.Logf("partition seen after %s", took)
		leaving := hostName("south", 1, 1)
		assert.NilError(t, m.daemons[leaving].BeginLeave(t.Context()))
		time.Sleep(30 * time.Second)
		m.net.heal()
		took = m.waitUntil(15*time.Second, "healed", knowsAll(count))
		t.Logf("healed after %s", took)
		m.waitUntil(3*time.Second, "aware of the leaving host", func(d *daemon) bool {
			return d.View().Members.At(leaving).State == Leaving
		})
	})
}

func seesReachability(host string, reachability Reachability) func(*daemon) bool {
	return func(d *daemon) bool { return d.View().Members.At(host).Reachability == reachability }
}

func TestKilledHostBecomesUnreachableAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 4)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		host := hostName("north", 1, 2)
		m.kill(host)
		time.Sleep(suspicionTimeout - 500*time.Millisecond)
		synctest.Wait()
		suspecting := 0
		for _, d := range m.daemons {
			reachability := d.View().Members.At(host).Reachability
			assert.Assert(t, reachability != Unreachable)
			if reachability == Suspect {
				suspecting++
			}
		}
		assert.Equal(t, suspecting, ringDegree)
		t.Logf("unreachable after %s", m.waitUntil(15*time.Second, "unreachable", seesReachability(host, Unreachable)))
		m.start("north", "north-1", host, 2, hostName("south", 0, 0))
		t.Logf("back after %s", m.waitUntil(10*time.Second, "complete", knowsAll(count)))
	})
}

func TestWholeZoneFailsAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 6)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		for number := range 6 {
			m.kill(hostName("south", 2, number))
		}
		gone := func(d *daemon) bool {
			for number := range 6 {
				if d.View().Members.At(hostName("south", 2, number)).Reachability != Unreachable {
					return false
				}
			}
			return true
		}
		t.Logf("gone after %s", m.waitUntil(30*time.Second, "gone", gone))
		time.Sleep(35 * time.Second)
		m.waitUntil(time.Second, "still gone", gone)
		m.startZone("south", 2, 6, 2)
		t.Logf("back after %s", m.waitUntil(15*time.Second, "complete", knowsAll(count)))
	})
}

// TestRestartWithEarlierClock restarts a host whose clock was set back. Its
// new entries have a lower incarnation and must still supersede the old ones.
func TestRestartWithEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 4, 1000)
		m.waitUntil(15*time.Second, "complete", knowsAll(4))
		host := hostName("north", 0, 2)
		assert.NilError(t, m.daemons[host].BeginLeave(t.Context()))
		m.kill(host)
		returned := m.start("north", "north-0", host, 7, hostName("north", 0, 0))
		announce(t, returned, "ready")
		m.waitUntil(10*time.Second, "ready again", func(d *daemon) bool {
			member := d.View().Members.At(host)
			return member.TargetState == Ready && member.State == Alive && member.Version.Incarnation > 1000
		})
	})
}

// zone returns the members of a zone.
func (v *View) zone(name string) []Member {
	var members []Member
	for _, member := range v.Members.All() {
		if member.Zone == name {
			members = append(members, member)
		}
	}
	return members
}

// TestFirstHostOfRestartedZoneStaysReachable restarts only one daemon of a
// failed zone, the last in the order of bridges. It must not be taken for
// unreachable while the bridges of higher rank are gone.
func TestFirstHostOfRestartedZoneStaysReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 8)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		zone := m.daemons[hostName("north", 0, 0)].View().zone("south-2")
		first := bridgeOrder(zone)[7].Host
		for _, member := range zone {
			m.kill(member.Host)
		}
		m.waitUntil(30*time.Second, "without the zone", seesReachability(first, Unreachable))
		m.start("south", "south-2", first, 2, hostName("north", 0, 0), hostName("south", 0, 0))
		m.waitUntil(10*time.Second, "in contact with the first host", seesReachability(first, Reachable))
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			assert.Assert(t, m.all(seesReachability(first, Reachable)))
		}
		m.waitUntil(time.Second, "without the failed hosts", func(d *daemon) bool { return d.View().reachable() == count-7 })
	})
}

// TestDrainingDuringFaults drains a target just after one zone was partitioned,
// a process was paused and all open connections of another host stopped
// passing bytes. All daemons not affected must see it within two seconds.
func TestDrainingDuringFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 8)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		host := hostName("south", 2, 3)
		announce(t, m.daemons[host], "ready")
		m.waitUntil(2*time.Second, "ready", seesTarget(host, Ready))
		paused := hostName("north", 0, 1)
		blackholed := hostName("south", 2, 5)
		m.net.setPartition(crosses(inZone("north-1")))
		m.net.pause(paused, 5*time.Second)
		m.net.blackhole(func(from, _ peer.Identity) bool { return from.Host == blackholed })
		m.daemons[host].Drain()
		took := m.waitUntil(2*time.Second, "draining", func(d *daemon) bool {
			affected := d.identity.Zone == "north-1" || d.identity.Host == paused || d.identity.Host == blackholed
			return affected || seesTarget(host, Draining)(d)
		})
		t.Logf("draining seen after %s", took)
		m.waitUntil(30*time.Second, "partitioned", seesPartition(count, inZone("north-1")))
		m.net.heal()
		m.waitUntil(30*time.Second, "complete", knowsAll(count))
	})
}

// TestBothBridgesFail drains a target at the moment when both bridges of its
// zone fail.
func TestBothBridgesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 8)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		order := bridgeOrder(m.daemons[hostName("south", 2, 0)].View().zone("south-2"))
		host := order[5].Host
		announce(t, m.daemons[host], "ready")
		m.waitUntil(2*time.Second, "ready", seesTarget(host, Ready))
		m.kill(order[0].Host)
		m.kill(order[1].Host)
		m.daemons[host].Drain()
		took := m.waitUntil(3*time.Second, "draining", seesTarget(host, Draining))
		t.Logf("draining seen after %s", took)
	})
}
