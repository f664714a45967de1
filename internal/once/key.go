package once

import (
	"fmt"

	"github.com/google/uuid"
)

const (
	// keyVersion is the UUID version that starts with a timestamp.
	keyVersion = 7
	// timestampBytes is the number of leading bytes that hold the timestamp.
	timestampBytes = 6
)

// Key is the parsed idempotency key of a call that must not be repeated.
type Key struct {
	id uuid.UUID
}

// ParseKey parses a UUIDv7 in any of its usual text forms. All text forms of one
// UUID are the same key.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fmt.Errorf("key is not a UUID: %w", err)
	}
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, fmt.Errorf("key is a UUID of version %d, want %d", id.Version(), keyVersion)
	}
	return Key{id: id}, nil
}

// Millis is the timestamp of the key, in milliseconds since the Unix epoch.
func (k Key) Millis() int64 {
	var millis int64
	for _, octet := range k.id[:timestampBytes] {
		millis = millis<<8 | int64(octet)
	}
	return millis
}

// String is the canonical text form.
func (k Key) String() string { return k.id.String() }
