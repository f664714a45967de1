package call_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/call/ratetest"
)

// sentRequests collects when requests got a slot.
type sentRequests struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *sentRequests) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
}

// offer sends requests to an instance at constant intervals and returns when each got a
// slot.
func offer(a *call.AdmissionQueue, instance string, duration, interval, work time.Duration, slots int) []time.Time {
	var sent sentRequests
	var tasks conc.WaitGroup
	for range duration / interval {
		tasks.Go(func() {
			deadline := time.Now().Add(2 * time.Second)
			if a.AcquireFor(context.Background(), instance, deadline, slots, 64) != nil {
				return
			}
			sent.add()
			time.Sleep(work)
			a.Release(work)
		})
		time.Sleep(interval)
	}
	tasks.Wait()
	return sent.times
}

func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	const (
		slots    = 18
		work     = 50 * time.Millisecond
		duration = 20 * time.Second
	)
	for _, rate := range []float64{0, 0.3, 1, 7.5, 33.3, 200} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := call.NewAdmissionQueue()
				offer(a, "i-1", time.Second, time.Millisecond, work, slots)
				a.SetRateLimit("i-1", call.RateLimit{Limited: true, PerSecond: rate})
				times := offer(a, "i-1", duration, 2*time.Millisecond, work, slots)
				most := ratetest.MostInWindow(times)
				assert.Assert(t, most <= ratetest.Allowed(rate), "%d in a window", most)
				assert.Assert(t, float64(len(times)) >= 0.9*rate*duration.Seconds(), "%d in all", len(times))
			})
		})
	}
}

func TestQueuedRequestIsSentOnceTheRateLimitAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := call.NewAdmissionQueue()
		assert.NilError(t, a.AcquireFor(t.Context(), "i-1", time.Now().Add(time.Minute), 4, 4))
		a.SetRateLimit("i-1", call.RateLimit{Limited: true, PerSecond: 2})
		start := time.Now()
		for range 2 {
			assert.NilError(t, a.AcquireFor(t.Context(), "i-1", time.Now().Add(time.Minute), 4, 4))
		}
		assert.Equal(t, time.Since(start).Round(time.Millisecond), time.Second)
	})
}

func TestRateLimitEndsWithItsNameOrItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, end := range map[string]func(a *call.AdmissionQueue) string{
			"not named": func(a *call.AdmissionQueue) string {
				a.SetRateLimit("i-1", call.RateLimit{})
				return "i-1"
			},
			"other instance": func(*call.AdmissionQueue) string { return "i-2" },
		} {
			a := call.NewAdmissionQueue()
			assert.NilError(t, a.AcquireFor(t.Context(), "i-1", time.Now().Add(time.Minute), 4, 4))
			a.SetRateLimit("i-1", call.RateLimit{Limited: true, PerSecond: 1})
			instance := end(a)
			a.Release(time.Millisecond)
			start := time.Now()
			for range 4 {
				assert.NilError(t, a.AcquireFor(t.Context(), instance, time.Now().Add(time.Minute), 4, 4))
			}
			assert.Equal(t, time.Since(start), time.Duration(0), name)
			a.SetRateLimit("i-0", call.RateLimit{Limited: true, PerSecond: 1})
			for range 4 {
				a.Release(time.Millisecond)
			}
			assert.NilError(t, a.AcquireFor(t.Context(), instance, time.Now().Add(time.Minute), 4, 4))
			assert.Equal(t, time.Since(start), time.Duration(0), "%s: the limit of an earlier instance holds", name)
		}
	})
}

func TestLimitedTargetReportsTheSlotsThatItCanUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 100 * time.Millisecond
		a := call.NewAdmissionQueue()
		offer(a, "i-1", time.Second, 10*time.Millisecond, work, 18)
		assert.Equal(t, a.UsableSlots(), 18)
		a.SetRateLimit("i-1", call.RateLimit{Limited: true, PerSecond: 25})
		assert.Equal(t, a.UsableSlots(), 3)
		a.SetRateLimit("i-1", call.RateLimit{Limited: true, PerSecond: 0})
		assert.Equal(t, a.UsableSlots(), 1)
	})
}
