package call

import (
	"context"
	"sync"
)

// giveUp cancels a request for a reason of its own until the request has got what it
// waits for.
type giveUp struct {
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	served    bool
	cancelled bool
}

func newGiveUp(ctx context.Context) (context.Context, *giveUp) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &giveUp{cancel: cancel}
}

// because cancels the request, unless it has been served.
func (g *giveUp) because(cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.served {
		g.cancelled = true
		g.cancel(cause)
	}
}

// serve keeps the request from being cancelled later, and reports whether it has not
// been.
func (g *giveUp) serve() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served = true
	return !g.cancelled
}
