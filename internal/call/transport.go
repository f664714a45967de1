package call

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of one connection.
	dialTimeout = time.Second
	// idleTimeout is how long a connection is kept without a call.
	idleTimeout = 90 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
)

// DialFunc opens a TCP connection. Tests replace it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport with at most connections per address.
func newTransport(dial DialFunc, connections int) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
	}
}

// errSealed is the error of writes on a sealed connection.
var errSealed = errors.New("connection is sealed")

// trackedConn counts what is written, so that a request that was not handed
// on can be told from one that may have been.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written uint64
	sealed  bool
}

// Write counts p as written before it is, so that the count is never too low.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.count(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) count(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.written += uint64(n)
	return nil
}

func (c *trackedConn) position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfAt forbids further writes if nothing was written since a position,
// and reports whether that was so.
func (c *trackedConn) sealIfAt(position uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != position {
		return false
	}
	c.sealed = true
	return true
}

// watchedBody is the body of a response together with its connection.
type watchedBody struct {
	io.ReadCloser
	watch *handover
}

// closeConnection closes a response and its connection, so that nothing that
// still arrives on it is taken for the answer to a later request.
func closeConnection(response *http.Response) {
	if body, ok := response.Body.(*watchedBody); ok {
		body.watch.close()
	}
	_ = response.Body.Close()
}

// close closes the connections that the request was given.
func (h *handover) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
}

// handover watches whether bytes of one request were written to a connection.
type handover struct {
	mu      sync.Mutex
	conns   []*trackedConn
	starts  []uint64
	unknown bool
	// rested is how long the last connection had been idle, used when it was
	// taken into use.
	rested time.Duration
	used   time.Time
}

// trace returns a context under which a request is watched. onWrite is called
// once its headers have been written.
func (h *handover) trace(ctx context.Context, onWrite func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      h.gotConn,
		WroteHeaders: onWrite,
	})
}

func (h *handover) gotConn(info httptrace.GotConnInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rested, h.used = info.IdleTime, time.Now()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		h.unknown = true
		return
	}
	h.conns = append(h.conns, conn)
	h.starts = append(h.starts, conn.position())
}

// failed returns what is known of the request after it got no response.
func (h *handover) failed() failedSend {
	handed := h.happened()
	h.mu.Lock()
	defer h.mu.Unlock()
	return failedSend{handed: handed, rested: h.rested, used: time.Since(h.used)}
}

// happened reports whether a byte of the request may have been handed on.
// After it returned false none will be.
func (h *handover) happened() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unknown {
		return true
	}
	for i, conn := range h.conns {
		if !conn.sealIfAt(h.starts[i]) {
			return true
		}
		_ = conn.Close()
	}
	return false
}
