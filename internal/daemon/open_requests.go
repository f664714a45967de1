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
	mu sync.Mutex
	// conns tells of each connection whether its request has reached the handler, so
	// that a response is being written.
	conns   map[net.Conn]bool
	changed wait.Broadcast
}

func newOpenRequests() *openRequests { return &openRequests{conns: make(map[net.Conn]bool)} }

// openConnKey is the key under which the context of a connection holds it.
type openConnKey struct{}

// connContext is the ConnContext function of the server.
func (o *openRequests) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, openConnKey{}, conn)
}

// handler notes requests that reach the handler of the server.
func (o *openRequests) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(openConnKey{}).(net.Conn); ok {
			o.answering(conn)
		}
		next.ServeHTTP(w, r)
	})
}

func (o *openRequests) answering(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, open := o.conns[conn]; open {
		o.conns[conn] = true
	}
}

// observe is the ConnState function of the server. A connection becomes idle or closed
// only after its response has been written.
func (o *openRequests) observe(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		o.conns[conn] = false
	default:
		delete(o.conns, conn)
		o.changed.Notify()
	}
}

// waitNone waits until no request is awaited or answered, or ctx ends.
func (o *openRequests) waitNone(ctx context.Context) {
	o.waitUntil(ctx, func() bool { return len(o.conns) == 0 })
}

// waitAnswered waits until no response is being written, or ctx ends.
func (o *openRequests) waitAnswered(ctx context.Context) {
	o.waitUntil(ctx, func() bool {
		for _, answering := range o.conns {
			if answering {
				return false
			}
		}
		return true
	})
}

// waitUntil waits until a condition on the connections is met, or ctx ends.
func (o *openRequests) waitUntil(ctx context.Context, met func() bool) {
	for {
		changed := o.changed.Wait()
		if o.check(met) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (o *openRequests) check(met func() bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return met()
}
