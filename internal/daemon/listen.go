package daemon

import (
	"fmt"
	"net"

	"github.com/mulberrybank/mulberrybank/internal/settings"
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
