package timeline

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is a hybrid logical clock reading.
type Timestamp struct {
	// Millis is the physical part since the Unix epoch.
	Millis int64 `json:"ms"`
	// Logical orders readings of the same millisecond.
	Logical uint32 `json:"n"`
}

// Before reports whether t orders before other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.Millis != other.Millis {
		return t.Millis < other.Millis
	}
	return t.Logical < other.Logical
}

// String formats t as "millis.logical", the form of the HTTP header.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.Millis, t.Logical) }

// ParseTimestamp reads the form that String writes.
func ParseTimestamp(text string) (Timestamp, error) {
	var t Timestamp
	if _, err := fmt.Sscanf(text, "%d.%d", &t.Millis, &t.Logical); err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", text, err)
	}
	return t, nil
}

// Clock is a hybrid logical clock. Its readings grow and follow every reading
// observed from other processes.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock over a source of physical time.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a reading after all earlier ones.
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

// Observe moves the clock past a reading of another process.
func (c *Clock) Observe(other Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(other) {
		c.last = other
	}
}
