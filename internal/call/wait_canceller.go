package call

import (
	"context"
	"sync"
)

// waitCanceller cancels a request for a reason of its own, until the request has got
// what it waits for.
type waitCanceller struct {
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	settled   bool
	cancelled bool
}

func newWaitCanceller(ctx context.Context) (context.Context, *waitCanceller) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &waitCanceller{cancel: cancel}
}

// cancelWith cancels the request, unless it has been settled.
func (w *waitCanceller) cancelWith(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.settled {
		w.cancelled = true
		w.cancel(cause)
	}
}

// settle keeps the request from being cancelled later, and reports whether it has not
// been.
func (w *waitCanceller) settle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = true
	return !w.cancelled
}
