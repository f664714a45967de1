package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// platformKind is the kind of traffic to the platform's log.
const platformKind = "platform"

// platformClient returns a client of the log whose bytes are counted, in the
// words of the adapter if there is one.
func (d *Daemon) platformClient() platform.Log {
	location := peer.Identity{Zone: d.settings.Platform.Zone, Region: d.settings.Platform.Region}
	class := peer.TrafficClass{Kind: platformKind, Scope: peer.ScopeOf(d.identity, location)}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dialer := &net.Dialer{}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		began := time.Now()
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		d.members.RecordLogRTT(time.Since(began))
		return d.traffic.WrapConn(conn, class), nil
	}
	if d.secure != nil {
		transport.TLSClientConfig = d.secure.PlatformClient()
	}
	if d.adapter != nil {
		return platform.Instrument(d.adapter.NewLogClient(d.settings, transport, d.logger), d.metrics)
	}
	timeout := time.Duration(d.settings.Platform.Timeout)
	return platform.NewClient(d.settings.Platform.Address, timeout, transport)
}
