package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newPipeListener(onClose func()) pipeListener {
	closed := make(chan struct{})
	return pipeListener{make(chan net.Conn), closed, sync.OnceFunc(func() {
		onClose()
		close(closed)
	})}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	l.close()
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePipe serves HTTP on a listener until the function that it returns is called.
func servePipe(t *testing.T, tasks *conc.WaitGroup, listener pipeListener, handler http.HandlerFunc) (cancel context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	running := newComponents()
	running.startHTTP(ctx, listener, handler)
	tasks.Go(func() { assert.Check(t, running.wait()) })
	return cancel
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// assertAnswered sends a request in a while and checks that it gets a response.
func assertAnswered(t *testing.T, tasks *conc.WaitGroup, client net.Conn) {
	time.Sleep(closeTimeout / 2)
	tasks.Go(func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: huts\r\nConnection: close\r\n\r\n") })
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// TestRequestOnAcceptedConnectionIsAnsweredAtTheEnd sends a request on a connection
// that was accepted before the server began to close.
func TestRequestOnAcceptedConnectionIsAnsweredAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tasks conc.WaitGroup
		defer tasks.Wait()
		listener := newPipeListener(func() {})
		cancel := servePipe(t, &tasks, listener, refuse)
		client, accepted := net.Pipe()
		listener.conns <- accepted
		synctest.Wait()
		cancel()
		assertAnswered(t, &tasks, client)
	})
}

// TestRequestOnLastAcceptedConnectionIsAnswered has a connection accepted while the
// listener closes.
func TestRequestOnLastAcceptedConnectionIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tasks conc.WaitGroup
		defer tasks.Wait()
		client, accepted := net.Pipe()
		var listener pipeListener
		listener = newPipeListener(func() { listener.conns <- accepted })
		cancel := servePipe(t, &tasks, listener, refuse)
		synctest.Wait()
		cancel()
		assertAnswered(t, &tasks, client)
	})
}

func TestSilentConnectionDelaysTheEndByCloseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tasks conc.WaitGroup
		listener := newPipeListener(func() {})
		cancel := servePipe(t, &tasks, listener, refuse)
		_, accepted := net.Pipe()
		listener.conns <- accepted
		synctest.Wait()
		start := time.Now()
		cancel()
		tasks.Wait()
		assert.Equal(t, time.Since(start), closeTimeout)
	})
}

func TestResponseBeingWrittenIsNotCutByEndOfServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tasks conc.WaitGroup
		defer tasks.Wait()
		listener := newPipeListener(func() {})
		var cancel context.CancelFunc
		cancel = servePipe(t, &tasks, listener, func(w http.ResponseWriter, _ *http.Request) {
			cancel()
			time.Sleep(closeTimeout / 2)
			_, _ = io.WriteString(w, "answer")
		})
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

// Guards against: the last bytes of a response were cut at the end of a stop, with time left,
// because its client reads slowly (review case 6, LOST). A client that reads nothing ends
// the server late, but in time.
func TestSlowReaderGetsTheEndOfItsResponse(t *testing.T) {
	for _, reads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			const left = time.Second
			var tasks conc.WaitGroup
			listener := newPipeListener(func() {})
			ctx, cancel := context.WithCancel(t.Context())
			running := newComponents()
			running.answerUntil = time.Now().Add(left)
			running.startCalls(ctx, listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "answer")
			}))
			tasks.Go(func() { assert.Check(t, running.wait()) })
			client, accepted := net.Pipe()
			defer client.Close()
			listener.conns <- accepted
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: huts\r\nConnection: close\r\n\r\n")
			assert.NilError(t, err)
			synctest.Wait()
			start := time.Now()
			cancel()
			time.Sleep(5 * closeTimeout)
			if reads {
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "answer")
			}
			tasks.Wait()
			if !reads {
				assert.Equal(t, time.Since(start), left)
			}
		})
	}
}
