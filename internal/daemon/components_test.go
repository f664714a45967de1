package daemon

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPanicOfComponentDoesNotEndTheOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	running := newComponents()
	otherEnded := make(chan struct{})
	running.start(ctx, func(ctx context.Context) error {
		defer close(otherEnded)
		<-ctx.Done()
		return nil
	})
	running.start(ctx, func(context.Context) error { panic("invariant broken") })
	<-running.failed
	select {
	case <-otherEnded:
		t.Error("the other component has ended")
	default:
	}
	cancel()
	assert.ErrorContains(t, running.wait(), "invariant broken")
}
