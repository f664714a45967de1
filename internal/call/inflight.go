package call

import (
	"context"
	"fmt"
	"sync"
)

// inflight counts calls in progress, those from before a drain apart from
// those that came after.
type inflight struct {
	mu       sync.Mutex
	draining bool
	before   int
	after    int
	empty    chan struct{}
	// closing is set when callers are asked to close their connections.
	closing bool
	// ending is set when later calls are refused; idle is closed when none of
	// any kind is in progress then.
	ending bool
	idle   chan struct{}
}

func newInflight() *inflight {
	return &inflight{empty: make(chan struct{}), idle: make(chan struct{})}
}

// begin counts a call and returns what ends it.
func (f *inflight) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		f.after++
		return func() { f.end(&f.after) }
	}
	f.before++
	return func() { f.end(&f.before) }
}

func (f *inflight) end(count *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*count--
	if f.draining && f.before == 0 && count == &f.before {
		close(f.empty)
	}
	if f.ending && f.before+f.after == 0 {
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

func (f *inflight) setClosing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = true
}

func (f *inflight) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing || f.draining
}

func (f *inflight) isEnding() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending
}

// finish makes isEnding true and returns when no call is in progress.
func (f *inflight) finish(ctx context.Context) error {
	f.mu.Lock()
	f.ending = true
	if f.before+f.after == 0 {
		f.closeIdle()
	}
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return fmt.Errorf("finish: %d calls in progress: %w", f.before+f.after, ctx.Err())
	}
}

func (f *inflight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drain returns when the calls that had begun before it have ended.
func (f *inflight) drain(ctx context.Context) error {
	f.start()
	select {
	case <-f.empty:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return fmt.Errorf("drain: %d calls in progress: %w", f.before, ctx.Err())
	}
}

func (f *inflight) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	if f.before == 0 {
		close(f.empty)
	}
}
