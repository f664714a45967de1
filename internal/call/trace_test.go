package call_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Without sampling, only the events of calls that fail, are retried or carry a key
// are recorded, including those from before the failure.
func TestEventsOfUnsampledCalls(t *testing.T) {
	m := newMesh(t, 2, config(nil), withoutSampling)
	n := m.nodes[0]
	n.routeOnlyTo(n)
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
	m.shareView()
	for range 20 {
		got := n.get(t, lookups)
		sent := count(got.id(), timeline.Sent)[0]
		assert.Assert(t, sent == 0 || sent == 2, "%d sent", sent)
	}
}

// If all targets fail, the attempts stay within the calls, the burst of the retry
// budget and the route's ratio.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		calls = 200
		burst = 10
		ratio = 0.2
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
	assert.Assert(t, attempts <= calls+burst+int(ratio*calls), "%d attempts", attempts)
}
