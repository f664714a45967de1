package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// platformKind is the kind of traffic to the platform's log.
const platformKind = "platform"

// platformClient returns a client of the log whose bytes are counted.
func (d *Daemon) platformClient() *platform.Client {
	location := peer.Identity{Zone: d.settings.Platform.Zone, Region: d.settings.Platform.Region}
	class := peer.Class{Kind: platformKind, Scope: peer.ScopeOf(d.identity, location)}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dialer := &net.Dialer{}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.traffic.Count(conn, class), nil
	}
	if d.secure != nil {
		transport.TLSClientConfig = d.secure.PlatformClient()
	}
	timeout := time.Duration(d.settings.Platform.Timeout)
	return platform.NewClient(d.settings.Platform.Address, timeout, transport)
}

// writeTraffic writes the control bytes by kind, scope and direction.
func (d *Daemon) writeTraffic(w io.Writer) {
	traffic := d.traffic.Snapshot()
	var classes []peer.Class
	for class := range traffic {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, func(a, b peer.Class) int {
		return strings.Compare(a.Kind+a.Scope.String(), b.Kind+b.Scope.String())
	})
	for _, class := range classes {
		writeBytes(w, class, "sent", traffic[class].Sent)
		writeBytes(w, class, "received", traffic[class].Received)
	}
}

func writeBytes(w io.Writer, class peer.Class, direction string, bytes uint64) {
	name := fmt.Sprintf("mulberrybank_control_bytes_total{kind=%q,scope=%q,direction=%q}", class.Kind, class.Scope, direction)
	metrics.WriteCounterUint64(w, name, bytes)
}
