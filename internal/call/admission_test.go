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

// stream is one source of requests at a gate.
type stream struct {
	workspace string
	interval  time.Duration
	done      int
	refused   int
	peak      int
}

// offer sends requests at constant intervals through a gate to work that takes
// a time, and counts those that end before their deadline.
func (s *stream) offer(g *call.AdmissionQueue, length, work, patience time.Duration, slots, queue int) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	results := make(chan bool, length/s.interval+1)
	for range length / s.interval {
		tasks.Go(func() {
			deadline := time.Now().Add(patience)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			if g.Acquire(ctx, s.workspace, deadline, slots, queue, patience) != nil {
				results <- false
				return
			}
			time.Sleep(work)
			g.Release(work)
			results <- time.Now().Before(deadline)
		})
		busy, _ := g.Load()
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

// At any offered load the work done in time stays near capacity, also with a
// queue so long that its end cannot be served in time, and no more runs at once
// than there are slots.
func TestGoodputAtOverload(t *testing.T) {
	const (
		slots    = 6
		work     = 10 * time.Millisecond
		patience = 50 * time.Millisecond
		length   = 10 * time.Second
		capacity = slots * int(length/work)
	)
	for _, queue := range []int{slots, 20 * slots} {
		for _, times := range []float64{0.5, 1, 2, 4} {
			t.Run(fmt.Sprintf("queue %d load %g", queue, times), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &stream{workspace: "huts", interval: time.Duration(float64(work) / slots / times)}
					s.offer(call.NewAdmissionQueue(), length, work, patience, slots, queue)
					assert.Assert(t, s.peak <= slots, "%d at once", s.peak)
					least := 0.9 * min(times, 1) * float64(capacity)
					assert.Assert(t, float64(s.done) >= least, "done %d of %d, refused %d", s.done, capacity, s.refused)
				})
			})
		}
	}
}

// Two workspaces share a target: one that floods it does not starve the other.
func TestFloodDoesNotStarveAnotherWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots = 4
			work  = 10 * time.Millisecond
		)
		g := call.NewAdmissionQueue()
		flood := &stream{workspace: "flood", interval: 500 * time.Microsecond}
		calm := &stream{workspace: "calm", interval: 10 * time.Millisecond}
		var tasks conc.WaitGroup
		tasks.Go(func() { flood.offer(g, 10*time.Second, work, 50*time.Millisecond, slots, slots) })
		tasks.Go(func() { calm.offer(g, 10*time.Second, work, 50*time.Millisecond, slots, slots) })
		tasks.Wait()
		assert.Assert(t, calm.done >= 99*(calm.done+calm.refused)/100, "calm: %d done, %d refused", calm.done, calm.refused)
		assert.Assert(t, flood.done > calm.done)
	})
}

// visit is one request at a gate.
type visit struct {
	workspace             string
	patience, work, pause time.Duration
}

// Whatever requests come, give up or leave, a gate never runs more than its
// slots nor queues more than its queue, and ends empty.
func TestGateKeepsItsBounds(t *testing.T) {
	millis := rapid.Map(rapid.IntRange(1, 30), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		queue := rapid.IntRange(0, 4).Draw(rt, "queue")
		var visits []visit
		for range rapid.IntRange(1, 40).Draw(rt, "requests") {
			visits = append(visits, visit{
				workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "workspace"),
				patience:  millis.Draw(rt, "patience"),
				work:      millis.Draw(rt, "work"),
				pause:     millis.Draw(rt, "pause") / 4,
			})
		}
		var failure string
		synctest.Test(t, func(*testing.T) { failure = visitAll(visits, slots, queue) })
		assert.Equal(rt, failure, "")
	})
}

// visitAll sends requests to a gate and returns which bound it broke.
func visitAll(visits []visit, slots, queue int) (failure string) {
	g := call.NewAdmissionQueue()
	var tasks conc.WaitGroup
	for _, one := range visits {
		tasks.Go(func() {
			deadline := time.Now().Add(one.patience)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			if g.Acquire(ctx, one.workspace, deadline, slots, queue, one.patience/2) == nil {
				time.Sleep(one.work)
				g.Release(one.work)
			}
		})
		synctest.Wait()
		busy, queued := g.Load()
		if busy > slots || queued > queue || queued > 0 && busy < slots {
			failure = fmt.Sprintf("%d of %d slots busy, %d of %d queued", busy, slots, queued, queue)
		}
		time.Sleep(one.pause)
	}
	tasks.Wait()
	if busy, queued := g.Load(); busy+queued != 0 {
		failure = fmt.Sprintf("%d busy and %d queued at the end", busy, queued)
	}
	return failure
}

// A request whose deadline the queue cannot meet is refused at once.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 10 * time.Millisecond
		g := call.NewAdmissionQueue()
		enter := func(patience time.Duration) error {
			return g.Acquire(t.Context(), "huts", time.Now().Add(patience), 1, 10, time.Minute)
		}
		assert.NilError(t, enter(time.Minute))
		g.Release(work)
		assert.NilError(t, enter(time.Minute))
		began := time.Now()
		assert.ErrorContains(t, enter(work+work/2), "deadline")
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// The most urgent waiter gets the next slot, whatever came first, and a full
// queue gives up its least urgent waiter for a more urgent request.
func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queue, patience = 2, time.Second
		g := call.NewAdmissionQueue()
		deadline := time.Now().Add(time.Minute)
		assert.NilError(t, g.AcquireAs(t.Context(), "huts", 0, deadline, 1, queue, patience))
		var tasks conc.WaitGroup
		ended := make(chan string, 8)
		wait := func(priority int) {
			tasks.Go(func() {
				err := g.AcquireAs(t.Context(), "huts", priority, deadline, 1, queue, patience)
				ended <- fmt.Sprintf("%d refused=%t", priority, err != nil)
				if err == nil {
					time.Sleep(10 * time.Millisecond)
					g.Release(10 * time.Millisecond)
				}
			})
			synctest.Wait()
		}
		wait(2)
		wait(1)
		wait(0) // The queue is full: priority 2 has to go.
		wait(2) // It is still full, and nobody in it is less urgent.
		g.Release(10 * time.Millisecond)
		tasks.Wait()
		close(ended)
		var order []string
		for each := range ended {
			order = append(order, each)
		}
		assert.DeepEqual(t, order, []string{"2 refused=true", "2 refused=true", "0 refused=false", "1 refused=false"})
	})
}

// TestFastFailuresAreNoPace lets requests fail at once: the time that a request
// takes at the target stays that of the answered ones.
func TestFastFailuresAreNoPace(t *testing.T) {
	g := call.NewAdmissionQueue()
	for range 50 {
		g.ReleaseAs(300*time.Millisecond, true)
	}
	for range 50 {
		g.ReleaseAs(time.Millisecond, false)
	}
	assert.Assert(t, g.ServiceTime() > 250*time.Millisecond)
	for range 50 {
		g.ReleaseAs(3*time.Second, false)
	}
	assert.Assert(t, g.ServiceTime() > time.Second)
}
