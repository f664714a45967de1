package fairqueue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)

var epoch = time.Unix(1_000_000, 0)

// request returns a request that is due some milliseconds after epoch.
func request(workspace string, weight float64, priority int, due int) Request {
	return Request{Workspace: workspace, Weight: weight, Priority: priority, Due: epoch.Add(time.Duration(due) * time.Millisecond)}
}

// popAll returns the values in the order in which they are served.
func popAll(q *Queue[string]) []string {
	var order []string
	for entry := q.Pop(); entry != nil; entry = q.Pop() {
		order = append(order, entry.Value)
	}
	return order
}

// TestPriorityComesFirst guards against a turn of a workspace that delays a more urgent
// request of another one.
func TestPriorityComesFirst(t *testing.T) {
	var q Queue[string]
	q.Push(request("wren", 1, 2, 1), "wren 2")
	q.Push(request("teal", 1, 1, 9), "teal 1a")
	q.Push(request("kite", 1, 0, 9), "kite 0")
	q.Push(request("teal", 1, 1, 8), "teal 1b")
	assert.DeepEqual(t, popAll(&q), []string{"kite 0", "teal 1b", "teal 1a", "wren 2"})
	assert.Equal(t, q.Len(), 0)
}

// TestDueTimeOrdersOneWorkspace guards against serving a request of a workspace while one
// that is due earlier waits, and against late ones before others.
func TestDueTimeOrdersOneWorkspace(t *testing.T) {
	var q Queue[string]
	late := request("wren", 1, 1, 1)
	late.Late = true
	q.Push(late, "late")
	q.Push(request("wren", 1, 1, 5), "due 5")
	q.Push(request("wren", 1, 1, 3), "due 3")
	q.Push(request("wren", 1, 1, 5), "due 5, later")
	assert.DeepEqual(t, popAll(&q), []string{"due 3", "due 5", "due 5, later", "late"})
}

// TestFloodDoesNotDelayOthers guards against a workspace with many waiting requests that
// makes others wait for all of them.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	var q Queue[string]
	for i := range 50 {
		q.Push(request("flood", 1, 1, i), "flood")
	}
	assert.Equal(t, q.Pop().Value, "flood")
	assert.Assert(t, q.Ahead(request("calm", 1, 1, 100)) <= 1)
	q.Push(request("calm", 1, 1, 100), "calm")
	q.Push(request("calm", 1, 1, 100), "calm")
	assert.Equal(t, q.Pop().Value, "calm")
	order := popAll(&q)[:4]
	assert.Assert(t, order[0] == "calm" || order[1] == "calm" || order[2] == "calm", "%v", order)
}

// TestWeightsAreServedInProportion guards against a large customer that gets no more
// than a small one.
func TestWeightsAreServedInProportion(t *testing.T) {
	var q Queue[string]
	weights := map[string]float64{"large": 4, "middle": 2, "small": 1}
	for workspace, weight := range weights {
		for i := range 200 {
			q.Push(request(workspace, weight, 1, i), workspace)
		}
	}
	served := map[string]int{}
	for range 140 {
		served[q.Pop().Value]++
	}
	for workspace, weight := range weights {
		assert.Assert(t, math.Abs(float64(served[workspace])-20*weight) <= 2, "%v", served)
	}
}

// TestIdleTimeIsNotSavedUp guards against a workspace that was idle and then crowds out
// the others.
func TestIdleTimeIsNotSavedUp(t *testing.T) {
	var q Queue[string]
	for i := range 300 {
		q.Push(request("busy", 1, 1, i), "busy")
	}
	for range 100 {
		q.Pop()
	}
	for i := range 100 {
		q.Push(request("back", 1, 1, i), "back")
	}
	served := 0
	for range 20 {
		if q.Pop().Value == "back" {
			served++
		}
	}
	assert.Assert(t, served >= 10 && served <= 10+credit+1, "%d of 20", served)
}

// TestEvictionTakesTheNewestOfTheHeaviest checks who pays when the queue is full.
func TestEvictionTakesTheNewestOfTheHeaviest(t *testing.T) {
	fill := func() *Queue[string] {
		var q Queue[string]
		q.Push(request("urgent", 1, 0, 1), "urgent")
		q.Push(request("flood", 1, 2, 9), "flood 1")
		q.Push(request("flood", 1, 2, 8), "flood 2")
		q.Push(request("flood", 1, 2, 7), "flood 3")
		q.Push(request("calm", 1, 2, 1), "calm 1")
		q.Push(request("pair", 1, 2, 1), "pair 1")
		q.Push(request("pair", 1, 2, 1), "pair 2")
		return &q
	}
	evicted := func(r Request, further int) string {
		if entry := fill().EvictFor(r, further); entry != nil {
			return entry.Value
		}
		return "none"
	}
	assert.Equal(t, evicted(request("calm", 1, 2, 1), 0), "flood 3", "the newest, not the one that is due last")
	assert.Equal(t, evicted(request("flood", 1, 2, 1), 0), "none", "the request itself is the newest of the heaviest")
	assert.Equal(t, evicted(request("pair", 1, 2, 1), 0), "none", "with it, pair has as many as flood")
	assert.Equal(t, evicted(request("flood", 1, 0, 1), 0), "flood 3", "its priority is higher")
	assert.Equal(t, evicted(request("urgent", 1, 0, 1), 0), "flood 3")
	assert.Equal(t, evicted(request("calm", 1, 3, 1), 0), "none", "every waiting request is more urgent")
	assert.Equal(t, evicted(request("large", 0.25, 2, 1), 0), "none", "one request is more than its share")
	assert.Equal(t, evicted(request("", 1, 2, 1), 1), "flood 3")
	assert.Equal(t, evicted(request("", 1, 2, 1), 2), "none", "three of its kind wait already")
	var empty Queue[string]
	assert.Assert(t, empty.EvictFor(request("calm", 1, 0, 1), 0) == nil)
}

// TestQueueKeepsItsEntries pushes, removes, evicts and pops at random. Every request must
// leave exactly once, Ahead must be exact for a request that nothing overtakes, and no
// priority may be served before a more urgent one.
func TestQueueKeepsItsEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q Queue[int]
		waiting := map[int]*Entry[int]{}
		draw := func() Request {
			workspace := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "workspace")
			weight := map[string]float64{"a": 4, "b": 1, "c": 0.5, "d": 0.01}[workspace]
			r := request(workspace, weight, rapid.IntRange(0, 2).Draw(rt, "priority"), rapid.IntRange(0, 9).Draw(rt, "due"))
			r.Late = rapid.Bool().Draw(rt, "late")
			return r
		}
		leave := func(entry *Entry[int]) {
			assert.Assert(rt, waiting[entry.Value] == entry, "%d left twice", entry.Value)
			delete(waiting, entry.Value)
		}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "pop", "remove", "evict"}).Draw(rt, "step") {
			case "push":
				waiting[i] = q.Push(draw(), i)
			case "pop":
				first, entry := q.First(), q.Pop()
				assert.Assert(rt, first == entry)
				if entry == nil {
					break
				}
				leave(entry)
				for _, other := range waiting {
					assert.Assert(rt, other.Priority >= entry.Priority)
					sameWorkspace := other.Workspace == entry.Workspace && other.Priority == entry.Priority
					assert.Assert(rt, !sameWorkspace || !other.isBefore(entry.Request))
				}
			case "remove":
				for _, entry := range waiting {
					assert.Assert(rt, q.Remove(entry))
					assert.Assert(rt, !q.Remove(entry))
					leave(entry)
					break
				}
			case "evict":
				r := draw()
				entry := q.EvictFor(r, 0)
				if entry == nil {
					break
				}
				leave(entry)
				assert.Assert(rt, entry.Priority >= r.Priority)
				for _, other := range waiting {
					assert.Assert(rt, other.Priority <= entry.Priority)
					sameWorkspace := other.Workspace == entry.Workspace && other.Priority == entry.Priority
					assert.Assert(rt, !sameWorkspace || other.arrived < entry.arrived)
				}
			}
			assert.Equal(rt, q.Len(), len(waiting))
		}
		r := draw()
		ahead := q.Ahead(r)
		last := q.Push(r, -1)
		position := 0
		for entry := q.Pop(); entry != last; entry = q.Pop() {
			position++
		}
		assert.Equal(rt, position, ahead)
	})
}

// TestIdleWorkspacesAreForgotten guards against state for every workspace that ever
// waited, with 10,000 of them.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	var q Queue[string]
	for i := range 10_000 {
		// One workspace always waits, and its turns let the virtual time pass.
		for range 4 {
			q.Push(request("busy", 1, 1, i), "busy")
		}
		q.Push(request(fmt.Sprint(i), 1, 1, i), "")
		for q.Len() > 2 {
			q.Pop()
		}
	}
	assert.Equal(t, len(q.levels), 1)
	assert.Assert(t, len(q.levels[0].flows) < 3*minPrune, "%d", len(q.levels[0].flows))
	popAll(&q)
	assert.Equal(t, len(q.levels), 0)
}

// BenchmarkQueue measures one arrival and one service with 64 requests of as many
// workspaces waiting.
func BenchmarkQueue(b *testing.B) {
	var q Queue[int]
	names := make([]string, 64)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%02d", i)
		q.Push(request(names[i], 1, 1, i), i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := request(names[i%64], 1, 1, i)
		_ = q.Ahead(r)
		q.Push(r, i)
		q.Pop()
	}
}
