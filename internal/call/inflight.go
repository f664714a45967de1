package call

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// inflight counts the calls in progress and holds the phase of a graceful stop.
type inflight struct {
	mu    sync.Mutex
	count int
	// stopBegan is when the graceful stop began, zero before it. From then on callers
	// are asked to close their connections.
	stopBegan time.Time
	// draining is set when new requests for the target are refused.
	draining bool
	// shuttingDown is set when all further calls are refused; idle is closed as soon
	// as no call is in progress after that.
	shuttingDown bool
	idle         chan struct{}
	// shutdownEnd is when the shutdown ends at the latest, zero if it has no limit.
	shutdownEnd time.Time
	// callers and peers are the requests in progress by where they came from.
	callers, peers abortable
}

// abortable are requests in progress that are aborted together.
type abortable struct {
	// aborted ends when they are.
	aborted context.Context
	abort   context.CancelFunc
}

func newAbortable() abortable {
	ctx, cancel := context.WithCancel(context.Background())
	return abortable{aborted: ctx, abort: cancel}
}

func newInflight() *inflight {
	return &inflight{idle: make(chan struct{}), callers: newAbortable(), peers: newAbortable()}
}

// callContext returns the context of a request, which ends at its deadline or, with
// the cause errStopTimeout, when the requests of its origin are aborted.
func (f *inflight) callContext(parent context.Context, origin abortable, deadline time.Time) (ctx context.Context, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(origin.aborted, func() { cancelCause(f.stopError(phaseAbort, errStopTimeout)) })
	return ctx, func() {
		stop()
		cancelDeadline()
		cancelCause(nil)
	}
}

// begin counts a call and returns the function that ends it.
func (f *inflight) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return f.end
}

func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.closeIfIdle()
}

// closeIfIdle closes idle if the server is shutting down and no call is in
// progress.
func (f *inflight) closeIfIdle() {
	if !f.shuttingDown || f.count > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

func (f *inflight) inProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *inflight) beginStop(began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopBegan = began
}

// stopError returns the error of a request that is refused or aborted in a phase of
// the stop.
func (f *inflight) stopError(phase stopPhase, cause error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &stopError{phase: phase, began: f.stopBegan, cause: cause}
}

func (f *inflight) closesConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stopBegan.IsZero() || f.draining
}

func (f *inflight) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
}

func (f *inflight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

func (f *inflight) isShuttingDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shuttingDown
}

// latestEnd returns when the shutdown ends at the latest, zero if that is not known.
func (f *inflight) latestEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shutdownEnd
}

// shutdown makes isShuttingDown return true and waits until no call is in
// progress.
func (f *inflight) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.shuttingDown = true
	f.shutdownEnd, _ = ctx.Deadline()
	f.closeIfIdle()
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		if count := f.inProgress(); count > 0 {
			return fmt.Errorf("shutdown: %d calls in progress: %w", count, ctx.Err())
		}
		return nil
	}
}
