// Package platform is the daemon's view of the platform's append-only log.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Streams of the log that the system uses.
const (
	// ConfigurationStream holds publications and grants.
	ConfigurationStream = "configuration"
	// SnapshotStream holds snapshots of the fold.
	SnapshotStream = "snapshots"
)

// Record is one record of a stream. Offsets begin at 1 and grow by 1.
type Record struct {
	Offset   uint64
	Appended time.Time
	Payload  []byte
}

// ReadResult is the answer to a read.
type ReadResult struct {
	Records []Record
	// Oldest is the oldest offset still kept.
	Oldest uint64
	// Next is the offset of the next append.
	Next uint64
}

// Log is the append-only log service.
type Log interface {
	// Append adds a record and returns its offset. An error that wraps
	// ErrUnknown may have taken effect; one that wraps ErrRefused has not.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records from an offset on. It waits up to wait for the
	// first one. It returns an ExpiredError when from is no longer kept.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error)
}

// ErrRefused says that the log did not take the append.
var ErrRefused = errors.New("the log refused the append")

// ErrUnknown says that an append may or may not have taken effect.
var ErrUnknown = errors.New("the append may have taken effect")

// ExpiredError says that an offset is older than what the log keeps.
type ExpiredError struct {
	Stream string
	From   uint64
	Oldest uint64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has expired, oldest is %d", e.Stream, e.From, e.Oldest)
}
