package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/settings"
)

const (
	// readHeaderTimeout limits how long a client may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an HTTP connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// closeTimeout limits how long responses may still be written when the server
	// closes.
	closeTimeout = 100 * time.Millisecond
)

// listeners holds the open TCP listeners of one daemon.
type listeners struct {
	callers net.Listener
	calls   net.Listener
	control net.Listener
	admin   net.Listener
	target  net.Listener
	// ready and metrics are nil when their addresses are not set.
	ready   net.Listener
	metrics net.Listener
}

// open listens on every address that is set and writes the ports chosen by the
// system back into the settings.
func (l *listeners) open(addresses *settings.Listen) error {
	endpoints := []struct {
		name     string
		address  *string
		listener *net.Listener
	}{
		{"callers", &addresses.Callers, &l.callers},
		{"calls", &addresses.Calls, &l.calls},
		{"control", &addresses.Control, &l.control},
		{"admin", &addresses.Admin, &l.admin},
		{"target", &addresses.Target, &l.target},
		{"ready", &addresses.Ready, &l.ready},
		{"metrics", &addresses.Metrics, &l.metrics},
	}
	for _, endpoint := range endpoints {
		if *endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", *endpoint.address)
		if err != nil {
			l.close()
			return fmt.Errorf("listen for %s: %w", endpoint.name, err)
		}
		*endpoint.listener = listener
		*endpoint.address = listener.Addr().String()
	}
	return nil
}

// close closes every open listener.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.calls, l.control, l.admin, l.target, l.ready, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serveHTTP serves HTTP on a listener until ctx is cancelled, then closes the
// listener and its connections. Requests on connections that were accepted before
// get closeTimeout for their responses.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	requests := &openRequests{conns: make(map[net.Conn]struct{})}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         requests.observe,
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	err := server.Serve(listener)
	if stop() {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	closeHTTP(server, requests)
	return nil
}

// closeHTTP closes the connections of a server that accepts no more. Once its
// shutdown has begun, the server closes a connection without a response even if it
// then reads a request on it.
func closeHTTP(server *http.Server, requests *openRequests) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	requests.waitNone(ctx)
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
