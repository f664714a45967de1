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
	// readHeaderTimeout bounds how long a client may take for its headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes HTTP connections without requests.
	idleTimeout = 2 * time.Minute
)

// listeners are the open ports of one daemon.
type listeners struct {
	callers net.Listener
	calls   net.Listener
	control net.Listener
	admin   net.Listener
	target  net.Listener
	// ready and metrics are nil when nobody asks.
	ready   net.Listener
	metrics net.Listener
}

// open listens on every address and writes the ports chosen by the system
// back into the settings.
func (l *listeners) open(listen *settings.Listen) error {
	ports := []struct {
		name     string
		address  *string
		listener *net.Listener
	}{
		{"callers", &listen.Callers, &l.callers},
		{"calls", &listen.Calls, &l.calls},
		{"control", &listen.Control, &l.control},
		{"admin", &listen.Admin, &l.admin},
		{"target", &listen.Target, &l.target},
		{"ready", &listen.Ready, &l.ready},
		{"metrics", &listen.Metrics, &l.metrics},
	}
	for _, port := range ports {
		if *port.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", *port.address)
		if err != nil {
			l.close()
			return fmt.Errorf("listen for %s: %w", port.name, err)
		}
		*port.listener = listener
		*port.address = listener.Addr().String()
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

// serveHTTP serves one listener until ctx ends, then closes it and every
// connection of it.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", listener.Addr(), err)
}
