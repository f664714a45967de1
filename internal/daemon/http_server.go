package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/clientlimit"
)

const (
	// readHeaderTimeout limits how long a client may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an HTTP connection without requests stays open.
	idleTimeout = 2 * time.Minute
	// closeTimeout limits how long responses may still be written when the server
	// closes, unless the process has more time.
	closeTimeout = 100 * time.Millisecond
)

// httpServer serves HTTP on one listener.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	requests *openRequests
	// served is closed when serve has returned.
	served chan struct{}
}

func newHTTPServer(listener net.Listener, handler http.Handler, maxHead int) *httpServer {
	requests := newOpenRequests()
	server := &http.Server{
		Handler:           clientlimit.Handler(requests.handler(handler)),
		MaxHeaderBytes:    maxHead,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnState: func(conn net.Conn, state http.ConnState) {
			clientlimit.ObserveState(conn, state)
			requests.observe(conn, state)
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return requests.connContext(call.ConnContext(clientlimit.ConnContext(ctx, conn), conn), conn)
		},
	}
	return &httpServer{server: server, listener: listener, requests: requests, served: make(chan struct{})}
}

// serve accepts connections until the listener is closed or Accept fails. The
// connections that were accepted before stay open until close.
func (s *httpServer) serve() error {
	defer close(s.served)
	err := s.server.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

// close closes the listener and then the connections. Requests on connections that
// were accepted before get closeTimeout for their responses: once its shutdown has
// begun, net/http closes a connection without a response even if it then reads a
// request on it. Responses that are being written have until a later time, if it is one.
func (s *httpServer) close(until time.Time) {
	_ = s.listener.Close()
	<-s.served
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.requests.waitNone(ctx)
	answering, cancelAnswering := context.WithDeadline(context.Background(), until)
	defer cancelAnswering()
	s.requests.waitAnswered(answering)
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}
