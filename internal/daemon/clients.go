package daemon

import (
	"net"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/clientlimit"
)

// Shares of the descriptors for the connections of each listener. Each has its own,
// so that a crowd at one port does not keep others out. The rest, an eighth, is left for
// the connections that the daemon opens, to the target and to other daemons.
const (
	callersShare = 5.0 / 16
	callsShare   = 5.0 / 16
	controlShare = 1.0 / 8
	otherShare   = 1.0 / 32
)

// limitClients sets the limits on the clients of all listeners.
func (d *Daemon) limitClients() {
	d.clients = clientlimit.New(clientlimit.Options{
		Memory:       uint64(d.settings.Memory),
		Budget:       uint64(d.settings.Clients.Memory),
		Descriptors:  clientlimit.DescriptorLimit(),
		StallTimeout: time.Duration(d.settings.Clients.StallTimeout),
		Logger:       d.logger,
		Metrics:      d.metrics,
	})
	limit := func(listener *net.Listener, name string, share float64) {
		if *listener != nil {
			*listener = d.clients.Listen(*listener, name, share)
		}
	}
	limit(&d.listeners.callers, "callers", callersShare)
	limit(&d.listeners.calls, "calls", callsShare)
	d.listeners.control = d.clients.ListenPeers(d.listeners.control, "control", controlShare)
	limit(&d.listeners.admin, "admin", otherShare)
	limit(&d.listeners.target, "target", otherShare)
	limit(&d.listeners.ready, "ready", otherShare)
	limit(&d.listeners.metrics, "metrics", otherShare)
}
