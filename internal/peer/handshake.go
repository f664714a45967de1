package peer

import (
	"context"
	"net"
	"time"
)

// dialTimeout limits how long a connection takes to open, including the handshake.
const dialTimeout = 2 * time.Second

// handshake exchanges Hello messages on a new connection and returns the identity of
// the other daemon and the kind of the connection. It closes the connection when
// dialTimeout has passed or ctx ends first, and then returns the error of the context.
func handshake(ctx context.Context, raw net.Conn, exchange func(net.Conn) (Identity, string, error)) (Identity, string, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { abort(raw) })
	remote, kind, err := exchange(raw)
	if !stop() {
		return Identity{}, "", ctx.Err()
	}
	return remote, kind, err
}
