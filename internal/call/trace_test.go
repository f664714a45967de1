package call_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Without sampling only the events of calls that failed, were retried or carry
// a key are recorded, and those from their beginning.
func TestEventsOfCallsThatMatter(t *testing.T) {
	m := newMesh(t, 2, config(nil), sampleNothing)
	n := m.nodes[0]
	n.only(n)
	count := func(id string, kinds ...timeline.Kind) (counts []int) {
		for _, kind := range kinds {
			counts = append(counts, len(n.events.of(kind, id)))
		}
		return counts
	}
	plain := n.get(t, lookups)
	assert.DeepEqual(t, count(plain.id(), timeline.CallBegan, timeline.Sent, timeline.Ran, timeline.Answered), []int{0, 0, 0, 0})
	keyed := n.post(t, orders, "order", call.HeaderKey, newKey(t))
	assert.DeepEqual(t, count(keyed.id(), timeline.CallBegan, timeline.Sent, timeline.Ran, timeline.Answered), []int{1, 1, 1, 1})
	dead := "127.0.0.1:1"
	n.address.Store(&dead)
	failed := n.get(t, lookups)
	assert.DeepEqual(t, count(failed.id(), timeline.CallBegan, timeline.Sent, timeline.Ran, timeline.Failed), []int{1, 1, 0, 1})
	m.share()
	for range 20 {
		got := n.get(t, lookups)
		sent := count(got.id(), timeline.Sent)[0]
		assert.Assert(t, sent == 0 || sent == 2, "%d sent", sent)
	}
}

// When all targets fail, attempts stay within calls, the saved budget and the
// route's share.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		calls = 200
		saved = 10
		share = 0.2
	)
	m := newMesh(t, 3, config(nil), nil)
	dead := "127.0.0.1:1"
	for _, n := range m.nodes {
		n.address.Store(&dead)
	}
	attempts := 0
	for range calls {
		got := m.nodes[0].get(t, lookups)
		assert.Equal(t, got.outcome(), string(call.NotRun))
		attempts += len(m.nodes[0].events.of(timeline.Sent, got.id()))
	}
	assert.Assert(t, attempts > calls, "no retries")
	assert.Assert(t, attempts <= calls+saved+int(share*calls), "%d attempts", attempts)
}
