package once_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// flappingDirectory shows the targets of a cluster at times only.
type flappingDirectory struct {
	cluster
	visible atomic.Bool
	changed wait.Broadcast
}

func (d *flappingDirectory) View() *membership.View {
	view := d.cluster.View()
	if !d.visible.Load() {
		view.ByService = membership.Map[[]membership.Member]{}
	}
	return view
}

func (d *flappingDirectory) Changed() <-chan struct{} { return d.changed.Wait() }

// show makes the targets visible or hides them.
func (d *flappingDirectory) show(visible bool) {
	d.visible.Store(visible)
	d.changed.Notify()
}

func TestFlappingTargetsDoNotShortenTheRetryDelayOfAdditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := cluster{size: 1, log: logservice.New(logservice.Options{})}
		directory := &flappingDirectory{cluster: c}
		d := startCluster(ctx, directory, c, nil)
		time.Sleep(time.Minute)
		assert.Assert(t, horizonOf(d) > once.DefaultHorizon/2, "there is no chain")
		c.log.SetFaults(logservice.Faults{Refuse: true})
		before := c.log.Counts().Appends
		const duration = 2 * time.Minute
		for start := time.Now(); time.Since(start) < duration; {
			directory.show(true)
			time.Sleep(5 * time.Second)
			directory.show(false)
			time.Sleep(500 * time.Millisecond)
		}
		attempts := time.Duration(c.log.Counts().Appends - before)
		assert.Assert(t, attempts > 0)
		assert.Assert(t, attempts <= duration/once.RetryDelay+1, "%d appends in %s", attempts, duration)
	})
}
