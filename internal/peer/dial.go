package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
)

// dialTimeout bounds the opening of a connection, its hello included.
const dialTimeout = 2 * time.Second

// Conn is a connection to one daemon. It carries one call at a time.
type Conn struct {
	*drpcconn.Conn
	// Peer is the daemon at the other end.
	Peer Identity
}

// DialFunc opens a TCP connection, or a TLS one over it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections to other daemons.
type Dialer struct {
	self    Identity
	traffic *TrafficCounter
	dial    DialFunc
}

// NewDialer returns a dialer for one daemon. A nil dial means plain TCP.
func NewDialer(self Identity, traffic *TrafficCounter, dial DialFunc) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Dialer{self: self, traffic: traffic, dial: dial}
}

// Dial connects to the control address of a daemon. kind names the slice
// that uses the connection. The caller closes the connection.
func (d *Dialer) Dial(ctx context.Context, kind, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	remote, err := d.greet(ctx, raw, kind)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	class := TrafficClass{Kind: kind, Scope: ScopeOf(d.self, remote)}
	counted := d.traffic.WrapConn(timedConn{raw}, class)
	return &Conn{Conn: drpcconn.New(counted), Peer: remote}, nil
}

// greet exchanges hellos and returns who answered.
func (d *Dialer) greet(ctx context.Context, raw net.Conn, kind string) (Identity, error) {
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		return Identity{}, err
	}
	if err := writeHello(raw, d.self, kind); err != nil {
		return Identity{}, err
	}
	remote, _, err := readHello(raw)
	if err != nil {
		return Identity{}, err
	}
	if err := verifyName(raw, remote); err != nil {
		return Identity{}, err
	}
	return remote, raw.SetDeadline(time.Time{})
}
