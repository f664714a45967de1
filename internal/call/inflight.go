package call

import (
	"context"
	"fmt"
	"sync"
)

// inflight counts the calls in progress, those that began before a drain apart
// from those that began after it.
type inflight struct {
	mu          sync.Mutex
	draining    bool
	beforeDrain int
	afterDrain  int
	drained     chan struct{}
	// keepAlivesDisabled is set when callers are asked to close their connections.
	keepAlivesDisabled bool
	// shuttingDown is set when further calls are refused; idle is closed as soon
	// as no call is in progress after that.
	shuttingDown bool
	idle         chan struct{}
}

func newInflight() *inflight {
	return &inflight{drained: make(chan struct{}), idle: make(chan struct{})}
}

// begin counts a call and returns the function that ends it.
func (f *inflight) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		f.afterDrain++
		return func() { f.end(&f.afterDrain) }
	}
	f.beforeDrain++
	return func() { f.end(&f.beforeDrain) }
}

func (f *inflight) end(count *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*count--
	if f.draining && f.beforeDrain == 0 && count == &f.beforeDrain {
		close(f.drained)
	}
	if f.shuttingDown && f.beforeDrain+f.afterDrain == 0 {
		f.closeIdle()
	}
}

func (f *inflight) closeIdle() {
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

func (f *inflight) disableKeepAlives() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepAlivesDisabled = true
}

func (f *inflight) closesConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keepAlivesDisabled || f.draining
}

func (f *inflight) isShuttingDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shuttingDown
}

// shutdown makes isShuttingDown return true and waits until no call is in
// progress.
func (f *inflight) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.shuttingDown = true
	if f.beforeDrain+f.afterDrain == 0 {
		f.closeIdle()
	}
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return fmt.Errorf("shutdown: %d calls in progress: %w", f.beforeDrain+f.afterDrain, ctx.Err())
	}
}

func (f *inflight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drain waits until the calls that began before it have ended.
func (f *inflight) drain(ctx context.Context) error {
	f.startDrain()
	select {
	case <-f.drained:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return fmt.Errorf("drain: %d calls in progress: %w", f.beforeDrain, ctx.Err())
	}
}

func (f *inflight) startDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	if f.beforeDrain == 0 {
		close(f.drained)
	}
}
