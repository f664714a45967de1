package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// openRequests tracks the connections of an HTTP server whose request is being
// awaited or answered: all but those that are idle after a response.
type openRequests struct {
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	changed wait.Broadcast
}

// observe is the ConnState function of the server.
func (o *openRequests) observe(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		o.conns[conn] = struct{}{}
	default:
		delete(o.conns, conn)
		o.changed.Notify()
	}
}

// waitNone waits until no request is awaited or answered, or ctx ends.
func (o *openRequests) waitNone(ctx context.Context) {
	for {
		changed := o.changed.Wait()
		if o.none() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (o *openRequests) none() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns) == 0
}
