package platform

import "context"

// HostStream holds one record of each host, by its name.
const HostStream = "hosts"

// KeyedRecord is the newest record of one key of a keyed stream.
type KeyedRecord struct {
	Key string
	Record
}

// KeyedLog is a log that also keeps the newest record of each key of some
// streams, whatever its age.
type KeyedLog interface {
	Log
	// Put adds a record for a key. An empty payload drops the key. Errors are
	// as of Append.
	Put(ctx context.Context, stream, key string, payload []byte) error
	// Newest returns the newest record of each key, oldest first, and the offset
	// of the next append.
	Newest(ctx context.Context, stream string) ([]KeyedRecord, uint64, error)
}
