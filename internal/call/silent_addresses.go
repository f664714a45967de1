package call

import (
	"sync"
	"time"
)

// silentAddresses holds the addresses at which a request got no byte of a response
// by its deadline. Open connections to such an address may be dead without a reset;
// those from which nothing has been read since are not used again.
type silentAddresses struct {
	mu sync.Mutex
	// sentAt is when the latest of these requests was sent, by address.
	sentAt map[string]time.Time
}

func newSilentAddresses() *silentAddresses {
	return &silentAddresses{sentAt: make(map[string]time.Time)}
}

// record adds a request that got no byte of a response.
func (s *silentAddresses) record(address string, sentAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known, at := range s.sentAt {
		if now.Sub(at) > idleTimeout {
			delete(s.sentAt, known)
		}
	}
	if sentAt.After(s.sentAt[address]) {
		s.sentAt[address] = sentAt
	}
}

// suspects reports whether a connection to an address from which bytes were last read
// at a given time may be dead.
func (s *silentAddresses) suspects(address string, lastRead time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lastRead.Before(s.sentAt[address])
}
