package platform

import (
	"context"
	"fmt"
)

// HostStream is a keyed stream with one record for each host. Its key is the name
// of the host.
const HostStream = "hosts"

// TargetHistoryStream is a keyed stream of what has to outlive the daemon beside a target:
// which of its instances have left, and whether an operator drained it. Its keys begin
// with the name of the host and a slash.
const TargetHistoryStream = "history"

// RolloutStatusStream is a keyed stream with the newest status of each service's rollout.
// Its keys are "rollout/" and the name of the service.
const RolloutStatusStream = "rollout-status"

// EndMovedError means that a conditional append was refused, because the stream does not
// end at the expected offset.
type EndMovedError struct {
	// Next is the offset of the next append, 0 if the log did not tell.
	Next uint64
}

func (e *EndMovedError) Error() string {
	return fmt.Sprintf("stream ends elsewhere: next offset is %d", e.Next)
}

// KeyedRecord is the newest record of a key in a keyed stream.
type KeyedRecord struct {
	Key string
	Record
}

// KeyedLog is a log in which some streams are keyed: the newest record of each key
// is retained regardless of its age.
type KeyedLog interface {
	Log
	// Put adds a record for a key. An empty payload deletes the key. Errors wrap
	// ErrUnknown or ErrRefused as those of Append do.
	Put(ctx context.Context, stream, key string, payload []byte) error
	// PutAt is Put on the condition that next is the offset of the next append. If it
	// is not, the error wraps ErrRefused and an *EndMovedError. After an error that wraps
	// ErrUnknown the record may be written later, while the condition holds.
	PutAt(ctx context.Context, stream, key string, payload []byte, next uint64) error
	// Newest returns the newest record of each key, ordered by offset, and the
	// offset of the next append.
	Newest(ctx context.Context, stream string) ([]KeyedRecord, uint64, error)
	// NewestWithPrefix returns the newest record of each key that begins with a
	// prefix. What it reads does not grow with the other keys.
	NewestWithPrefix(ctx context.Context, stream, prefix string) ([]KeyedRecord, error)
}
