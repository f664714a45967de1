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
	// errStreamEnded reports that the peer closed the stream.
	errStreamEnded = errors.New("peer closed the stream")
	// errLoop reports that the peer receives its records from this daemon.
	errLoop = errors.New("peer receives its records from this daemon")
	// errApplyStopped reports that a daemon cannot apply the next record.
	errApplyStopped = errors.New("applying records has stopped")
	// errBetterSource reports that a preferred source is available.
	errBetterSource = errors.New("a better source is available")
)

// sourceSelector selects the source of one daemon by the health of its sources.
type sourceSelector struct {
	mu     sync.Mutex
	health *healthTracker
	// stale is set while this daemon is cut off from the log.
	stale bool
}

// runSources uses one source after another until ctx is cancelled.
func (d *Distributor) runSources(ctx context.Context) {
	selector := &sourceSelector{health: newHealthTracker(d.now, d.timing.MaxLogBackOff)}
	for ctx.Err() == nil {
		source, delay, ok := selector.choose(d.currentPlan().Sources)
		if !ok {
			wait.For(ctx, delay)
			continue
		}
		d.events.Record(timeline.Event{Kind: timeline.UpstreamChosen, Peer: source.String()})
		err := d.useSource(ctx, selector, source)
		d.state.setUpstreamPath(nil)
		if ctx.Err() == nil {
			d.recordSourceLeft(selector, source, err)
		}
	}
}

// currentPlan returns the sources that this daemon may use with the current
// view. A daemon does not follow its own followers, and one that has stopped
// applying records leaves the log to others.
func (d *Distributor) currentPlan() sourcePlan {
	plan := newSourcePlan(d.directory.View(), d.peers)
	followerHosts := d.followers.hosts()
	stopped := d.applyStopped()
	plan.Sources = slices.DeleteFunc(plan.Sources, func(s Source) bool {
		return s.Log && stopped || followerHosts[s.Host]
	})
	return plan
}

// choose selects the source to use next.
func (s *sourceSelector) choose(sources []Source) (Source, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.retainOnly(sources)
	return s.health.choose(sources)
}

// useSource receives records from one source until it fails or a preferred one
// is available.
func (d *Distributor) useSource(parent context.Context, selector *sourceSelector, source Source) error {
	ctx, cancel := context.WithCancelCause(parent)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel(nil)
	tasks.Go(func() { d.watchSources(ctx, selector, source, cancel) })
	err := d.receiveFrom(ctx, selector, source)
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (d *Distributor) receiveFrom(ctx context.Context, selector *sourceSelector, source Source) error {
	if source.Log {
		return d.readLog(ctx, selector)
	}
	return d.follow(ctx, selector, source)
}

// watchSources ends the use of a source once a preferred one has answered a
// probe.
func (d *Distributor) watchSources(ctx context.Context, selector *sourceSelector, source Source, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(d.timing.ReselectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if better, ok := d.betterSource(selector, source); ok && d.probe(ctx, selector, better) {
			cancel(errBetterSource)
			return
		}
	}
}

// betterSource marks the current source if it has become stale and returns the
// source to use instead, if there is one.
func (d *Distributor) betterSource(selector *sourceSelector, current Source) (Source, bool) {
	next := d.currentPlan()
	stale := d.now().Sub(d.state.lastUpToDate()) > d.timing.maxStateAge(next.Reader)
	selector.mu.Lock()
	defer selector.mu.Unlock()
	if selector.stale && !stale {
		selector.health.clearStale()
	}
	selector.stale = stale
	if !current.Log && !d.applyStopped() {
		selector.health.recordStaleness(current, stale)
	}
	best, _, ok := selector.health.choose(next.Sources)
	return best, ok && best != current
}

// recordSourceLeft records why the use of a source ended.
func (d *Distributor) recordSourceLeft(selector *sourceSelector, source Source, err error) {
	if !errors.Is(err, errBetterSource) {
		selector.recordFailure(source, err)
	}
	d.counters.countSourceLeft(source, err)
	d.logger.WithError(err).Debugf("stopped using source %s", source)
}

// recordFailure backs off from a source.
func (s *sourceSelector) recordFailure(source Source, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var shed *shedError
	if errors.As(err, &shed) {
		s.health.recordShed(source, shed.retryAfter)
		return
	}
	s.health.recordFailure(source)
}

// recordStaleness records whether a source that answers is cut off from the
// log.
func (s *sourceSelector) recordStaleness(source Source, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.recordStaleness(source, stale)
}

// recordSuccess records that a source has answered.
func (s *sourceSelector) recordSuccess(source Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.recordSuccess(source)
}

// shedError reports that an overloaded peer rejected the request.
type shedError struct{ retryAfter time.Duration }

func (e *shedError) Error() string {
	return fmt.Sprintf("peer is overloaded, retry after %s", e.retryAfter)
}

// Source returns the name of this daemon's source: the host that it follows, or
// the log.
func (d *Distributor) Source() string {
	if path := d.state.path(); len(path) > 1 {
		return path[1]
	}
	return logSource.String()
}
