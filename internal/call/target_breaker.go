package call

import (
	"errors"
	"sync"
	"time"
)

const (
	// breakerLimit is the number of connections to the target that must break in a row,
	// without a response, for its requests to be refused.
	breakerLimit = 3
	// minBreakerPause is the time between the requests that try the target while the
	// others are refused. It doubles with each that fails, up to maxBreakerPause.
	minBreakerPause = 50 * time.Millisecond
	maxBreakerPause = 400 * time.Millisecond
)

// errTargetBroken means that the target has lately broken its connections without a
// response.
var errTargetBroken = errors.New("target breaks its connections")

// targetBreaker refuses requests, as not run, while the target breaks connections
// without a response: what is sent to it then may or may not have run. One request
// after each pause tries the target again.
type targetBreaker struct {
	now func() time.Time

	mu       sync.Mutex
	instance string
	// broken is the number of connections that broke since the last response.
	broken int
	pause  time.Duration
	tryAt  time.Time
}

// refuses reports whether a request to an instance of the target would be refused now.
func (b *targetBreaker) refuses(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return instance == b.instance && b.broken >= breakerLimit && b.now().Before(b.tryAt)
}

// admit reports whether a request may be sent to an instance of the target now. While
// connections break, only one request after each pause may.
func (b *targetBreaker) admit(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if instance != b.instance {
		b.instance, b.broken, b.pause = instance, 0, 0
	}
	if b.broken < breakerLimit {
		return true
	}
	now := b.now()
	if now.Before(b.tryAt) {
		return false
	}
	b.tryAt = now.Add(b.pause)
	return true
}

// recordResponse records that the target has sent a response.
func (b *targetBreaker) recordResponse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken, b.pause = 0, 0
}

// recordBroken records that a connection of an instance broke without a response.
func (b *targetBreaker) recordBroken(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if instance != b.instance {
		return
	}
	b.broken++
	b.pause = min(max(2*b.pause, minBreakerPause), maxBreakerPause)
	b.tryAt = b.now().Add(b.pause)
}
