package peer

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc/drpcconn"
)

// Conn is a connection to one daemon. It carries one RPC at a time.
type Conn struct {
	*drpcconn.Conn
	// Peer identifies the daemon at the other end.
	Peer Identity
	raw  *notifyingConn
}

// OnReceive calls a function for each part of a message that arrives. It replaces the
// function set before.
func (c *Conn) OnReceive(notify func()) { c.raw.onReceive.Store(&notify) }

// DialFunc opens a TCP or TLS connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to other daemons.
type Dialer struct {
	self    Identity
	traffic *TrafficCounter
	dial    DialFunc
}

// NewDialer returns a Dialer for the daemon self. A nil dial opens TCP connections
// without TLS.
func NewDialer(self Identity, traffic *TrafficCounter, dial DialFunc) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Dialer{self: self, traffic: traffic, dial: dial}
}

// Dial connects to the control address of a daemon. kind names the component that
// uses the connection. The caller closes the connection.
func (d *Dialer) Dial(ctx context.Context, kind, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	remote, _, err := handshake(ctx, raw, func(conn net.Conn) (Identity, string, error) {
		return d.exchangeHello(conn, kind)
	})
	if err != nil {
		_ = closeGracefully(raw)
		return nil, fmt.Errorf("peer handshake with %s: %w", address, err)
	}
	class := TrafficClass{Kind: kind, Scope: ScopeOf(d.self, remote)}
	notifying := &notifyingConn{Conn: writeDeadlineConn{raw}}
	counted := d.traffic.WrapConn(notifying, class)
	return &Conn{Conn: drpcconn.New(counted), Peer: remote, raw: notifying}, nil
}

// exchangeHello sends the Hello message of this daemon and returns what the daemon
// that was dialled responds.
func (d *Dialer) exchangeHello(conn net.Conn, kind string) (Identity, string, error) {
	if err := writeHello(conn, d.self, kind); err != nil {
		return Identity{}, "", err
	}
	remote, kind, err := readHello(conn)
	if err != nil {
		return Identity{}, "", err
	}
	return remote, kind, verifyCertificateName(conn, remote)
}
