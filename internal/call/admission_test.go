package call_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// requestSource is one source of requests to an admission queue.
type requestSource struct {
	workspace string
	interval  time.Duration
	done      int
	refused   int
	peak      int
}

// run sends requests at constant intervals through an admission queue, each
// holding its slot for the time work, and counts those that end before their
// deadline.
func (s *requestSource) run(a *call.AdmissionQueue, duration, work, timeout time.Duration, slots, queue int) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	results := make(chan bool, duration/s.interval+1)
	for range duration / s.interval {
		tasks.Go(func() {
			deadline := time.Now().Add(timeout)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			if a.Acquire(ctx, s.workspace, deadline, slots, queue, timeout) != nil {
				results <- false
				return
			}
			time.Sleep(work)
			a.Release(work)
			results <- time.Now().Before(deadline)
		})
		busy, _ := a.Load()
		s.peak = max(s.peak, busy)
		time.Sleep(s.interval)
	}
	tasks.Wait()
	close(results)
	for done := range results {
		if done {
			s.done++
		} else {
			s.refused++
		}
	}
}

// At any offered load the requests that end in time stay near capacity, even if
// the queue is too long for its last request to meet its deadline, and no more run
// at once than there are slots.
func TestGoodputAtOverload(t *testing.T) {
	const (
		slots    = 6
		work     = 10 * time.Millisecond
		timeout  = 50 * time.Millisecond
		duration = 10 * time.Second
		capacity = slots * int(duration/work)
	)
	for _, queue := range []int{slots, 20 * slots} {
		for _, factor := range []float64{0.5, 1, 2, 4} {
			t.Run(fmt.Sprintf("queue %d load %g", queue, factor), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &requestSource{workspace: "huts", interval: time.Duration(float64(work) / slots / factor)}
					s.run(call.NewAdmissionQueue(), duration, work, timeout, slots, queue)
					assert.Assert(t, s.peak <= slots, "%d at once", s.peak)
					least := 0.9 * min(factor, 1) * float64(capacity)
					assert.Assert(t, float64(s.done) >= least, "done %d of %d, refused %d", s.done, capacity, s.refused)
				})
			})
		}
	}
}

// Two workspaces share a target: the one that floods it does not starve the other.
func TestFloodDoesNotStarveAnotherWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots = 4
			work  = 10 * time.Millisecond
		)
		a := call.NewAdmissionQueue()
		flood := &requestSource{workspace: "flood", interval: 500 * time.Microsecond}
		calm := &requestSource{workspace: "calm", interval: 10 * time.Millisecond}
		var tasks conc.WaitGroup
		tasks.Go(func() { flood.run(a, 10*time.Second, work, 50*time.Millisecond, slots, slots) })
		tasks.Go(func() { calm.run(a, 10*time.Second, work, 50*time.Millisecond, slots, slots) })
		tasks.Wait()
		assert.Assert(t, calm.done >= 99*(calm.done+calm.refused)/100, "calm: %d done, %d refused", calm.done, calm.refused)
		assert.Assert(t, flood.done > calm.done)
	})
}

// queuedRequest is one request to an admission queue.
type queuedRequest struct {
	workspace            string
	timeout, work, pause time.Duration
}

// Whatever requests arrive, time out or end, an admission queue never runs more
// than its slots nor queues more than its limit, and is empty at the end.
func TestAdmissionQueueKeepsItsLimits(t *testing.T) {
	millis := rapid.Map(rapid.IntRange(1, 30), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		queue := rapid.IntRange(0, 4).Draw(rt, "queue")
		var requests []queuedRequest
		for range rapid.IntRange(1, 40).Draw(rt, "requests") {
			requests = append(requests, queuedRequest{
				workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "workspace"),
				timeout:   millis.Draw(rt, "patience"),
				work:      millis.Draw(rt, "work"),
				pause:     millis.Draw(rt, "pause") / 4,
			})
		}
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runRequests(requests, slots, queue) })
		assert.Equal(rt, failure, "")
	})
}

// runRequests sends requests to an admission queue and returns which limit it
// violated.
func runRequests(requests []queuedRequest, slots, queue int) (failure string) {
	a := call.NewAdmissionQueue()
	var tasks conc.WaitGroup
	for _, one := range requests {
		tasks.Go(func() {
			deadline := time.Now().Add(one.timeout)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			if a.Acquire(ctx, one.workspace, deadline, slots, queue, one.timeout/2) == nil {
				time.Sleep(one.work)
				a.Release(one.work)
			}
		})
		synctest.Wait()
		busy, queued := a.Load()
		if busy > slots || queued > queue || queued > 0 && busy < slots {
			failure = fmt.Sprintf("%d of %d slots busy, %d of %d queued", busy, slots, queued, queue)
		}
		time.Sleep(one.pause)
	}
	tasks.Wait()
	if busy, queued := a.Load(); busy+queued != 0 {
		failure = fmt.Sprintf("%d busy and %d queued at the end", busy, queued)
	}
	return failure
}

// A request whose deadline the queue cannot meet is refused immediately.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 10 * time.Millisecond
		a := call.NewAdmissionQueue()
		acquire := func(timeout time.Duration) error {
			return a.Acquire(t.Context(), "huts", time.Now().Add(timeout), 1, 10, time.Minute)
		}
		assert.NilError(t, acquire(time.Minute))
		a.Release(work)
		assert.NilError(t, acquire(time.Minute))
		start := time.Now()
		assert.ErrorContains(t, acquire(work+work/2), "deadline")
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// The waiter of the highest priority gets the next slot, in whatever order they
// arrived, and a full queue refuses its waiter of the lowest priority for a
// request of a higher one.
func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queue, timeout = 2, time.Second
		a := call.NewAdmissionQueue()
		deadline := time.Now().Add(time.Minute)
		assert.NilError(t, a.AcquireAs(t.Context(), "huts", 0, deadline, 1, queue, timeout))
		var tasks conc.WaitGroup
		ended := make(chan string, 8)
		wait := func(priority int) {
			tasks.Go(func() {
				err := a.AcquireAs(t.Context(), "huts", priority, deadline, 1, queue, timeout)
				ended <- fmt.Sprintf("%d refused=%t", priority, err != nil)
				if err == nil {
					time.Sleep(10 * time.Millisecond)
					a.Release(10 * time.Millisecond)
				}
			})
			synctest.Wait()
		}
		wait(2)
		wait(1)
		wait(0) // The queue is full: the waiter of priority 2 is refused.
		wait(2) // The queue is still full, and no waiter has a lower priority.
		a.Release(10 * time.Millisecond)
		tasks.Wait()
		close(ended)
		var order []string
		for each := range ended {
			order = append(order, each)
		}
		assert.DeepEqual(t, order, []string{"2 refused=true", "2 refused=true", "0 refused=false", "1 refused=false"})
	})
}

// TestFastFailuresDoNotLowerServiceTime lets requests fail immediately: the mean
// service time stays that of the requests that succeeded. Failures that take
// longer than the mean raise it.
func TestFastFailuresDoNotLowerServiceTime(t *testing.T) {
	a := call.NewAdmissionQueue()
	for range 50 {
		a.ReleaseAs(300*time.Millisecond, true)
	}
	for range 50 {
		a.ReleaseAs(time.Millisecond, false)
	}
	assert.Assert(t, a.ServiceTime() > 250*time.Millisecond)
	for range 50 {
		a.ReleaseAs(3*time.Second, false)
	}
	assert.Assert(t, a.ServiceTime() > time.Second)
}
