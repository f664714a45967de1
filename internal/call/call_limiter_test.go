package call_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// The calls in progress stay within the limit, and a service whose calls never end
// leaves half of it to the others.
func TestCallLimiterLeavesRoomForOtherServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 20).Draw(t, "limit")
		l := call.NewCallLimiter(limit)
		stuck := takeAll(l, "stuck", limit)
		var held int
		for _, take := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			switch {
			case take && l.Acquire("calm"):
				held++
			case take:
				assert.Assert(t, held >= limit/2, "refused with %d of %d", held, limit)
			case held > 0:
				l.Release("calm")
				held--
			}
		}
		total := stuck + held + takeAll(l, "calm", limit) + takeAll(l, "third", limit)
		assert.Assert(t, total <= limit, "%d of %d in progress", total, limit)
	})
}

// takeAll starts as many calls of a service as are allowed.
func takeAll(l *call.CallLimiter, service string, limit int) (taken int) {
	for range 2 * limit {
		if l.Acquire(service) {
			taken++
		}
	}
	return taken
}
