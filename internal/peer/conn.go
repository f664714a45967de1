package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout limits the write of maxWriteBytes, so that a peer that has stopped
// reading is detected once the buffers between both ends are full.
const (
	writeTimeout  = 5 * time.Second
	maxWriteBytes = 64 << 10
)

// closeTimeout limits how long closing a TLS connection waits until its peer takes the
// alert that ends it.
const closeTimeout = 100 * time.Millisecond

// writeDeadlineConn sets a deadline for each piece of a write, which fails when the peer
// has stopped reading.
type writeDeadlineConn struct{ net.Conn }

func (c writeDeadlineConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+maxWriteBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
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
	if notifying, ok := conn.(*notifyingConn); ok {
		conn = notifying.Conn
	}
	if limited, ok := conn.(writeDeadlineConn); ok {
		conn = limited.Conn
	}
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	_ = conn.Close()
}

// notifyingConn calls a function for each read of data.
type notifyingConn struct {
	net.Conn
	onReceive atomic.Pointer[func()]
}

func (c *notifyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if notify := c.onReceive.Load(); n > 0 && notify != nil {
		(*notify)()
	}
	return n, err
}

type connKey struct{}

// withConn returns a context that carries the connection of a request.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// OnReceive calls a function for each part of a message that arrives on the connection
// whose request a handler serves. It replaces the function set before.
func OnReceive(ctx context.Context, notify func()) {
	if conn, ok := ctx.Value(connKey{}).(*notifyingConn); ok {
		conn.onReceive.Store(&notify)
	}
}

// CloseConn closes the connection whose request a handler serves. A handler calls
// it when the peer no longer responds, because closing the stream gracefully would
// wait for that peer.
func CloseConn(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		abort(conn)
	}
}
