package distribute

import "time"

// Timing sets how often a daemon reports and how soon it detects problems with
// its source.
type Timing struct {
	// HeartbeatInterval is the time between messages on an idle stream.
	HeartbeatInterval time.Duration
	// IdleTimeout is how long a stream may go without any byte of a message.
	IdleTimeout time.Duration
	// ReadWait is how long the log holds a read that finds no records.
	ReadWait time.Duration
	// ReadTimeout is how long a response of the log may take to begin beyond
	// ReadWait, and how long it may pause.
	ReadTimeout time.Duration
	// ReaderMaxAge is how old the state of a zone's reader may be before it
	// tries another source. FollowerMaxAge is the same for the other daemons,
	// which first leave it to their readers to find another source.
	ReaderMaxAge   time.Duration
	FollowerMaxAge time.Duration
	// ReselectInterval is how often a daemon checks for a better source.
	ReselectInterval time.Duration
	// PullTimeout is how long a request to another daemon may go without any byte
	// of its response.
	PullTimeout time.Duration
	// MaxLogBackOff limits the back-off after the log has failed.
	MaxLogBackOff time.Duration
}

// DefaultTiming sends few messages and detects a silent source within seconds.
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

// FastTiming detects a silent source within a second.
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
