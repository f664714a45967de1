package call

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
)

// connKey is the key of the client's connection in the context of a request.
type connKey struct{}

// ConnContext makes the connection of a client known to the handlers of a Server. It is
// meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// errClientGone means that a client had closed its connection before its request was
// sent on.
var errClientGone = errors.New("client has left")

// clientGone reports whether the client of a request has closed its connection. The HTTP
// server detects that too, but reads on only after the handler has begun: while the
// process lags, requests whose clients left long ago would be sent on before.
func clientGone(ctx context.Context) bool {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = hasEnded(int(fd)) })
	return err == nil && gone
}

// resetAtClose makes the connection of a client end by a reset when it is closed.
func resetAtClose(ctx context.Context) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// hasEnded reports whether a socket was closed or reset by its peer and has no bytes
// left. It takes no bytes and does not wait.
func hasEnded(fd int) bool {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}

// clientGoneError returns the error of a request that is not sent on because its client
// has left.
func (s *Server) clientGoneError() *Error {
	s.counters.clientsGone.Inc()
	return s.fail(NotRun, StepRequest, http.StatusServiceUnavailable, errClientGone)
}
