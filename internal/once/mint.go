package once

import (
	"fmt"

	"github.com/google/uuid"
)

// maxMints bounds how many keys Mint draws for one that is accepted.
const maxMints = 64

// Mint draws a key of now whose home is accepted, such as one of the caller's
// zone. Callers may mint keys of their own; theirs have any home. When no draw
// is accepted the last one is returned. The error is a *Refusal.
func (k *Deduplicator) Mint(grants Grants, service string, accept func(host string) bool) (string, error) {
	var key Key
	for range maxMints {
		drawn, err := k.draw()
		if err != nil {
			return "", err
		}
		key = drawn
		home, err := k.homes.home(grants, service, key)
		if err != nil {
			return "", err
		}
		if accept(home) {
			break
		}
	}
	return key.String(), nil
}

// draw returns a random key of now by the clock of the host.
func (k *Deduplicator) draw() (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return Key{}, &Refusal{Reason: InvalidKey, Detail: fmt.Sprintf("draw a key: %v", err)}
	}
	millis := k.options.Now().UnixMilli()
	for i := range timeOctets {
		id[i] = byte(millis >> (8 * (timeOctets - 1 - i)))
	}
	return Key{id: id}, nil
}
