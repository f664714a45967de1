package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// drawHistory draws the versions of its entry that one host publishes, in order.
func drawHistory(t *rapid.T, host string) []entry {
	e := newEntry(Member{Host: host, Zone: "z", Region: "r"}, 1)
	versions := []entry{e}
	for range rapid.IntRange(0, 6).Draw(t, "versions of "+host) {
		switch rapid.SampledFrom([]string{"target", "leave", "restart"}).Draw(t, "writing") {
		case "target":
			e.service = "w/s"
			e.targetState = rapid.SampledFrom([]TargetState{Cold, Ready, Draining, NoTarget}).Draw(t, "target")
			e.version.Counter++
		case "leave":
			e.state = Left
			e.version.Counter++
		case "restart":
			e = newEntry(Member{Host: host, Zone: "z", Region: "r"}, e.version.Incarnation+1)
		}
		versions = append(versions, e)
	}
	return versions
}

func drawHistories(t *rapid.T) (all []entry, last map[string]entry) {
	last = make(map[string]entry)
	for number := range rapid.IntRange(1, 5).Draw(t, "hosts") {
		history := drawHistory(t, fmt.Sprintf("host-%d", number))
		all = append(all, history...)
		last[history[0].host] = history[len(history)-1]
	}
	return all, last
}

func entriesOf(table *table) map[string]entry {
	entries := make(map[string]entry)
	for host, r := range table.rows {
		entries[host] = r.entry
	}
	return entries
}

var compareEntries = gocmp.AllowUnexported(entry{}, targetHistory{}, operatorDrain{}, departedInstance{}, instanceID{})

// TestAnyOrderConverges delivers all entries in random order, some of them twice.
func TestAnyOrderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, last := drawHistories(t)
		table := newTable()
		duplicates := rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "duplicates")
		for _, e := range rapid.Permutation(append(slices.Clone(all), duplicates...)).Draw(t, "order") {
			table.merge(e, "peer", time.Time{})
		}
		assert.DeepEqual(t, entriesOf(table), last, compareEntries)
		assert.Equal(t, table.summary(), summaryOf(last))
	})
}

// summaryOf computes the summary of a table from its entries.
func summaryOf(entries map[string]entry) uint64 {
	var sum uint64
	for _, e := range entries {
		sum ^= e.key()
	}
	return sum
}

// TestVersionsNeverDecrease delivers entries with losses and checks after each
// that its host's version did not decrease and that an incarnation that left
// stays left.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, _ := drawHistories(t)
		table := newTable()
		for _, e := range rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "delivered") {
			before, known := table.rows[e.host]
			merged := table.merge(e, "peer", time.Time{})
			after := table.rows[e.host]
			if !known {
				assert.Assert(t, merged)
				continue
			}
			assert.Assert(t, !before.version.After(after.version))
			assert.Equal(t, merged, after.version.After(before.version))
			if before.state == Left && after.state != Left {
				assert.Assert(t, after.version.Incarnation > before.version.Incarnation)
			}
		}
	})
}

// TestViewNeverOffersDrainingTarget delivers entries with losses. The target
// state in the view must be that of the newest delivered entry.
func TestViewNeverOffersDrainingTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, _ := drawHistories(t)
		m := newUnconnected("self")
		latest := make(map[string]entry)
		for _, e := range rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "delivered") {
			m.mergeEntries([]*Entry{encodeEntry(&row{entry: e}, time.Time{})}, "peer")
			m.publishLocked(time.Now())
			if e.version.After(latest[e.host].version) {
				latest[e.host] = e
			}
			offered := make(map[string]TargetState)
			for _, member := range m.View().ByService.At("w/s") {
				offered[member.Host] = member.TargetState
			}
			for host, expected := range latest {
				assert.Equal(t, offered[host], expected.targetState)
			}
		}
	})
}

// TestDroppedEntriesStayDropped checks that late copies of a dropped entry do
// not bring it back.
func TestDroppedEntriesStayDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t, "host")
		table := newTable()
		for _, e := range history {
			table.merge(e, "peer", time.Time{})
		}
		table.drop("host", time.Time{})
		for _, e := range rapid.SliceOf(rapid.SampledFrom(history)).Draw(t, "late") {
			assert.Assert(t, !table.merge(e, "peer", time.Time{}))
		}
		assert.Equal(t, table.summary(), uint64(0))
		next := newEntry(Member{Host: "host"}, history[len(history)-1].version.Incarnation+1)
		assert.Assert(t, table.merge(next, "peer", time.Time{}))
	})
}

// TestChangedReturnsEachEntryOnce reads changes in batches of random size while
// new ones arrive. The reader must end up with every current entry.
func TestChangedReturnsEachEntryOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, _ := drawHistories(t)
		source, reader := newTable(), newTable()
		sent := uint64(0)
		read := func(limit int) int {
			rows, next := source.changed(sent, source.sequence, limit, func(*row) bool { return true })
			for _, r := range rows {
				assert.Assert(t, reader.merge(r.entry, "source", time.Time{}), "entry returned twice")
			}
			sent = next
			return len(rows)
		}
		for _, e := range rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "arriving") {
			source.merge(e, "peer", time.Time{})
			read(rapid.IntRange(0, 2).Draw(t, "limit"))
		}
		for read(1) > 0 {
			assert.Assert(t, sent <= source.sequence)
		}
		assert.DeepEqual(t, entriesOf(reader), entriesOf(source), compareEntries)
	})
}

// TestComparisonMakesTablesEqual lets two daemons with random tables exchange
// heartbeats, of which some answers are lost.
func TestComparisonMakesTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, last := drawHistories(t)
		a, b := newUnconnected("a"), newUnconnected("b")
		for i, e := range all {
			side := rapid.SampledFrom([]string{"a", "b", "both"}).Draw(t, fmt.Sprintf("holder of %d", i))
			if side != "b" {
				a.table.merge(e, "other", time.Time{})
			}
			if side != "a" {
				b.table.merge(e, "other", time.Time{})
			}
		}
		a.tableCompared = true
		n := &neighbour{}
		n.sentSequence = a.table.sequence
		for range rapid.IntRange(0, 5).Draw(t, "beats") {
			n.nextComparison = time.Time{}
			exchangeHeartbeat(a, b, n, rapid.Bool().Draw(t, "answer lost"))
		}
		n.nextComparison = time.Time{}
		for range 3 {
			exchangeHeartbeat(a, b, n, false)
		}
		last["a"], last["b"] = a.selfRow().entry, b.selfRow().entry
		assert.DeepEqual(t, entriesOf(a.table), last, compareEntries)
		assert.DeepEqual(t, entriesOf(b.table), last, compareEntries)
	})
}

// TestRingReachesEveryMember checks that messages forwarded along the ring
// reach all members within a bounded number of hops.
func TestRingReachesEveryMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 400).Draw(t, "size")
		hops := map[int]int{0: 0}
		furthest := 0
		for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
			for _, offset := range ringOffsets(size) {
				next := (queue[0] + offset) % size
				if _, ok := hops[next]; ok {
					continue
				}
				hops[next] = hops[queue[0]] + 1
				furthest = max(furthest, hops[next])
				queue = append(queue, next)
			}
		}
		assert.Equal(t, len(hops), size)
		assert.Assert(t, furthest <= 24, "%d hops among %d", furthest, size)
	})
}

// TestObserversAreNeighboursReversed checks that each neighbour of a member in
// the ring has that member as an observer.
func TestObserversAreNeighboursReversed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		members := make([]Member, 0, size)
		for number := range size {
			members = append(members, Member{Host: fmt.Sprintf("host-%d", number)})
		}
		for _, member := range members {
			for _, next := range ringNeighbours(member.Host, members) {
				assert.Assert(t, next.Host != member.Host)
				observers := ringObservers(next.Host, members)
				assert.Assert(t, slices.ContainsFunc(observers, func(m Member) bool { return m.Host == member.Host }))
			}
		}
	})
}

// TestNewOwnerOfAddressReplacesOld lets a host take over an address that the
// entry of an earlier host still names. The earlier one must be unreachable.
func TestNewOwnerOfAddressReplacesOld(t *testing.T) {
	id := peer.Identity{Host: "self", Zone: "z", Region: "r", Incarnation: 1}
	m := New(Options{Self: Member{Host: "self", Zone: "z", Region: "r"}, Identity: id, Dialer: peer.NewDialer(id, peer.NewTrafficCounter(), nil)})
	entryFor := func(host string, incarnation uint64) *Entry {
		return &Entry{Host: host, Zone: "z", Region: "r", Incarnation: incarnation, Counter: 1, CallsAddress: "10.0.0.7:1", ControlAddress: "10.0.0.7:2"}
	}
	m.mergeEntries([]*Entry{entryFor("earlier", 5)}, "earlier")
	m.mergeEntries([]*Entry{entryFor("later", 9)}, "later")
	m.mu.Lock()
	m.publishLocked(time.Now())
	m.mu.Unlock()
	assert.Equal(t, m.View().Members.At("earlier").Reachability, Unreachable)
	assert.Equal(t, m.View().Members.At("later").Reachability, Reachable)
}
