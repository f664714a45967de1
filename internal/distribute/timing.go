package distribute

import "time"

// Timing says how soon a daemon tells and notices what concerns its source.
type Timing struct {
	// Heartbeat is the time between messages on an idle stream.
	Heartbeat time.Duration
	// Silence is how long a stream may carry nothing.
	Silence time.Duration
	// ReadWait is how long the log holds a read that finds nothing.
	ReadWait time.Duration
	// ReadTimeout is how long an answer of the log may take beyond the wait.
	ReadTimeout time.Duration
	// ReaderStale is how old the state of a zone's reader may be before it
	// tries another source, FollowerStale the same for the others, who leave it
	// to their readers to find a way first.
	ReaderStale   time.Duration
	FollowerStale time.Duration
	// Reconsider is how often a daemon asks whether a better source is there.
	Reconsider time.Duration
	// Pull bounds one question to another daemon.
	Pull time.Duration
	// LogHoldOff bounds how long the log is left alone after it failed.
	LogHoldOff time.Duration
}

// DefaultTiming spends few messages and finds a silent source within seconds.
var DefaultTiming = Timing{
	Heartbeat:     time.Second,
	Silence:       3500 * time.Millisecond,
	ReadWait:      2 * time.Second,
	ReadTimeout:   3 * time.Second,
	ReaderStale:   8 * time.Second,
	FollowerStale: time.Minute,
	Reconsider:    time.Second,
	Pull:          5 * time.Second,
	LogHoldOff:    5 * time.Second,
}

// FastTiming finds a silent source within a second.
var FastTiming = Timing{
	Heartbeat:     250 * time.Millisecond,
	Silence:       800 * time.Millisecond,
	ReadWait:      500 * time.Millisecond,
	ReadTimeout:   500 * time.Millisecond,
	ReaderStale:   1300 * time.Millisecond,
	FollowerStale: 1800 * time.Millisecond,
	Reconsider:    250 * time.Millisecond,
	Pull:          500 * time.Millisecond,
	LogHoldOff:    500 * time.Millisecond,
}
