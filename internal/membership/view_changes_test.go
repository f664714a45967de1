package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

func newTestMembership() *Membership {
	return New(Options{
		Self:            Member{Host: "self", Zone: "zone-0", Region: "region-0", CallsAddress: "10.0.0.1:1"},
		Identity:        peer.Identity{Host: "self", Zone: "zone-0", Region: "region-0", Incarnation: 5},
		Metrics:         metrics.NewSet(),
		AppliedPosition: func() (uint64, []byte) { return 1, nil },
	})
}

// drawEntry draws a new entry of a host, which may report other entries.
func drawEntry(t *rapid.T, rows map[string]*row, versions map[string]uint64) *Entry {
	number := rapid.IntRange(0, 12).Draw(t, "host")
	host := fmt.Sprintf("host-%d", number)
	versions[host]++
	e := entry{
		host: host, zone: fmt.Sprintf("zone-%d", number%3), region: "region-0",
		version:      EntryVersion{Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Counter: versions[host]},
		state:        rapid.SampledFrom([]State{Alive, Alive, Alive, Leaving, Left}).Draw(t, "state"),
		callsAddress: fmt.Sprintf("10.0.0.%d:1", rapid.SampledFrom([]int{number, number, number, 7}).Draw(t, "address")),
		service:      rapid.SampledFrom([]string{"", "w/a", "w/b"}).Draw(t, "service"),
		targetState:  rapid.SampledFrom([]TargetState{NoTarget, Ready, Ready, Draining}).Draw(t, "target"),
	}
	for range max(rapid.IntRange(-4, 2).Draw(t, "reports"), 0) {
		reported := rapid.SampledFrom(slices.Sorted(maps.Keys(rows))).Draw(t, "reported")
		e.unreachableKeys = append(e.unreachableKeys, rows[reported].entryKey)
	}
	if rapid.IntRange(0, 39).Draw(t, "silent") == 0 {
		e.silentZones = []string{"zone-1"}
	}
	return encodeEntry(&row{entry: e}, time.Now())
}

// comparableMember returns a member without the times that only a rebuild brings up to date.
func comparableMember(member Member) Member {
	member.LastHeard = time.Time{}
	return member
}

func comparableView(v *View) (members map[string]Member, services map[string][]Member) {
	members = make(map[string]Member)
	for host, member := range v.Members.All() {
		members[host] = comparableMember(member)
	}
	services = make(map[string][]Member)
	for name, targets := range v.ByService.All() {
		for _, member := range targets {
			services[name] = append(services[name], comparableMember(member))
		}
	}
	return members, services
}

// A view that takes up single changes equals one that is built anew from all rows.
func TestChangedViewEqualsRebuiltView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMembership()
		versions := make(map[string]uint64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := time.Now()
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				host := rapid.SampledFrom(slices.Sorted(maps.Keys(m.table.rows))).Draw(t, "contact")
				m.recordContact(peer.Identity{Host: host}, uint64(rapid.IntRange(0, 9).Draw(t, "offset")), nil, now)
			case 1:
				host := rapid.SampledFrom(slices.Sorted(maps.Keys(m.table.rows))).Draw(t, "failed")
				if host != "self" {
					m.failedPeers[host] = failedPeer{reachability: rapid.SampledFrom([]Reachability{Suspect, Unreachable}).Draw(t, "reach")}
					m.viewChanges.noteChange(host)
				}
			case 2:
				m.updateSelf(func(e *entry) { e.service = rapid.SampledFrom([]string{"w/a", "w/b"}).Draw(t, "own") })
			default:
				m.mergeEntries([]*Entry{drawEntry(t, m.table.rows, versions)}, "peer")
			}
			m.publishLocked(now)
			changed := m.View()
			m.publishAll(now)
			members, services := comparableView(changed)
			wantMembers, wantServices := comparableView(m.View())
			assert.DeepEqual(t, members, wantMembers)
			assert.DeepEqual(t, services, wantServices)
			assert.Equal(t, changed.Stale, m.View().Stale)
			assert.Equal(t, changed.Members.Len(), len(wantMembers))
			assert.DeepEqual(t, comparableMember(changed.Self), comparableMember(m.View().Self))
		}
	})
}

// benchServiceSize is the number of targets of a service.
const benchServiceSize = 12

// BenchmarkViewChange measures one new entry of one host until the view has it, by the
// number of members, in calm and while a host is reported as unreachable.
func BenchmarkViewChange(b *testing.B) {
	for _, count := range []int{60, 300, 1900} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchViewChange(b, count, nil) })
	}
	for _, count := range []int{60, 300, 1900} {
		gone := benchEntry(1, 1)
		b.Run(fmt.Sprintf("%d-reported", count), func(b *testing.B) { benchViewChange(b, count, []uint64{gone.key()}) })
	}
}

// benchEntry returns a version of the entry of a host.
func benchEntry(number, counter int) entry {
	return entry{
		host: fmt.Sprintf("host-%04d", number), zone: fmt.Sprintf("zone-%d", number%5), region: "region-0",
		version: EntryVersion{Incarnation: 1, Counter: uint64(counter)}, state: Alive,
		callsAddress: fmt.Sprintf("10.0.%d.%d:1", number/250, number%250),
		service:      fmt.Sprintf("w/service-%d", number/benchServiceSize), slots: counter % 8, targetState: Ready,
	}
}

func benchViewChange(b *testing.B, count int, unreachable []uint64) {
	m := newTestMembership()
	merge := func(e entry) {
		m.mergeEntries([]*Entry{encodeEntry(&row{entry: e}, time.Now())}, "peer")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.publishLocked(time.Now())
	}
	for number := range count {
		e := benchEntry(number, 1)
		if number == 0 {
			e.unreachableKeys = unreachable
		}
		merge(e)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		merge(benchEntry(2+i*7%(count-2), 2+i))
	}
}
