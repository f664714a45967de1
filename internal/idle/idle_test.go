package idle_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/idle"
)

func TestContextEndsAfterAnIntervalWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := idle.WithTimeout(t.Context(), 2*time.Second, time.Second)
		defer cancel()
		time.Sleep(1900 * time.Millisecond)
		for range 5 {
			idle.Progress(ctx)
			time.Sleep(900 * time.Millisecond)
		}
		assert.NilError(t, ctx.Err())
		idle.Progress(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.ErrorIs(t, context.Cause(ctx), idle.ErrTimeout)
		assert.ErrorIs(t, idle.Error(ctx, errors.New("canceled")), context.DeadlineExceeded)
	})
}

func TestFirstProgressHasItsOwnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := idle.WithTimeout(t.Context(), 2*time.Second, time.Second)
		defer cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.ErrorIs(t, context.Cause(ctx), idle.ErrTimeout)
	})
}

func TestProgressIsReportedToOuterContexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := idle.WithTimeout(t.Context(), time.Second, time.Second)
		defer cancelOuter()
		inner, cancelInner := idle.WithTimeout(outer, time.Minute, time.Minute)
		defer cancelInner()
		for range 3 {
			time.Sleep(900 * time.Millisecond)
			idle.Progress(inner)
		}
		assert.NilError(t, inner.Err())
		time.Sleep(time.Second)
		synctest.Wait()
		assert.ErrorIs(t, context.Cause(inner), idle.ErrTimeout)
	})
}

func TestCancelledContextIsNoTimeout(t *testing.T) {
	ctx, cancel := idle.WithTimeout(t.Context(), time.Hour, time.Hour)
	cancel()
	idle.Progress(ctx)
	assert.ErrorIs(t, idle.Error(ctx, ctx.Err()), context.Canceled)
}
