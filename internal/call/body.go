package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// maxBufferedBody is the length in bytes up to which a body is read into memory
// before it is passed on.
const maxBufferedBody = 64 << 10

// Errors of request bodies.
var (
	errBodyTruncated = errors.New("request body truncated")
	errBodyClosed    = errors.New("request body is closed for reading")
)

// body is the body of a request. One of at most maxBufferedBody bytes is buffered
// and can be sent again; any other is streamed.
type body struct {
	buffered []byte
	length   int64
	trailer  http.Header

	// started is set when the stream is first read, atEOF when its end is reached.
	started atomic.Bool
	atEOF   atomic.Bool
	// mu is held during reads of the stream.
	mu      sync.Mutex
	stream  io.Reader
	stopped bool
}

// readBody returns the body of a request, buffered if it is short.
func readBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return &body{stream: r.Body, length: r.ContentLength, trailer: r.Trailer}, nil
	}
	content := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, content); err != nil {
		return nil, fmt.Errorf("%w: %w", errBodyTruncated, err)
	}
	return &body{buffered: content, length: r.ContentLength}, nil
}

// readBodyByDeadline is readBody with a read deadline on the connection. The
// deadline is cleared once the body is buffered: the server goes on reading in the
// background to detect a client that disconnects, and a deadline that passes
// there, for example after the process was paused, would leave every later request
// on the connection cancelled from its start.
func readBodyByDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) (*body, error) {
	if r.ContentLength == 0 {
		return readBody(r)
	}
	control := http.NewResponseController(w)
	// A connection without support for deadlines is read without one.
	_ = control.SetReadDeadline(deadline)
	read, err := readBody(r)
	if err == nil && read.stream == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return read, err
}

// bodyErrorStatus returns the status for a request whose body could not be read.
func bodyErrorStatus(err error) int {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// resendable reports whether the body can still be sent from its start.
func (b *body) resendable() bool { return b.stream == nil || !b.started.Load() }

// newReader returns the body for one attempt. Its type keeps net/http from
// resending a request on its own: for a request without a body, the transport does
// so for methods that HTTP defines as idempotent and for requests with an
// idempotency key.
func (b *body) newReader(method string, header http.Header) io.ReadCloser {
	if b.length == 0 && !transportMayResend(method, header) {
		return http.NoBody
	}
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &attemptBody{body: b}
}

// transportMayResend reports whether net/http would resend a request without a
// body after its connection failed.
func transportMayResend(method string, header http.Header) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return header["Idempotency-Key"] != nil || header["X-Idempotency-Key"] != nil
	}
}

// streamed reports whether the body is not held in memory.
func (b *body) streamed() bool { return b.stream != nil }

// unfinished reports whether the body is streamed and its end has not been
// reached.
func (b *body) unfinished() bool { return b.stream != nil && !b.atEOF.Load() }

// enableFullDuplex allows a response to be written while the request body is still
// being read. The server cannot find the start of the next request after that, so
// the connection is closed.
func (b *body) enableFullDuplex(w http.ResponseWriter) {
	if !b.unfinished() {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

// stopReading ends reads of an unfinished stream. It must be called before an
// error is written and before the handler returns, because the transport may still
// be reading. The server closes the connection of a request with an unread body.
func (b *body) stopReading(w http.ResponseWriter) {
	if !b.unfinished() || !b.started.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

func (b *body) read(p []byte) (int, error) {
	b.started.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.atEOF.Load() {
		return 0, io.EOF
	}
	if b.stopped {
		return 0, errBodyClosed
	}
	n, err := b.stream.Read(p)
	if err == io.EOF {
		b.atEOF.Store(true)
	}
	return n, err
}

// attemptBody is the streamed body as one attempt reads it.
type attemptBody struct {
	body   *body
	closed atomic.Bool
}

func (a *attemptBody) Read(p []byte) (int, error) {
	if a.closed.Load() {
		return 0, errBodyClosed
	}
	return a.body.read(p)
}

// Close makes later reads fail. It does not wait for a read in progress.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}
