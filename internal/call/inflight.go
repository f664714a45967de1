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
	// callers and peers are the requests in progress by where they came from. Calls of
	// callers whose response has begun to arrive belong to answering in place of callers.
	callers, peers, answering abortable
	// answeringCount is the number of calls that belong to answering.
	answeringCount int
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
	return &inflight{idle: make(chan struct{}), callers: newAbortable(), peers: newAbortable(), answering: newAbortable()}
}

// callContext returns the context of a request, which ends at its deadline or, with
// the cause errStopTimeout, when the requests of its origin are aborted.
func (f *inflight) callContext(parent context.Context, origin abortable, deadline time.Time) (ctx context.Context, cancel func()) {
	ctx, call := f.abortableCall(parent, origin, deadline)
	return ctx, call.end
}

// abortableCall is callContext for a request that may move from its origin to answering.
func (f *inflight) abortableCall(parent context.Context, origin abortable, deadline time.Time) (context.Context, *abortableCall) {
	ctx, cancelCause := context.WithCancelCause(parent)
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline)
	call := &abortableCall{inflight: f, cancelCause: cancelCause, cancelDeadline: cancelDeadline}
	call.follow(origin)
	return ctx, call
}

// abortableCall is one request in progress.
type abortableCall struct {
	inflight       *inflight
	cancelCause    context.CancelCauseFunc
	cancelDeadline context.CancelFunc

	mu sync.Mutex
	// unfollow ends the relation to the abortable that the request belongs to. It
	// reports false if that was aborted.
	unfollow  func() bool
	answering bool
}

// follow makes the request end when a group of requests is aborted.
func (c *abortableCall) follow(group abortable) {
	c.unfollow = context.AfterFunc(group.aborted, func() {
		c.cancelCause(c.inflight.stopError(phaseAbort, errStopTimeout))
	})
}

// answer moves the request to answering once its response has begun to arrive: it is not
// broken off with the calls that still wait for theirs.
func (c *abortableCall) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering || !c.unfollow() {
		return
	}
	c.answering = true
	c.inflight.countAnswering(1)
	c.follow(c.inflight.answering)
}

func (c *abortableCall) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering {
		c.inflight.countAnswering(-1)
	}
	c.unfollow()
	c.cancelDeadline()
	c.cancelCause(nil)
}

func (f *inflight) countAnswering(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeringCount += change
}

// inAnswering returns the number of calls whose response has begun to arrive.
func (f *inflight) inAnswering() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeringCount
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
