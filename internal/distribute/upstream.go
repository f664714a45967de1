package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Errors that end the use of a source.
var (
	// errSilent says that nothing arrived for too long on an open
	// connection.
	errSilent = errors.New("heartbeats stopped")
	// errEnded says that the peer ended the stream.
	errEnded = errors.New("the peer ended the stream")
	// errLoop says that the peer gets its records from this daemon.
	errLoop = errors.New("the peer follows this daemon")
	// errStopped says that a daemon cannot fold what comes next.
	errStopped = errors.New("folding has stopped")
	// errBetter says that a better source is there.
	errBetter = errors.New("a better source is there")
)

// upstream is the choice of sources of one daemon.
type upstream struct {
	mu     sync.Mutex
	health *health
	// stale is set while this daemon is cut off from the log.
	stale bool
}

// runUpstream uses one source after the other until ctx ends.
func (d *Distributor) runUpstream(ctx context.Context) {
	up := &upstream{health: newHealth(d.now, d.timing.LogHoldOff)}
	for ctx.Err() == nil {
		source, delay, ok := up.choose(d.plan().Sources)
		if !ok {
			wait.For(ctx, delay)
			continue
		}
		d.events.Record(timeline.Event{Kind: timeline.UpstreamChosen, Peer: source.String()})
		err := d.use(ctx, up, source)
		d.state.setVia(nil)
		if ctx.Err() == nil {
			d.left(up, source, err)
		}
	}
}

// plan returns where this daemon may get records from under the present view.
// A daemon does not follow its own followers, and one that has stopped folding
// leaves the log to others.
func (d *Distributor) plan() plan {
	made := makePlan(d.directory.View(), d.peers)
	following := d.followers.hosts()
	stopped := d.hasStopped()
	made.Sources = slices.DeleteFunc(made.Sources, func(s Source) bool {
		return s.Log && stopped || following[s.Host]
	})
	return made
}

// choose picks the source to use next.
func (u *upstream) choose(sources []Source) (Source, time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.forget(sources)
	return u.health.choose(sources)
}

// use gets records from one source until it fails or a better one is there.
func (d *Distributor) use(parent context.Context, up *upstream, source Source) error {
	ctx, cancel := context.WithCancelCause(parent)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel(nil)
	tasks.Go(func() { d.watchSources(ctx, up, source, cancel) })
	err := d.get(ctx, up, source)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (d *Distributor) get(ctx context.Context, up *upstream, source Source) error {
	if source.Log {
		return d.readLog(ctx, up)
	}
	return d.follow(ctx, up, source)
}

// watchSources ends the use of a source when a better one has answered.
func (d *Distributor) watchSources(ctx context.Context, up *upstream, source Source, end context.CancelCauseFunc) {
	ticker := time.NewTicker(d.timing.Reconsider)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if better, ok := d.better(up, source); ok && d.probe(ctx, up, better) {
			end(errBetter)
			return
		}
	}
}

// better marks the current source when it has grown stale and returns the
// source to use in its place, if there is one.
func (d *Distributor) better(up *upstream, current Source) (Source, bool) {
	next := d.plan()
	stale := d.now().Sub(d.state.freshness()) > d.timing.staleLimit(next.Reader)
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.stale && !stale {
		up.health.clearStale()
	}
	up.stale = stale
	if !current.Log && !d.hasStopped() {
		up.health.observe(current, stale)
	}
	best, _, ok := up.health.choose(next.Sources)
	return best, ok && best != current
}

// left notes why the use of a source ended.
func (d *Distributor) left(up *upstream, source Source, err error) {
	if !errors.Is(err, errBetter) {
		up.failed(source, err)
	}
	d.counters.left(source, err)
	d.logger.WithError(err).Debugf("Left %s.", source)
}

// failed leaves a source alone for a while.
func (u *upstream) failed(source Source, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var shed *shedError
	if errors.As(err, &shed) {
		u.health.shed(source, shed.retryAfter)
		return
	}
	u.health.failed(source)
}

// observe notes whether a source that answers is cut off from the log.
func (u *upstream) observe(source Source, stale bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.observe(source, stale)
}

// worked notes that a source has answered.
func (u *upstream) worked(source Source) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.worked(source)
}

// shedError says that a peer has too much to do.
type shedError struct{ retryAfter time.Duration }

func (e *shedError) Error() string {
	return fmt.Sprintf("the peer sheds requests for %s", e.retryAfter)
}

// Source names where this daemon gets its records from: the host it follows, or
// the log.
func (d *Distributor) Source() string {
	if path := d.state.path(); len(path) > 1 {
		return path[1]
	}
	return logSource.String()
}
