package call_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// Long responses together leave a quarter of the link free, and a short one does not
// wait behind them.
func TestLongResponsesLeavePartOfLinkFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			linkMbps  = 8 // 1 MB/s
			length    = 500_000
			responses = 4
			burst     = 64 << 10
		)
		pacer := call.NewPacer(linkMbps)
		start := time.Now()
		var tasks conc.WaitGroup
		for range responses {
			tasks.Go(func() { assert.Check(t, call.RelayBody(t.Context(), pacer, length)) })
		}
		tasks.Go(func() {
			assert.Check(t, call.RelayBody(t.Context(), pacer, 8<<10))
			assert.Check(t, time.Since(start) == 0)
		})
		tasks.Wait()
		const least = (responses*length - burst) * time.Second / 750_000
		took := time.Since(start)
		assert.Assert(t, took >= least && took < least+least/10, "%s, at least %s", took, least)
	})
}

// Guards against: short responses that do not state their length waited for the link behind long
// ones until their deadlines, so that the work of their callers was in vain (SHORT on
// ammersee-charts-grown). A long one does not pass as short.
func TestShortResponseOfUnknownLengthIsNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := call.NewPacer(8) // 0.75 MB/s for long responses
		var tasks conc.WaitGroup
		start := time.Now()
		for range 4 {
			tasks.Go(func() { assert.Check(t, call.RelayBody(t.Context(), pacer, 500_000)) })
		}
		time.Sleep(100 * time.Millisecond)
		asked := time.Now()
		assert.NilError(t, call.RelayStream(t.Context(), pacer, 600))
		assert.Equal(t, time.Since(asked), time.Duration(0))
		tasks.Go(func() { assert.Check(t, call.RelayStream(t.Context(), pacer, 500_000)) })
		tasks.Wait()
		assert.Assert(t, time.Since(start) > 3*time.Second, "%s for 2.5 MB", time.Since(start))
	})
}

// Without a known speed of the link nothing waits.
func TestUnknownLinkIsNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.NilError(t, call.RelayBody(t.Context(), call.NewPacer(0), 50<<20))
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against: a stopping daemon left a quarter of its link unused and ended before its
// long responses did (review case 6).
func TestStopSendsLongResponsesAtSpeedOfLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length, burst = 4_000_000, 64 << 10
		pacer := call.NewPacer(8) // 1 MB/s
		start := time.Now()
		var task conc.WaitGroup
		task.Go(func() { assert.Check(t, call.RelayBody(t.Context(), pacer, length)) })
		time.Sleep(time.Second)
		call.UseWholeLink(pacer)
		task.Wait()
		const sentBefore = 750_000 + burst
		least := time.Second + (length-sentBefore)*time.Second/1_000_000
		took := time.Since(start)
		assert.Assert(t, took > least-least/10 && took < least+least/10, "%s, about %s", took, least)
	})
}

// Guards against: a response on its way was cut before its deadline, since those before it on the
// link were expected to take longer, though a client of these had gone (LOST in a hunt of
// ammersee-charts-grown).
func TestResponseIsNotCutBeforeItsDeadline(t *testing.T) {
	const (
		linkMbps = 8 // 0.75 MB/s for long responses
		length   = 100_000
		timeout  = 400 * time.Millisecond
	)
	for _, freed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			pacer := call.NewPacer(linkMbps)
			others, leave := context.WithTimeout(t.Context(), timeout)
			defer leave()
			var tasks conc.WaitGroup
			for range 20 {
				tasks.Go(func() { _ = call.RelayBody(others, pacer, length) })
			}
			synctest.Wait()
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			if freed {
				time.AfterFunc(100*time.Millisecond, leave)
				assert.NilError(t, call.RelayBody(ctx, pacer, length))
			} else {
				assert.ErrorIs(t, call.RelayBody(ctx, pacer, length), context.DeadlineExceeded)
				assert.Equal(t, time.Since(start), timeout)
				leave()
			}
			tasks.Wait()
		})
	}
}

// Guards against: responses shared the link, so that under load all of them were late together.
func TestLinkServesResponsesByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			linkMbps  = 8 // 0.75 MB/s for long responses
			length    = 300_000
			responses = 10
			least     = 6 // of 10 that have 3 s for 4 s of work
		)
		pacer := call.NewPacer(linkMbps)
		var served atomic.Int64
		var tasks conc.WaitGroup
		for number := range responses {
			tasks.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second+time.Duration(number)*time.Millisecond)
				defer cancel()
				if call.RelayBody(ctx, pacer, length) == nil {
					served.Add(1)
				}
			})
		}
		tasks.Wait()
		assert.Assert(t, served.Load() >= least, "%d of %d in time", served.Load(), responses)
	})
}
