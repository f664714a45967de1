package peer

import (
	"context"
	"io"
	"net"
	"time"
)

// writeTimeout limits one write, so that a peer that has stopped reading is
// detected once the buffers between both ends are full.
const writeTimeout = 5 * time.Second

// writeDeadlineConn sets a deadline for each write, which fails when the peer has
// stopped reading.
type writeDeadlineConn struct{ net.Conn }

func (c writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

type connKey struct{}

// withConn returns a context that carries the connection of a request.
func withConn(ctx context.Context, conn io.Closer) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CloseConn closes the connection whose request a handler serves. A handler calls
// it when the peer no longer responds, because closing the stream gracefully would
// wait for that peer.
func CloseConn(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(io.Closer); ok {
		_ = conn.Close()
	}
}
