package call

import (
	"net"
	"syscall"
	"time"
)

// writeEndTimeout is how long a read that found the end of a connection waits for a write that
// may have been told of a reset.
const writeEndTimeout = 50 * time.Millisecond

// wasReset reports whether a connection whose end was read was reset by its peer. The kernel
// tells of a reset once: if a write was told, a read finds what looks like an orderly end. The
// caller holds the mutex.
func (c *trackedConn) wasReset() bool {
	timeout := time.AfterFunc(writeEndTimeout, c.changed.Broadcast)
	defer timeout.Stop()
	for deadline := time.Now().Add(writeEndTimeout); c.writing && !c.closed && time.Now().Before(deadline); {
		if isReset(c.Conn) {
			return true
		}
		c.changed.Wait()
	}
	return c.writeFailed || isReset(c.Conn)
}

// isReset reports whether a socket can't be written to any more. A peer that has only closed
// its side could still be written to. It writes nothing and does not wait.
func isReset(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		err := syscall.Sendto(int(fd), nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
		reset = err == syscall.EPIPE || err == syscall.ECONNRESET
	})
	return err == nil && reset
}
