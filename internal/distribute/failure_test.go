package distribute

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// stabilizeTime is long enough for every daemon to reach its preferred source.
const stabilizeTime = time.Minute

// hostsOf returns the hosts of zones.
func (m *mesh) hostsOf(zones ...string) []string {
	var hosts []string
	for host, member := range m.members {
		if slices.Contains(zones, member.Zone) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// hostsOutside returns the hosts of all other zones.
func (m *mesh) hostsOutside(zones ...string) []string {
	var hosts []string
	for host, member := range m.members {
		if !slices.Contains(zones, member.Zone) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// parentOf returns the host that a daemon follows.
func (m *mesh) parentOf(host string) string {
	path := m.nodes[host].dist.state.path()
	if len(path) < 2 {
		return ""
	}
	return path[1]
}

func TestFailedSourceIsReplaced(t *testing.T) {
	failures := map[string]func(m *mesh, reader string){
		"reader dies":            func(m *mesh, reader string) { m.kill(reader) },
		"reader loses the log":   func(m *mesh, reader string) { m.log.setUnavailable(true, reader) },
		"reader is paused":       func(m *mesh, reader string) { m.t.Cleanup(m.net.pause(reader)) },
		"reader stops applying":  func(m *mesh, reader string) { m.nodes[reader].stateMachine.failOn("2") },
		"reader and log fail":    func(m *mesh, reader string) { m.kill(reader); m.interruptLog(4 * time.Second) },
		"the log answers slowly": func(m *mesh, _ string) { m.log.setSlow(time.Second) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := threeRegions(t, 6)
				m.log.add("1")
				m.startAll()
				m.waitFor(1, 10*time.Second)
				time.Sleep(stabilizeTime)
				reader := m.readerOf("ashanti")
				fail(m, reader)
				last := m.log.add("2", "3")
				m.waitForOthers(reader, last, 12*time.Second)
			})
		})
	}
}

// interruptLog makes the log unavailable for a while.
func (m *mesh) interruptLog(outage time.Duration) {
	m.log.setUnavailable(true)
	time.AfterFunc(outage, func() { m.log.setUnavailable(false) })
}

// readerOf returns the host that reads the log for a region.
func (m *mesh) readerOf(region string) string {
	for _, host := range m.logReaders() {
		if m.members[host].Region == region {
			return host
		}
	}
	m.t.Fatalf("no reader in %s", region)
	return ""
}

// waitForOthers waits for all daemons except one.
func (m *mesh) waitForOthers(but string, offset uint64, within time.Duration) {
	m.t.Helper()
	excluded := m.nodes[but]
	delete(m.nodes, but)
	m.waitFor(offset, within)
	if excluded != nil {
		m.nodes[but] = excluded
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := stableRegions(t, 6)
		reader := m.readerOf("northern")
		for host := range m.nodes {
			m.net.blackhole(reader, host)
		}
		last := m.log.add("2")
		m.waitFor(last, 6*time.Second)
		silent := 0
		for _, n := range m.nodes {
			silent += int(n.metrics.GetOrCreateCounter(`mulberrybank_sources_left_total{source="peer",cause="silent"}`).Get())
		}
		assert.Assert(t, silent > 0, "no source was left because of the idle timeout")
		// The parents have dropped the followers whose connections failed.
		time.Sleep(2 * DefaultTiming.IdleTimeout)
		followers := 0
		for _, n := range m.nodes {
			followers += n.dist.followers.count()
		}
		assert.Equal(t, followers, len(m.nodes)-len(m.logReaders()))
	})
}

func TestDialOfSilentSourceTakesNoLongerThanIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := peer.Identity{Host: "a", Zone: "z", Region: "r"}
		silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		d := New(Options{
			Self:     self,
			Enforcer: enforce.New(&fakeStateMachine{}, &eventLog{}),
			Dialer:   peer.NewDialer(self, peer.NewTrafficCounter(), silent),
			Timing:   FastTiming,
		})
		start := time.Now()
		_, err := d.openFollow(t.Context(), Source{Host: "b", Address: "b"})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		took := time.Since(start)
		assert.Assert(t, took <= FastTiming.IdleTimeout, "the dial took %s", took)
	})
}

func TestZoneCutOffFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := stableRegions(t, 6)
		// The zone cannot reach the log and can reach only one other zone.
		hosts := m.hostsOf("ashanti-a")
		m.log.setUnavailable(true, hosts...)
		m.net.partition(true, hosts, m.hostsOutside("ashanti-a", "northern-b"))
		last := m.log.add("2")
		m.waitFor(last, 30*time.Second)
	})
}

func TestRegionPartitionRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := stableRegions(t, 6)
		zones := []string{"northern-a", "northern-b"}
		cut, others := m.hostsOf(zones...), m.hostsOutside(zones...)
		m.log.setUnavailable(true, cut...)
		m.net.partition(true, cut, others)
		last := m.log.add("2")
		time.Sleep(5 * time.Minute)
		for host, n := range m.nodes {
			offset, _ := n.enforcer.Position()
			if slices.Contains(cut, host) {
				assert.Equal(t, offset, uint64(1), host)
				assert.Assert(t, n.dist.Convergence().Staleness > 4*time.Minute, "staleness of %s", host)
				continue
			}
			assert.Equal(t, offset, last, host)
		}
		m.log.setUnavailable(false, cut...)
		m.net.partition(false, cut, others)
		m.waitFor(last, time.Minute)
		time.Sleep(stabilizeTime)
		assert.Equal(t, len(m.logReaders()), 3)
	})
}

func TestZoneRestartsWhileLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := threeRegions(t, 6)
		last := m.log.add("1", "2", "3")
		m.startAll()
		m.waitFor(last, 10*time.Second)
		time.Sleep(stabilizeTime)
		m.log.setUnavailable(true)
		zone := m.hostsOf("ashanti-b")
		for _, host := range zone {
			m.kill(host)
		}
		m.start(zone...)
		m.waitFor(last, 20*time.Second)
	})
}

func TestMassStartKeepsLogReadsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := threeRegions(t, 30)
		last := m.log.add("1", "2", "3")
		m.startAll()
		m.waitFor(last, 30*time.Second)
		// Each of the three readers waits 2 s per read; other daemons read until
		// the tree has formed.
		perSecond := float64(m.log.readCount()) / 30
		assert.Assert(t, perSecond < 20, "%.1f reads a second", perSecond)
		before := m.log.readCount()
		time.Sleep(stabilizeTime)
		idle := float64(m.log.readCount()-before) / stabilizeTime.Seconds()
		assert.Assert(t, idle < 3, "%.1f reads a second when idle", idle)
	})
}

func TestLogOutageCausesFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := threeRegions(t, 20)
		last := m.log.add("1")
		m.startAll()
		m.waitFor(last, 30*time.Second)
		time.Sleep(stabilizeTime)
		m.log.setUnavailable(true)
		before, chosen := m.log.readCount(), m.sourceChoices()
		time.Sleep(2 * time.Minute)
		perSecond := float64(m.log.readCount()-before) / 120
		assert.Assert(t, perSecond < 20, "%.1f reads a second during the outage", perSecond)
		changes := float64(m.sourceChoices()-chosen) / 120 / 2
		assert.Assert(t, changes < 1, "%.1f changes of source by a daemon in a minute", changes)
		m.log.setUnavailable(false)
		m.waitFor(m.log.add("2"), time.Minute)
	})
}

// sourceChoices counts how often all daemons have chosen a source.
func (m *mesh) sourceChoices() int {
	count := 0
	for _, n := range m.nodes {
		count += n.events.count(timeline.UpstreamChosen)
	}
	return count
}

func TestExpiredOffsetResumesAtSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.options.Snapshots = SnapshotPolicy{Records: 3, Age: time.Hour}
		m.zone("greater-accra", "a", 1)
		m.log.add("1", "2", "3", "4")
		m.start("a-0")
		m.waitFor(4, 10*time.Second)
		time.Sleep(stabilizeTime)
		assert.Equal(t, m.nodes["a-0"].events.count(timeline.SnapshotWritten), 1)
		_, digest := m.nodes["a-0"].enforcer.Position()
		m.kill("a-0")
		m.log.expire(platform.ConfigurationStream, 5)
		// A newer snapshot is corrupt, another one holds an invalid state.
		m.log.put(platform.SnapshotStream, []byte("damaged"))
		invalid, err := compress([]byte("not a state"))
		assert.NilError(t, err)
		m.log.put(platform.SnapshotStream, mustMarshal(t, &CompressedSnapshot{Offset: 9, State: invalid}))
		m.start("a-0")
		m.waitFor(4, 20*time.Second)
		assert.Equal(t, m.nodes["a-0"].events.count(timeline.SnapshotSkipped), 2)
		_, restored := m.nodes["a-0"].enforcer.Position()
		assert.DeepEqual(t, restored, digest)
		m.waitFor(m.log.add("5"), 10*time.Second)
	})
}

func mustMarshal(t *testing.T, message proto.Message) []byte {
	payload, err := proto.Marshal(message)
	assert.NilError(t, err)
	return payload
}

func TestOneDaemonWritesSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := threeRegions(t, 4)
		m.options.Snapshots = SnapshotPolicy{Records: 100, Age: time.Minute}
		m.log.add("1")
		m.startAll()
		time.Sleep(6 * time.Minute)
		written := make(map[string]int)
		total := 0
		for host, n := range m.nodes {
			if count := n.events.count(timeline.SnapshotWritten); count > 0 {
				written[host] = count
				total += count
			}
		}
		assert.Equal(t, len(written), 1, "%v", written)
		assert.Assert(t, total >= 5, "%d snapshots in six minutes", total)
		// Another daemon takes over from a writer that fails.
		for host := range written {
			m.kill(host)
			m.setReachability(membership.Unreachable, host)
		}
		before := m.log.streamLength(platform.SnapshotStream)
		time.Sleep(6 * time.Minute)
		assert.Assert(t, m.log.streamLength(platform.SnapshotStream) >= before+3)
	})
}

func (l *fakeLog) streamLength(stream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams[stream])
}

func TestDivergenceIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.zone("greater-accra", "a", 2)
		m.log.add("1")
		m.startNode("a-0", &fakeStateMachine{})
		m.startNode("a-1", &fakeStateMachine{skew: 1})
		m.waitFor(1, 10*time.Second)
		time.Sleep(stabilizeTime)
		m.waitFor(m.log.add("2"), 10*time.Second)
		time.Sleep(stabilizeTime)
		for host, n := range m.nodes {
			assert.Equal(t, n.events.count(timeline.Diverged), 1, host)
		}
	})
}

func TestHeartbeatOffsetTriggersPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.zone("greater-accra", "a", 2)
		last := m.log.add("1", "2")
		m.start("a-0")
		m.waitFor(last, 10*time.Second)
		m.log.setUnavailable(true)
		// The second daemon knows no peer except from the reported offset.
		alone := map[string]membership.Member{"a-1": m.members["a-1"]}
		m.members = alone
		m.start("a-1")
		time.Sleep(time.Second)
		m.nodes["a-1"].dist.ReportPeerOffset("a-0", "a-0", last)
		m.waitFor(last, 3*time.Second)
	})
}

func TestConvergenceListsLaggingHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := stableRegions(t, 6)
		dead, stuck := "northern-b-4", "ashanti-a-5"
		m.kill(dead)
		m.setReachability(membership.Unreachable, dead)
		m.nodes[stuck].stateMachine.failOn("2")
		last := m.log.add("2")
		m.waitForOthers(stuck, last, 10*time.Second)
		time.Sleep(15 * time.Second)
		for host, n := range m.nodes {
			status := n.dist.Convergence()
			assert.Equal(t, status.Offset, last, host)
			assert.Equal(t, status.Daemons, 36, host)
			assert.Equal(t, status.Reached, 34, host)
			assert.DeepEqual(t, hostsIn(status.Lagging), []string{stuck, dead})
			assert.Assert(t, status.OldestSummaryAge < 30*time.Second, host)
		}
	})
}

func hostsIn(lagging []LaggingHost) []string {
	var hosts []string
	for _, host := range lagging {
		hosts = append(hosts, host.Host)
	}
	slices.Sort(hosts)
	return hosts
}

// TestStartAppliesOnlyNewestConfiguration guards against a replaced
// configuration becoming active after a restart of every daemon, when no daemon
// knows an offset floor. The first active configuration must be the newest of
// the log.
func TestStartAppliesOnlyNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		hosts := m.zone("greater-accra", "a", 4)
		m.log.batch = 1
		last := m.log.add("1", "2", "3", "4")
		for range 2 {
			m.start(hosts...)
			m.waitFor(last, 20*time.Second)
			for _, host := range hosts {
				assert.Equal(t, m.nodes[host].events.count(timeline.InForce), 1, host)
				m.kill(host)
			}
		}
	})
}

// TestFollowersDeferTheFirstTableWithTheirSource guards against followers that activate
// a replaced configuration which their source has only passed through.
func TestFollowersDeferTheFirstTableWithTheirSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		hosts := m.zone("greater-accra", "a", 4)
		m.start(hosts...)
		time.Sleep(10 * time.Second)
		source := m.nodes[hosts[0]]
		for _, host := range hosts {
			if m.nodes[host].dist.Source() == logSource.String() {
				source = m.nodes[host]
			}
		}
		source.enforcer.DeferFirstTable(4)
		for _, part := range [][]string{{"1", "2"}, {"3", "4"}} {
			offset, _ := source.enforcer.Position()
			var records []platform.Record
			for _, payload := range part {
				offset++
				records = append(records, platform.Record{Offset: offset, Payload: []byte(payload)})
			}
			assert.NilError(t, source.dist.applyRecords(nil, records))
			m.waitFor(offset, 30*time.Second)
			for _, host := range hosts {
				assert.Equal(t, m.nodes[host].enforcer.Table() != nil, offset == 4, host)
			}
		}
	})
}

func TestSilentExchangeIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := stableRegions(t, 4)
		for _, a := range m.logReaders() {
			for _, b := range m.logReaders() {
				m.net.blackhole(a, b)
			}
		}
		time.Sleep(exchangeIdleTimeout + 2*exchangeRetryDelay)
		m.waitFor(m.log.add("2"), 5*time.Second)
		time.Sleep(summaryRefreshInterval)
		for host, n := range m.nodes {
			assert.Equal(t, n.dist.Convergence().Reached, len(m.nodes), host)
		}
	})
}

// TestShedPullUsesAlternative exhausts the catch-up limit of one peer; the pull
// must be served by another one that the first names.
func TestShedPullUsesAlternative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.zone("greater-accra", "a", 3)
		last := m.log.add("1")
		m.start("a-0", "a-1")
		m.waitFor(last, 10*time.Second)
		m.log.setUnavailable(true)
		busy := m.nodes["a-0"].dist
		busy.catchUpLimiter.SetLimit(0)
		busy.catchUpLimiter.SetBurst(0)
		m.members = map[string]membership.Member{"a-2": m.members["a-2"]}
		m.start("a-2")
		m.nodes["a-2"].dist.ReportPeerOffset("a-0", "a-0", last)
		m.waitFor(last, 5*time.Second)
		assert.Assert(t, busy.counters.shed.Get() > 0)
	})
}

// constantAckStream is a stream on which every receive returns the same
// acknowledgement.
type constantAckStream struct{ downstreamLink }

func (constantAckStream) Recv() (ack, error) { return ack{Offset: 1}, nil }

func TestTooManyFollowersAreShed(t *testing.T) {
	m := newMesh(t)
	m.zone("greater-accra", "a", 1)
	d := m.startNode("a-0", &fakeStateMachine{}).dist
	for range maxFollowers {
		_, ok := d.followers.add(peer.Identity{Host: "other"}, ack{})
		assert.Assert(t, ok)
	}
	var shed *shedError
	err := d.serveFollower(t.Context(), peer.Identity{Host: "one more"}, constantAckStream{})
	assert.Assert(t, errors.As(err, &shed), "%v", err)
}

func TestPeerThatFollowsThisDaemonIsRefused(t *testing.T) {
	m := newMesh(t)
	m.zone("greater-accra", "a", 2)
	d := m.startNode("a-0", &fakeStateMachine{}).dist
	err := d.applyUpdate(Source{Host: "a-1"}, update{Path: []string{"a-1", "b-0", "a-0"}})
	assert.ErrorIs(t, err, errLoop)
	assert.ErrorIs(t, checkSource(catchUpResponse{Path: []string{"a-1", "a-0"}}, "a-0"), errLoop)
}

func TestStaleSourcesAreRetriedWhenTheLogRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.zone("greater-accra", "a", 3)
		d := m.startNode("a-0", &fakeStateMachine{}).dist
		sources := d.currentPlan().Sources
		selector := &sourceSelector{health: newHealthTracker(time.Now, DefaultTiming.MaxLogBackOff), stale: true}
		selector.recordStaleness(sources[0], true)
		best, _, _ := selector.choose(sources)
		assert.Assert(t, best != sources[0])
		d.state.markUpToDate(time.Now())
		best, ok := d.betterSource(selector, best)
		assert.Assert(t, ok)
		assert.Equal(t, best, sources[0])
	})
}

func TestStartWithPeersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t)
		m.zone("greater-accra", "a", 3)
		last := m.log.add("1", "2")
		m.start("a-0", "a-1")
		m.waitFor(last, 10*time.Second)
		m.log.setUnavailable(true)
		m.members = map[string]membership.Member{"a-2": m.members["a-2"]}
		m.options.Peers = []string{"nobody", "a-1"}
		m.start("a-2")
		m.waitFor(last, 10*time.Second)
		assert.Equal(t, m.parentOf("a-2"), "a-1")
	})
}
