package call

import (
	"net/http"
	"sync"
	"time"
)

const (
	// restTime is how long a connection to the target may rest while the target
	// is known to forget connections that rest.
	restTime = 100 * time.Millisecond
	// forgottenTime bounds the time from the use of a connection that the target
	// has forgotten to its reset.
	forgottenTime = 100 * time.Millisecond
	// restCaution is how long connections are not left to rest after one was
	// found to be forgotten.
	restCaution = 10 * time.Second
)

// targetLink holds the connections to the own target. A target may forget those
// that rest, and what is sent next on one is lost; then none is left to rest for
// a while.
type targetLink struct {
	now   func() time.Time
	usual *http.Transport
	fresh *http.Transport

	mu       sync.Mutex
	cautious time.Time
}

func newTargetLink(dial DialFunc, connections int, now func() time.Time) *targetLink {
	link := &targetLink{now: now, usual: newTransport(dial, connections), fresh: newTransport(dial, connections)}
	link.fresh.IdleConnTimeout = restTime
	return link
}

// transport returns the connections to use now.
func (l *targetLink) transport() *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now().Before(l.cautious) {
		return l.fresh
	}
	return l.usual
}

// failed notes a connection that ended without an answer and reports whether the
// target had forgotten it: it had rested and ended as soon as it was used.
func (l *targetLink) failed(rested, used time.Duration) bool {
	if rested < restTime || used > forgottenTime {
		return false
	}
	l.mu.Lock()
	l.cautious = l.now().Add(restCaution)
	l.mu.Unlock()
	l.usual.CloseIdleConnections()
	return true
}

// close closes idle connections.
func (l *targetLink) close() {
	l.usual.CloseIdleConnections()
	l.fresh.CloseIdleConnections()
}
