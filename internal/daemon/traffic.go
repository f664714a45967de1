package daemon

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// platformTraffic is the traffic kind of connections to the platform's log.
const platformTraffic = "platform"

// newLogClient returns a client of the platform's log, created by the adapter if
// there is one. Its traffic is counted, and the time of each dial is recorded as
// the round-trip time to the log.
func (d *Daemon) newLogClient() platform.Log {
	location := peer.Identity{Zone: d.settings.Platform.Zone, Region: d.settings.Platform.Region}
	class := peer.TrafficClass{Kind: platformTraffic, Scope: peer.ScopeOf(d.identity, location)}
	transport := platform.NewTransport()
	dialer := &net.Dialer{}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialStart := time.Now()
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		d.members.RecordLogRTT(time.Since(dialStart))
		return d.traffic.WrapConn(conn, class), nil
	}
	if d.tlsIdentity != nil {
		transport.TLSClientConfig = d.tlsIdentity.PlatformClientConfig(hostOf(d.settings.Platform.Address))
	}
	if d.adapter != nil {
		return platform.Instrument(d.adapter.NewLogClient(d.settings, transport, d.logger), d.metrics)
	}
	timeout := time.Duration(d.settings.Platform.Timeout)
	return platform.NewClient(d.settings.Platform.Address, timeout, transport)
}

// hostOf returns the host of a base URL, empty if the URL is invalid.
func hostOf(base string) string {
	parsed, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return parsed.Hostname()
}
