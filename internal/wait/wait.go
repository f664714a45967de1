// Package wait lets tasks stand still for a time or until an event.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
