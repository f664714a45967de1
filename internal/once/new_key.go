package once

import (
	"fmt"

	"github.com/google/uuid"
)

// maxKeyDraws bounds how many keys NewKey generates to find an accepted home.
const maxKeyDraws = 64

// NewKey generates a key with the current time whose home is accepted, for example
// one in the caller's zone. Callers may also generate keys themselves, which can
// have any home. When no key is accepted the last one is returned. The error is a
// *Refusal.
func (d *Deduplicator) NewKey(grants Grants, service string, accept func(host string) bool) (string, error) {
	var key Key
	for range maxKeyDraws {
		drawn, err := d.drawKey()
		if err != nil {
			return "", err
		}
		key = drawn
		home, err := d.homes.home(grants, service, key)
		if err != nil {
			return "", err
		}
		if accept(home) {
			break
		}
	}
	return key.String(), nil
}

// drawKey returns a random key with the current time by the host's clock.
func (d *Deduplicator) drawKey() (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return Key{}, &Refusal{Reason: InvalidKey, Detail: fmt.Sprintf("generate key: %v", err)}
	}
	millis := d.options.Now().UnixMilli()
	for i := range timestampBytes {
		id[i] = byte(millis >> (8 * (timestampBytes - 1 - i)))
	}
	return Key{id: id}, nil
}
