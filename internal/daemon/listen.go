package daemon

import (
	"context"
	"errors"
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

// newHTTPServer returns a server whose connections are closed by closeHTTP.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// serveHTTP accepts connections until the server is closed or Accept fails. The
// connections that were accepted before a failure stay open.
func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", listener.Addr(), err)
}

// closeHTTP closes the listener and the connections of a server. Responses that are
// being written get closeTimeout.
func closeHTTP(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
