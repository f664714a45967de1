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
	// errIdleTimeout says that nothing arrived for too long on an open
	// connection.
	errIdleTimeout = errors.New("heartbeats stopped")
	// errStreamEnded says that the peer ended the stream.
	errStreamEnded = errors.New("the peer ended the stream")
	// errLoop says that the peer gets its records from this daemon.
	errLoop = errors.New("the peer follows this daemon")
	// errApplyStopped says that a daemon cannot fold what comes next.
	errApplyStopped = errors.New("folding has stopped")
	// errBetterSource says that a better source is there.
	errBetterSource = errors.New("a better source is there")
)

// upstream is the choice of sources of one daemon.
type upstream struct {
	mu     sync.Mutex
	health *healthTracker
	// stale is set while this daemon is cut off from the log.
	stale bool
}

// runUpstream uses one source after the other until ctx ends.
func (d *Distributor) runUpstream(ctx context.Context) {
	up := &upstream{health: newHealthTracker(d.now, d.timing.MaxLogBackOff)}
	for ctx.Err() == nil {
		source, delay, ok := up.choose(d.currentPlan().Sources)
		if !ok {
			wait.For(ctx, delay)
			continue
		}
		d.events.Record(timeline.Event{Kind: timeline.UpstreamChosen, Peer: source.String()})
		err := d.useSource(ctx, up, source)
		d.state.setUpstreamPath(nil)
		if ctx.Err() == nil {
			d.recordSourceLeft(up, source, err)
		}
	}
}

// currentPlan returns where this daemon may get records from under the present view.
// A daemon does not follow its own followers, and one that has stopped folding
// leaves the log to others.
func (d *Distributor) currentPlan() sourcePlan {
	made := newSourcePlan(d.directory.View(), d.peers)
	following := d.followers.hosts()
	stopped := d.applyStopped()
	made.Sources = slices.DeleteFunc(made.Sources, func(s Source) bool {
		return s.Log && stopped || following[s.Host]
	})
	return made
}

// choose picks the source to use next.
func (u *upstream) choose(sources []Source) (Source, time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.retainOnly(sources)
	return u.health.choose(sources)
}

// useSource gets records from one source until it fails or a better one is there.
func (d *Distributor) useSource(parent context.Context, up *upstream, source Source) error {
	ctx, cancel := context.WithCancelCause(parent)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel(nil)
	tasks.Go(func() { d.watchSources(ctx, up, source, cancel) })
	err := d.receiveFrom(ctx, up, source)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (d *Distributor) receiveFrom(ctx context.Context, up *upstream, source Source) error {
	if source.Log {
		return d.readLog(ctx, up)
	}
	return d.follow(ctx, up, source)
}

// watchSources ends the use of a source when a better one has answered.
func (d *Distributor) watchSources(ctx context.Context, up *upstream, source Source, end context.CancelCauseFunc) {
	ticker := time.NewTicker(d.timing.ReselectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if better, ok := d.betterSource(up, source); ok && d.probe(ctx, up, better) {
			end(errBetterSource)
			return
		}
	}
}

// betterSource marks the current source when it has grown stale and returns the
// source to use in its place, if there is one.
func (d *Distributor) betterSource(up *upstream, current Source) (Source, bool) {
	next := d.currentPlan()
	stale := d.now().Sub(d.state.lastUpToDate()) > d.timing.maxStateAge(next.Reader)
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.stale && !stale {
		up.health.clearStale()
	}
	up.stale = stale
	if !current.Log && !d.applyStopped() {
		up.health.recordStaleness(current, stale)
	}
	best, _, ok := up.health.choose(next.Sources)
	return best, ok && best != current
}

// recordSourceLeft notes why the use of a source ended.
func (d *Distributor) recordSourceLeft(up *upstream, source Source, err error) {
	if !errors.Is(err, errBetterSource) {
		up.recordFailure(source, err)
	}
	d.counters.countSourceLeft(source, err)
	d.logger.WithError(err).Debugf("Left %s.", source)
}

// recordFailure leaves a source alone for a while.
func (u *upstream) recordFailure(source Source, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var shed *shedError
	if errors.As(err, &shed) {
		u.health.recordShed(source, shed.retryAfter)
		return
	}
	u.health.recordFailure(source)
}

// recordStaleness notes whether a source that answers is cut off from the log.
func (u *upstream) recordStaleness(source Source, stale bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.recordStaleness(source, stale)
}

// recordSuccess notes that a source has answered.
func (u *upstream) recordSuccess(source Source) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.health.recordSuccess(source)
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
