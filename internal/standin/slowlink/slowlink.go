// Package slowlink simulates links of a given rate between a server and its clients
// within one process.
package slowlink

import (
	"context"
	"net"
	"sync"
	"time"
)

// segmentBytes is how much arrives at a time, as over a network.
const segmentBytes = 1400

// Listener accepts connections over links that carry Rate bytes a second each from
// the server to the client, and any rate in the other direction.
type Listener struct {
	rate   int
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Listen returns a listener whose links carry a number of bytes a second.
func Listen(rate int) *Listener {
	return &Listener{rate: rate, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// DialContext connects a client. It has the signature of the field of http.Transport.
func (l *Listener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- &conn{Conn: far, rate: l.rate, closed: make(chan struct{})}:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the server's end of the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a name for the listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "slowlink"} }

// conn writes at a limited rate.
type conn struct {
	net.Conn
	rate   int
	once   sync.Once
	closed chan struct{}
}

// Write blocks for as long as the link takes, or until the connection is closed.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		segment := p[written:min(written+segmentBytes, len(p))]
		select {
		case <-time.After(time.Duration(len(segment)) * time.Second / time.Duration(c.rate)):
		case <-c.closed:
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(segment)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close ends a Write that is blocked.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
