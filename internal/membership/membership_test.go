package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// startZones starts a mesh of two regions with three zones each.
func startZones(t *testing.T, perZone int) (*mesh, int) {
	m := newMesh(t)
	for _, region := range []string{"north", "south"} {
		for zone := range 3 {
			m.startZone(region, zone, perZone, 1)
		}
	}
	return m, 6 * perZone
}

func hostName(region string, zone, number int) string {
	return fmt.Sprintf("%s-%d-%d", region, zone, number)
}

// startZone starts all daemons of a zone.
func (m *mesh) startZone(region string, zone, count int, incarnation uint64) {
	for number := range count {
		host := hostName(region, zone, number)
		m.start(region, fmt.Sprintf("%s-%d", region, zone), host, incarnation, hostName("north", 0, 0), hostName("south", 0, 0))
	}
}

func announce(t *testing.T, d *daemon, state string) {
	t.Helper()
	assert.NilError(t, d.Announce(Announcement{Service: "w/s", Address: "127.0.0.1:1", Slots: 4, State: state}))
}

func TestDrainingIsSeenEverywhereWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := startZones(t, 12)
		defer m.killAll()
		m.waitUntil(15*time.Second, "complete", knowsAll(count))
		for number := range 6 {
			host := hostName("south", 2, number)
			announce(t, m.daemons[host], "ready")
			m.waitUntil(2*time.Second, "ready", seesTarget(host, Ready))
			m.daemons[host].Drain()
			took := m.waitUntil(2*time.Second, "draining", seesTarget(host, Draining))
			t.Logf("draining seen by %d daemons after %s", count, took)
		}
	})
}

func seesTarget(host string, state TargetState) func(*daemon) bool {
	return func(d *daemon) bool { return d.View().Members.At(host).TargetState == state }
}

func TestExpiredLeaseTakesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		d := m.start("r", "z", "a", 1)
		announce(t, d, "ready")
		assert.Equal(t, d.View().Self.TargetState, Ready)
		time.Sleep(defaultLeaseDuration - time.Second)
		announce(t, d, "ready")
		time.Sleep(defaultLeaseDuration - time.Second)
		synctest.Wait()
		assert.Equal(t, d.View().Self.TargetState, Ready)
		m.waitUntil(2*time.Second, "draining", seesTarget("a", Draining))
		m.waitUntil(withdrawalDrainTime+time.Second, "without target", seesTarget("a", NoTarget))
		assert.Equal(t, len(d.View().ByService.At("w/s")), 0)
	})
}

func TestLeaveReachesNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		a := m.start("r", "z", "a", 1)
		b := m.start("r", "z", "b", 1, "a")
		m.waitUntil(5*time.Second, "complete", knowsAll(2))
		assert.NilError(t, b.BeginLeave(t.Context()))
		assert.Equal(t, a.stateOf("b"), Leaving)
		assert.NilError(t, b.FinishLeave(t.Context()))
		assert.Equal(t, a.stateOf("b"), Left)
		time.Sleep(viewInterval)
		synctest.Wait()
		assert.Equal(t, a.View().Members.At("b").State, Left)
	})
}

// TestFinishLeaveReachesOtherRegions shuts down a daemon that is alone in its
// region while a peer is slow to answer. FinishLeave must not return before
// the peers of other regions know.
func TestFinishLeaveReachesOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.start("north", "north-0", "a", 1)
		m.start("south", "south-0", "b", 1, "a")
		m.start("west", "west-0", "c", 1, "a")
		m.waitUntil(10*time.Second, "complete", knowsAll(3))
		time.Sleep(5 * time.Second)
		m.net.pause("a", 300*time.Millisecond)
		assert.NilError(t, m.daemons["b"].FinishLeave(t.Context()))
		assert.Equal(t, m.daemons["a"].stateOf("b"), Left)
		assert.Equal(t, m.daemons["c"].stateOf("b"), Left)
	})
}

// stateOf returns the state of a host in the daemon's table, which may be newer
// than the view.
func (d *daemon) stateOf(host string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.rows[host].state
}

func TestOffsetFloorComesFromObservers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		host := hostName("r", 0, 5)
		for number := range 8 {
			options := Options{AppliedPosition: func() (uint64, []byte) { return 40, []byte("d") }}
			options.Identity.Host = hostName("r", 0, number)
			if options.Identity.Host == host {
				options.AppliedPosition = func() (uint64, []byte) { return 41, []byte("e") }
			}
			options.Identity.Zone, options.Identity.Region = "z", "r"
			options.Identity.Incarnation = 1
			options.Seeds = []string{hostName("r", 0, 0)}
			m.startWith(options)
		}
		m.waitUntil(10*time.Second, "complete", knowsAll(8))
		time.Sleep(3 * time.Second)
		m.kill(host)
		m.kill(hostName("r", 0, 6))
		m.waitUntil(15*time.Second, "without the host", seesReachability(host, Unreachable))
		time.Sleep(10 * time.Second)
		returned := m.start("r", "z", host, 2, hostName("r", 0, 0))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		offset, answered := returned.QueryOffsetFloor(ctx)
		assert.Equal(t, offset, uint64(41))
		assert.Assert(t, answered >= 3, "answered by %d", answered)
	})
}

// TestOffsetFloorAfterZoneFailure restarts a host of which no observer is left.
func TestOffsetFloorAfterZoneFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		options := Options{AppliedPosition: func() (uint64, []byte) { return 41, []byte("d") }}
		options.Identity = peer.Identity{Host: "other", Zone: "y", Region: "r", Incarnation: 1}
		returned := m.start("r", "z", "a", 2, "other")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var offset uint64
		var answered int
		var asking conc.WaitGroup
		asking.Go(func() { offset, answered = returned.QueryOffsetFloor(ctx) })
		time.Sleep(time.Second)
		m.startWith(options)
		asking.Wait()
		assert.Equal(t, offset, uint64(41))
		assert.Equal(t, answered, 1)
	})
}
