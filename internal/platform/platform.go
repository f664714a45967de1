// Package platform defines the platform's append-only log as the daemon uses it,
// and a client of it over HTTP.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Streams of the log.
const (
	// ConfigurationStream contains publications and grants.
	ConfigurationStream = "configuration"
	// SnapshotStream contains snapshots of the state machine.
	SnapshotStream = "snapshots"
)

// Record is one record of a stream. Offsets start at 1 and increase by 1.
type Record struct {
	Offset   uint64
	Appended time.Time
	Payload  []byte
}

// ReadResult is the result of a read.
type ReadResult struct {
	Records []Record
	// Oldest is the oldest retained offset.
	Oldest uint64
	// Next is the offset of the next append.
	Next uint64
}

// Log is the append-only log service.
type Log interface {
	// Append adds a record and returns its offset. If the error wraps
	// ErrUnknown, the record may have been written; if it wraps ErrRefused, it
	// has not.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records from an offset onwards and waits up to wait for the
	// first one. It returns an *ExpiredError if the offset is no longer
	// retained.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error)
}

// ErrRefused means that the record of an append was not written.
var ErrRefused = errors.New("append refused by the log")

// ErrUnknown means that the record of an append may have been written.
var ErrUnknown = errors.New("append outcome unknown: it may have taken effect")

// ExpiredError means that an offset is older than the retained records.
type ExpiredError struct {
	Stream string
	From   uint64
	Oldest uint64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d has expired, oldest retained offset is %d", e.Stream, e.From, e.Oldest)
}
