package peer

import (
	"context"
	"io"
	"net"
	"time"
)

// writeTimeout bounds one write, so that a peer that reads nothing is found
// when the buffers between the two ends are full.
const writeTimeout = 5 * time.Second

// timedConn ends a connection whose peer has stopped reading.
type timedConn struct{ net.Conn }

func (c timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

type closerKey struct{}

// withCloser returns a context that carries the connection of a request.
func withCloser(ctx context.Context, conn io.Closer) context.Context {
	return context.WithValue(ctx, closerKey{}, conn)
}

// CloseConn closes the connection whose request a handler serves. A handler
// calls it for a peer that is silent, because an orderly end of the stream
// would wait for that peer.
func CloseConn(ctx context.Context) {
	if conn, ok := ctx.Value(closerKey{}).(io.Closer); ok {
		_ = conn.Close()
	}
}
