package membership

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// TestOtherPeersPreventSuspicion breaks only the link between a host and one
// of its observers.
func TestOtherPeersPreventSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 6, 1)
		m.waitUntil(15*time.Second, "complete", knowsAll(6))
		observed := hostName("north", 0, 3)
		var ring []Member
		for _, member := range m.daemons[observed].View().Members.All() {
			ring = append(ring, member)
		}
		observer := ringObservers(observed, ring)[0].Host
		m.net.setPartition(func(from, to peer.Identity) bool {
			return from.Host == observer && to.Host == observed || from.Host == observed && to.Host == observer
		})
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			assert.Assert(t, m.all(seesReachability(observed, Reachable)))
		}
	})
}

// TestIsolatedDaemonReportsNobodyUnreachable partitions one daemon from all
// others. Its own links are at fault, so it must not report the others.
func TestIsolatedDaemonReportsNobodyUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 6, 1)
		m.waitUntil(15*time.Second, "complete", knowsAll(6))
		isolated := hostName("north", 0, 3)
		m.net.setPartition(crosses(func(id peer.Identity) bool { return id.Host == isolated }))
		time.Sleep(30 * time.Second)
		synctest.Wait()
		view := m.daemons[isolated].View()
		assert.Assert(t, view.Stale)
		assert.Assert(t, len(m.daemons[isolated].selfRow().unreachableKeys) == 0)
		assert.Equal(t, m.daemons[hostName("north", 0, 1)].View().Members.At(isolated).Reachability, Unreachable)
		m.net.heal()
		m.waitUntil(10*time.Second, "complete", knowsAll(6))
		m.waitUntil(10*time.Second, "fresh", func(d *daemon) bool { return !d.View().Stale })
	})
}

// TestPausedHostsAreNotReportedUnreachable pauses one host after another, as
// happens where processors are overloaded. No entry may change.
func TestPausedHostsAreNotReportedUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 8, 1)
		m.waitUntil(15*time.Second, "complete", knowsAll(8))
		for number := range 8 {
			m.net.pause(hostName("north", 0, number), 6*time.Second)
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				assert.Assert(t, m.all(func(d *daemon) bool { return d.View().Self.Version.Counter == 1 }))
			}
		}
		m.waitUntil(5*time.Second, "complete", knowsAll(8))
	})
}

// TestMostOfZoneFails leaves few daemons to observe many failed ones.
func TestMostOfZoneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 24, 1)
		m.startZone("north", 1, 3, 1)
		m.waitUntil(20*time.Second, "complete", knowsAll(27))
		for number := range 20 {
			m.kill(hostName("north", 0, number+4))
		}
		took := m.waitUntil(12*time.Second, "without the failed hosts", func(d *daemon) bool { return d.View().reachable() == 7 })
		t.Logf("20 failed of 24 hosts detected after %s", took)
	})
}

// TestRefutationIsRateLimited reports a daemon as unreachable repeatedly.
func TestRefutationIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newUnconnected("a")
		other := newEntry(Member{Host: "b", Zone: "z", Region: "r"}, 1)
		reportUnreachable := func() {
			other.version.Counter++
			other.unreachableKeys = []uint64{m.selfRow().entryKey}
			m.mergeEntries([]*Entry{encodeEntry(&row{entry: other}, time.Now())}, "b")
		}
		reportUnreachable()
		assert.Equal(t, m.selfRow().version.Counter, uint64(2))
		reportUnreachable()
		assert.Equal(t, m.selfRow().version.Counter, uint64(2))
		time.Sleep(refutationInterval)
		m.maintain(time.Now())
		assert.Equal(t, m.selfRow().version.Counter, uint64(3))
		time.Sleep(refutationInterval)
		m.maintain(time.Now())
		assert.Equal(t, m.selfRow().version.Counter, uint64(3))
	})
}

// TestProbesNeedSilenceOrRefusedConnection checks when helpers are asked to
// probe a host.
func TestProbesNeedSilenceOrRefusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newUnconnected("a")
		n := &neighbour{desiredPeer: desiredPeer{host: "b"}, failures: probeAfterFailures}
		m.recordContact(peer.Identity{Host: "b"}, 0, nil, time.Now())
		time.Sleep(probeAfterSilence - time.Millisecond)
		assert.Assert(t, !m.shouldProbe(n, context.DeadlineExceeded))
		assert.Assert(t, m.shouldProbe(n, fmt.Errorf("dial b: %w", syscall.ECONNREFUSED)))
		time.Sleep(time.Millisecond)
		assert.Assert(t, m.shouldProbe(n, context.DeadlineExceeded))
		n.failures = 1
		assert.Assert(t, !m.shouldProbe(n, context.DeadlineExceeded))
	})
}

// TestReportsOfUnreachableHostAreIgnored has the entry of an unreachable daemon
// list a live one as unreachable.
func TestReportsOfUnreachableHostAreIgnored(t *testing.T) {
	rows := make(map[string]*row)
	for _, host := range []string{"failed", "live", "observer"} {
		e := newEntry(Member{Host: host}, 1)
		rows[host] = &row{entry: e, entryKey: e.key()}
	}
	rows["failed"].unreachableKeys = []uint64{rows["live"].entryKey}
	rows["observer"].unreachableKeys = []uint64{rows["failed"].entryKey}
	reported := unreachableHosts(rows).hosts
	assert.DeepEqual(t, reported, map[string]bool{"failed": true})
}

// TestPausedHostBecomesUnreachable stops a process for a minute while its host
// still accepts connections.
func TestPausedHostBecomesUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		defer m.killAll()
		m.startZone("north", 0, 8, 1)
		m.waitUntil(15*time.Second, "complete", knowsAll(8))
		paused := hostName("north", 0, 3)
		m.net.pause(paused, time.Minute)
		seesPausedUnreachable := func(d *daemon) bool {
			return d.identity.Host == paused || d.View().Members.At(paused).Reachability == Unreachable
		}
		t.Logf("unreachable after %s", m.waitUntil(20*time.Second, "without the paused host", seesPausedUnreachable))
		time.Sleep(time.Minute)
		m.waitUntil(10*time.Second, "complete", knowsAll(8))
	})
}
