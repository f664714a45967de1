package once

import (
	"fmt"

	"github.com/google/uuid"
)

const (
	// keyVersion is the UUID version whose leading bits carry a time.
	keyVersion = 7
	// timeOctets is how many leading octets of a key carry its time.
	timeOctets = 6
)

// Key is the parsed key of a call that may not be repeated.
type Key struct {
	id uuid.UUID
}

// ParseKey reads a UUIDv7 in any of its usual spellings. Spellings of one
// UUID are one key.
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

// Millis is the time that the key carries, in milliseconds since the epoch.
func (k Key) Millis() int64 {
	var millis int64
	for _, octet := range k.id[:timeOctets] {
		millis = millis<<8 | int64(octet)
	}
	return millis
}

// String is the canonical spelling.
func (k Key) String() string { return k.id.String() }
