package call

import (
	"context"
	"slices"
	"sync"
	"time"
)

// turns lets one task at a time do something, that with the earliest deadline first and the
// earlier one of those with the same. The zero value is ready to use.
type turns struct {
	mu      sync.Mutex
	taken   bool
	waiting []*turn
}

// turn is a task that waits.
type turn struct {
	// deadline is zero if it has none.
	deadline time.Time
	granted  chan struct{}
}

// before reports whether the turn comes before another that began to wait later.
func (t *turn) before(later *turn) bool {
	return later.deadline.IsZero() || !t.deadline.IsZero() && !t.deadline.After(later.deadline)
}

// acquire waits for the turn and reports true, or false if ctx ended before. The caller that got
// it calls release.
func (t *turns) acquire(ctx context.Context) bool {
	own := t.enqueue(ctx)
	select {
	case <-own.granted:
		return true
	case <-ctx.Done():
		t.leave(own)
		return false
	}
}

func (t *turns) enqueue(ctx context.Context) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline, _ := ctx.Deadline()
	own := &turn{deadline: deadline, granted: make(chan struct{})}
	if !t.taken {
		t.taken = true
		close(own.granted)
		return own
	}
	at := len(t.waiting)
	for at > 0 && !t.waiting[at-1].before(own) {
		at--
	}
	t.waiting = slices.Insert(t.waiting, at, own)
	return own
}

// leave ends the wait of a turn, or passes it on if it was granted meanwhile.
func (t *turns) leave(own *turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := slices.Index(t.waiting, own); at >= 0 {
		t.waiting = slices.Delete(t.waiting, at, at+1)
		return
	}
	t.passOn()
}

func (t *turns) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passOn()
}

// passOn grants the turn to the first that waits. The caller holds the mutex.
func (t *turns) passOn() {
	t.taken = len(t.waiting) > 0
	if t.taken {
		close(t.waiting[0].granted)
		t.waiting = slices.Delete(t.waiting, 0, 1)
	}
}
