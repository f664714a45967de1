package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener accepts the connections that are sent to conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func TestResponseBeingWrittenIsNotCutByEndOfServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			cancel()
			time.Sleep(closeTimeout / 2)
			_, _ = io.WriteString(w, "answer")
		})
		running := newComponents()
		defer func() { assert.Check(t, running.wait()) }()
		running.startHTTP(ctx, listener, handler)
		client, accepted := net.Pipe()
		defer client.Close()
		listener.conns <- accepted
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: daemon\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "answer")
	})
}
