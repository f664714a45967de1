package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// countingConn counts the bytes that it reads.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// A response of the log that never ends is an error long before the timeout, and is
// not read into memory.
func TestEndlessResponseOfLogIsAnError(t *testing.T) {
	const farTimeout = time.Hour
	for _, response := range []struct {
		name, start, rest string
		maxRead           int64
	}{
		{"status line", "HTTP/1.1 200 ", "O", 128 << 10},
		{"header", "HTTP/1.1 200 OK\r\nA: ", "a", 128 << 10},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "a", 18 << 20},
		{"body of an error", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "a", 18 << 20},
	} {
		t.Run(response.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, err = conn.Write([]byte(response.start))
				for block := []byte(strings.Repeat(response.rest, 16<<10)); err == nil; {
					_, err = conn.Write(block)
				}
			}))
			defer server.Close()
			var read atomic.Int64
			transport := platform.NewTransport()
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{conn, &read}, err
			}
			_, err := platform.NewClient(server.URL, farTimeout, transport).Read(t.Context(), stream, 1, 0)
			assert.Assert(t, err != nil)
			assert.Assert(t, read.Load() <= response.maxRead, "%d bytes read", read.Load())
		})
	}
}
