package secure

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
)

// DialPeer returns a function that opens TLS connections to other daemons.
func (i *Identity) DialPeer() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, i.PeerClient())
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
		}
		return conn, nil
	}
}
