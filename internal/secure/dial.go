package secure

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
)

// PeerDialFunc returns a function that opens TLS connections to other daemons.
func (i *Identity) PeerDialFunc() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, i.PeerClientConfig())
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
		}
		return conn, nil
	}
}
