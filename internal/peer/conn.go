package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// writeTimeout limits one write, so that a peer that has stopped reading is
// detected once the buffers between both ends are full.
const writeTimeout = 5 * time.Second

// closeTimeout limits how long closing a TLS connection waits until its peer takes the
// alert that ends it.
const closeTimeout = 100 * time.Millisecond

// writeDeadlineConn sets a deadline for each write, which fails when the peer has
// stopped reading.
type writeDeadlineConn struct{ net.Conn }

func (c writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c writeDeadlineConn) Close() error { return closeGracefully(c.Conn) }

// closeGracefully closes a connection. It waits up to closeTimeout for a peer that does
// not read.
func closeGracefully(conn net.Conn) error {
	abortTimer := time.AfterFunc(closeTimeout, func() { abort(conn) })
	defer abortTimer.Stop()
	return conn.Close()
}

// abort closes a connection at once. It leaves out the alert that ends a TLS
// connection, which waits while the peer does not read.
func abort(conn net.Conn) {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	_ = conn.Close()
}

type connKey struct{}

// withConn returns a context that carries the connection of a request.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CloseConn closes the connection whose request a handler serves. A handler calls
// it when the peer no longer responds, because closing the stream gracefully would
// wait for that peer.
func CloseConn(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		abort(conn)
	}
}
