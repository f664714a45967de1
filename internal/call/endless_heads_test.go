package call_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// costlyHead returns the beginning of a head of a number of bytes whose lines are as
// short, and whose names as many, as they can be.
func costlyHead(bytes int) string {
	var head strings.Builder
	head.WriteString(okHead)
	for i := 0; head.Len() < bytes; i++ {
		fmt.Fprintf(&head, "%x:\n", i)
	}
	return head.String()
}

// Guards against: a target that sends a head without end takes the memory of its daemon,
// and with it the calls of everybody else there.
func TestEndlessHeadsHoldBoundedMemory(t *testing.T) {
	const calls, maxHeld = 4, 4 * 4 << 20
	for _, local := range []bool{true, false} {
		e := newEndlessMesh(t, endlessForm{start: costlyHead(60 << 10), rest: "ff:\n"}, true, local)
		before := heapBytes()
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		for range calls {
			tasks.Go(func() { _, _ = e.call(t, ctx, farDeadline) })
		}
		eventually(t, "all heads are being read", func() bool { return e.network.read.Load() >= calls*60<<10 })
		held := heapBytes() - before
		t.Logf("%d requests, %d bytes read, %d bytes held", e.target.requests.Load(), e.network.read.Load(), held)
		assert.Assert(t, held <= maxHeld, "%d bytes held", held)
		cancel()
		tasks.Wait()
		e.assertReleased(t)
	}
}
