package timeline

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Millis is the physical part: milliseconds since the Unix epoch.
	Millis int64 `json:"ms"`
	// Logical orders readings with the same physical part.
	Logical uint32 `json:"n"`
}

// Before reports whether t is ordered before other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.Millis != other.Millis {
		return t.Millis < other.Millis
	}
	return t.Logical < other.Logical
}

// String formats t as "millis.logical", the format of the HTTP header.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Millis, t.Logical) }

// ParseTimestamp parses the format of String.
func ParseTimestamp(text string) (Timestamp, error) {
	var t Timestamp
	if _, err := fmt.Sscanf(text, "%d.%d", &t.Millis, &t.Logical); err != nil {
		return Timestamp{}, fmt.Errorf("parse timestamp %q: %w", text, err)
	}
	return t, nil
}

// Clock is a hybrid logical clock. Its readings increase strictly, and each is
// after all readings of other processes that were observed before.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock that takes its physical time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a reading after all earlier and all observed ones.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	physical := c.now().UnixMilli()
	if physical > c.last.Millis {
		c.last = Timestamp{Millis: physical}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe advances the clock to a reading of another process, so that the next
// reading is after it.
func (c *Clock) Observe(other Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(other) {
		c.last = other
	}
}
