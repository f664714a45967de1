// Package wait blocks goroutines for a duration or until an event.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns true after d, and false when ctx ends first.
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
