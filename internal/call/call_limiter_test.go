package call_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// Calls in progress stay within the limit, and a service whose calls never end
// leaves half of it to the others.
func TestSharesLeaveRoomForOtherServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 20).Draw(t, "limit")
		s := call.NewCallLimiter(limit)
		stuck := takeAll(s, "stuck", limit)
		var held int
		for _, take := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			switch {
			case take && s.Acquire("calm"):
				held++
			case take:
				assert.Assert(t, held >= limit/2, "refused with %d of %d", held, limit)
			case held > 0:
				s.Release("calm")
				held--
			}
		}
		total := stuck + held + takeAll(s, "calm", limit) + takeAll(s, "third", limit)
		assert.Assert(t, total <= limit, "%d of %d in progress", total, limit)
	})
}

// takeAll takes as many calls of a service as may go on.
func takeAll(s *call.CallLimiter, service string, limit int) (taken int) {
	for range 2 * limit {
		if s.Acquire(service) {
			taken++
		}
	}
	return taken
}
