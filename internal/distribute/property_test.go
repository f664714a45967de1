package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// fault is one fault injected into a mesh.
type fault struct {
	Kind  string
	A, B  int
	Pause time.Duration
}

func (f fault) String() string { return fmt.Sprintf("%s(%d,%d) then %s", f.Kind, f.A, f.B, f.Pause) }

var faultKinds = []string{
	"publish", "publish", "restart", "cut", "heal", "silence", "log out", "log in", "zone out",
	"pause", "deliver", "lose", "find", "expire", "expire", "restart zone", "restart all", "damage",
}

// apply injects the fault into a mesh.
func (f fault) apply(m *mesh, hosts []string) {
	a, b := hosts[f.A%len(hosts)], hosts[f.B%len(hosts)]
	switch f.Kind {
	case "publish":
		m.log.add(fmt.Sprint(f.A, f.B))
	case "restart":
		m.restart(a)
	case "restart zone":
		m.restart(m.hostsOf(m.members[a].Zone)...)
	case "restart all":
		m.restart(hosts...)
	case "damage":
		m.log.put(platform.SnapshotStream, []byte("damaged"))
	case "cut", "heal":
		one, other := m.members[a].Zone, m.members[b].Zone
		m.net.partition(f.Kind == "cut" && one != other, m.hostsOf(one), m.hostsOf(other))
	case "silence":
		m.net.blackhole(a, b)
	case "log out", "log in":
		m.log.setUnavailable(f.Kind == "log out")
	case "zone out":
		m.log.setUnavailable(true, m.hostsOf(m.members[a].Zone)...)
	case "pause":
		time.AfterFunc(4*time.Second, m.net.pause(a))
	case "deliver":
		m.redeliver(a, f.A, f.B)
	case "lose":
		m.setReachability(membership.Unreachable, a)
	case "find":
		m.setReachability(membership.Reachable, m.hostsOf(m.members[a].Zone)...)
	case "expire":
		m.expireUpTo(a)
	}
	time.Sleep(f.Pause)
}

// restart kills daemons, checks the order of the offsets that they had active,
// and starts them with empty state.
func (m *mesh) restart(hosts ...string) {
	for _, host := range hosts {
		events := m.nodes[host].events
		m.kill(host)
		if err := events.checkMonotonic(); err != nil {
			m.failure = fmt.Errorf("%s: %w", host, err)
		}
	}
	m.start(hosts...)
}

// redeliver applies old and repeated records to a daemon.
func (m *mesh) redeliver(host string, from, to int) {
	log := &hostLog{fakeLog: m.log, host: "operator", net: m.net}
	result, _, err := log.readNow(platform.ConfigurationStream, m.log.oldestRetained(platform.ConfigurationStream))
	if err != nil || len(result.Records) == 0 {
		return
	}
	from, to = from%len(result.Records), to%len(result.Records)
	batch := slices.Clone(result.Records[min(from, to) : max(from, to)+1])
	slices.Reverse(batch)
	_ = m.nodes[host].dist.applyRecords(nil, append(batch, batch...))
}

// expireUpTo writes a snapshot of one daemon and drops the records that it
// covers.
func (m *mesh) expireUpTo(host string) {
	snap, err := m.nodes[host].dist.state.currentSnapshot()
	if err != nil || snap.Offset == 0 {
		return
	}
	m.log.put(platform.SnapshotStream, mustMarshal(m.t, snapshotToWire(snap)))
	if snap.Offset+1 > m.log.oldestRetained(platform.ConfigurationStream) {
		m.log.expire(platform.ConfigurationStream, snap.Offset+1)
	}
}

func (l *fakeLog) oldestRetained(stream string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, l.oldest[stream])
}

// clearFaults ends every fault.
func (m *mesh) clearFaults(hosts []string) {
	m.net.partition(false, hosts, hosts)
	m.log.setUnavailable(false)
	m.log.setUnavailable(false, hosts...)
	m.setReachability(membership.Reachable, hosts...)
}

// verify returns an error unless every daemon reaches an offset with the same
// digest and no daemon ever went back to an older offset.
func (m *mesh) verify(offset uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	digests := make(map[string][]string)
	for host, n := range m.nodes {
		if err := n.enforcer.Wait(ctx, offset); err != nil {
			have, _ := n.enforcer.Position()
			return fmt.Errorf("%s is at offset %d via %v: %w", host, have, n.dist.state.path(), err)
		}
		_, digest := n.enforcer.Position()
		digests[string(digest)] = append(digests[string(digest)], host)
		if err := n.events.checkMonotonic(); err != nil {
			return fmt.Errorf("%s: %w", host, err)
		}
	}
	if len(digests) != 1 {
		return fmt.Errorf("digests differ: %v", digests)
	}
	return nil
}

// checkMonotonic returns an error unless the active offsets only increase.
func (l *eventLog) checkMonotonic() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := uint64(0)
	for _, event := range l.events {
		if event.Kind != timeline.InForce {
			continue
		}
		if event.Offset <= last {
			return fmt.Errorf("offset %d activated after %d", event.Offset, last)
		}
		last = event.Offset
	}
	return nil
}

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		A:     rapid.IntRange(0, 11).Draw(t, "a"),
		B:     rapid.IntRange(0, 11).Draw(t, "b"),
		Pause: time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause")) * time.Millisecond,
	}
}

// TestMeshConvergesAfterFaults injects faults in any order and checks that
// every daemon reaches the end of the log with the same digest and never goes
// back to an older offset.
func TestMeshConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 16).Draw(rt, "steps")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t)
			for _, zone := range []string{"a", "b", "c", "d"} {
				m.zone("region-"+string("xxyy"[zone[0]-'a']), zone, 3)
			}
			hosts := m.hostsOutside()
			slices.Sort(hosts)
			m.log.add("first")
			m.startAll()
			for _, f := range faults {
				f.apply(m, hosts)
			}
			m.clearFaults(hosts)
			last := m.log.add("last")
			failure = errors.Join(m.failure, m.verify(last, 50*time.Second))
		})
		if failure != nil {
			rt.Fatalf("%v", failure)
		}
	})
}

// drawView draws a mesh as one daemon sees it.
func drawView(t *rapid.T) *membership.View {
	members := make(map[string]membership.Member)
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	for z := range zones {
		for i := range rapid.IntRange(1, 60).Draw(t, "hosts") {
			host := fmt.Sprintf("%d-%d", z, i)
			members[host] = membership.Member{
				Host: host, Zone: fmt.Sprint(z), Region: fmt.Sprint(z / 2), ControlAddress: host, State: membership.Alive,
				Reachability: rapid.SampledFrom([]membership.Reachability{0, 0, 0, membership.Suspect, membership.Unreachable}).Draw(t, "reach"),
			}
		}
	}
	return &membership.View{Members: membership.NewMap(members), Self: members["0-0"]}
}

// viewOf returns the view as another member sees it.
func viewOf(view *membership.View, host string) *membership.View {
	return &membership.View{Members: view.Members, Self: view.Members.At(host)}
}

func TestPlansFormShallowTrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		zones := rankZones(view)
		readers := make(map[string]int)
		children := make(map[string]int)
		for host, member := range view.Members.All() {
			if !canServe(member) {
				continue
			}
			plan := newSourcePlan(viewOf(view, host), nil)
			assert.Assert(t, slices.Contains(plan.Sources, logSource), "every plan contains the log")
			assert.Assert(t, !slices.ContainsFunc(plan.Sources, func(s Source) bool { return s.Host == host }))
			if plan.Sources[0].Log {
				readers[member.Region]++
			}
			children[plan.Sources[0].Host]++
		}
		for region, count := range readers {
			assert.Equal(t, count, 1, "readers of region %s", region)
		}
		for host, count := range children {
			if host == "" {
				continue
			}
			size := len(zones[view.Members.At(host).Zone])
			assert.Assert(t, count <= 10+size/2, "%s has %d children in a zone of %d", host, count, size)
		}
	})
}

// TestDifferingViewsFormNoLoop gives each daemon of a zone a different view;
// following the preferred sources must never lead back to the same daemon.
func TestDifferingViewsFormNoLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := drawView(t)
		parent := make(map[string]string)
		for host, member := range full.Members.All() {
			if member.Zone != "0" {
				continue
			}
			partial := viewOf(full, host)
			partial.Members = membership.Map[membership.Member]{}
			for other, entry := range full.Members.All() {
				if other == host || rapid.Bool().Draw(t, "known") {
					partial.Members = partial.Members.With(other, entry)
				}
			}
			first := newSourcePlan(partial, nil).Sources[0]
			if full.Members.At(first.Host).Zone == "0" && rankedBefore(first.Host, host) {
				parent[host] = first.Host
			} else if full.Members.At(first.Host).Zone == "0" && !first.Log && !newSourcePlan(partial, nil).Reader {
				t.Fatalf("%s follows %s, which ranks after it", host, first.Host)
			}
		}
		for host := range parent {
			for at, hops := host, 0; parent[at] != ""; at, hops = parent[at], hops+1 {
				assert.Assert(t, hops < len(parent), "%s is in a loop", host)
			}
		}
	})
}

func rankedBefore(a, b string) bool {
	return byScore("0", membership.Member{Host: a}, membership.Member{Host: b}) < 0
}

func TestTailIsBoundedAndWithoutGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kept tail
		kept.reset(rapid.Uint64Range(0, 5).Draw(t, "start"))
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			size := rapid.SampledFrom([]int{10, 1 << 20, 5 << 20}).Draw(t, "size")
			kept.add(platform.Record{Offset: kept.end + 1, Payload: make([]byte, size)})
		}
		assert.Assert(t, kept.bytes <= maxTailBytes || len(kept.records) == 1)
		from := rapid.Uint64Range(0, kept.end).Draw(t, "from")
		if !kept.covers(from) {
			return
		}
		for from < kept.end {
			batch := kept.recordsAfter(from, maxBatchBytes)
			assert.Assert(t, len(batch) > 0)
			for _, record := range batch {
				assert.Equal(t, record.Offset, from+1)
				assert.Assert(t, record.Payload != nil)
				from = record.Offset
			}
		}
	})
}

func TestSnapshotWithWrongOffsetIsRejected(t *testing.T) {
	m := newMesh(t)
	m.zone("greater-accra", "a", 1)
	machine := &fakeStateMachine{}
	node := m.startNode("a-0", machine)
	assert.NilError(t, node.dist.applyRecords(nil, []platform.Record{{Offset: 1}, {Offset: 2}}))
	old, err := (&fakeStateMachine{offset: 1}).Snapshot()
	assert.NilError(t, err)
	compressed, err := compress(old)
	assert.NilError(t, err)
	err = node.dist.applyRecords(&snapshot{Offset: 9, State: compressed}, nil)
	assert.Assert(t, err != nil && !errors.Is(err, errApplyStopped))
	offset, _ := node.enforcer.Position()
	assert.Equal(t, offset, uint64(2))
}
