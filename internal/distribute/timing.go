package distribute

import "time"

// Timing says how soon a daemon tells and notices what concerns its source.
type Timing struct {
	// HeartbeatInterval is the time between messages on an idle stream.
	HeartbeatInterval time.Duration
	// IdleTimeout is how long a stream may carry nothing.
	IdleTimeout time.Duration
	// ReadWait is how long the log holds a read that finds nothing.
	ReadWait time.Duration
	// ReadTimeout is how long an answer of the log may take beyond the wait.
	ReadTimeout time.Duration
	// ReaderMaxAge is how old the state of a zone's reader may be before it
	// tries another source, FollowerStale the same for the others, who leave it
	// to their readers to find a way first.
	ReaderMaxAge   time.Duration
	FollowerMaxAge time.Duration
	// ReselectInterval is how often a daemon asks whether a better source is there.
	ReselectInterval time.Duration
	// PullTimeout bounds one question to another daemon.
	PullTimeout time.Duration
	// MaxLogBackOff bounds how long the log is left alone after it failed.
	MaxLogBackOff time.Duration
}

// DefaultTiming spends few messages and finds a silent source within seconds.
var DefaultTiming = Timing{
	HeartbeatInterval: time.Second,
	IdleTimeout:       3500 * time.Millisecond,
	ReadWait:          2 * time.Second,
	ReadTimeout:       3 * time.Second,
	ReaderMaxAge:      8 * time.Second,
	FollowerMaxAge:    time.Minute,
	ReselectInterval:  time.Second,
	PullTimeout:       5 * time.Second,
	MaxLogBackOff:     5 * time.Second,
}

// FastTiming finds a silent source within a second.
var FastTiming = Timing{
	HeartbeatInterval: 250 * time.Millisecond,
	IdleTimeout:       800 * time.Millisecond,
	ReadWait:          500 * time.Millisecond,
	ReadTimeout:       500 * time.Millisecond,
	ReaderMaxAge:      1300 * time.Millisecond,
	FollowerMaxAge:    1800 * time.Millisecond,
	ReselectInterval:  250 * time.Millisecond,
	PullTimeout:       500 * time.Millisecond,
	MaxLogBackOff:     500 * time.Millisecond,
}
