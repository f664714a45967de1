package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// bufferLimit is the length in bytes up to which bodies are read whole before
// they are passed on.
const bufferLimit = 64 << 10

// Errors of request bodies.
var (
	errBodyCut     = errors.New("request body was cut")
	errBodyStopped = errors.New("request body is no longer read")
)

// body is the body of a request: short ones are read whole and can be sent
// again, others are passed on as they come.
type body struct {
	whole   []byte
	length  int64
	trailer http.Header

	// touched is set once the stream was read from, ended once it was read
	// to its end.
	touched atomic.Bool
	ended   atomic.Bool
	// mu is held while the stream is read.
	mu      sync.Mutex
	stream  io.Reader
	stopped bool
}

// readBody takes the body of a request, reading it whole if it is short.
func readBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 || r.ContentLength > bufferLimit {
		return &body{stream: r.Body, length: r.ContentLength, trailer: r.Trailer}, nil
	}
	whole := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, whole); err != nil {
		return nil, fmt.Errorf("%w: %w", errBodyCut, err)
	}
	return &body{whole: whole, length: r.ContentLength}, nil
}

// readBodyUntil is readBody with a bound on the reading of the body. The bound is
// lifted once the whole body is there: the server goes on reading to see whether
// the caller leaves, and if the bound ended that, after a pause of the process,
// each later request on the connection would begin cancelled.
func readBodyUntil(w http.ResponseWriter, r *http.Request, deadline time.Time) (*body, error) {
	if r.ContentLength == 0 {
		return readBody(r)
	}
	control := http.NewResponseController(w)
	// A connection that takes no bound is read without one.
	_ = control.SetReadDeadline(deadline.Add(writeGrace))
	read, err := readBody(r)
	if err == nil && read.stream == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return read, err
}

// repeatable reports whether the body can be sent from its start.
func (b *body) repeatable() bool { return b.stream == nil || !b.touched.Load() }

// open returns a reader for one attempt. Its type hides from the transport
// that the body could be sent again: the transport must not do so by itself.
// It would repeat requests of the methods that HTTP calls idempotent, and
// those with an idempotency key, if it saw that they had no body.
func (b *body) open(method string, header http.Header) io.ReadCloser {
	if b.length == 0 && !transportMayRepeat(method, header) {
		return http.NoBody
	}
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.whole))
	}
	return &attemptBody{body: b}
}

// transportMayRepeat reports whether net/http would send a request without
// body again after a connection failed.
func transportMayRepeat(method string, header http.Header) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return header["Idempotency-Key"] != nil || header["X-Idempotency-Key"] != nil
	}
}

// unfinished reports whether the stream has not been read to its end.
func (b *body) unfinished() bool { return b.stream != nil && !b.ended.Load() }

// duplex lets an answer be written while the request is still being read. The
// server cannot find the next request after that, so the connection is closed.
func (b *body) duplex(w http.ResponseWriter) {
	if !b.unfinished() {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

// stop ends the reading of an unfinished stream. It must be called before an
// error is written and before the handler returns, because the transport may
// still be reading. The server closes a connection with an unread request.
func (b *body) stop(w http.ResponseWriter) {
	if !b.unfinished() || !b.touched.Load() {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// read reads from the stream.
func (b *body) read(p []byte) (int, error) {
	b.touched.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended.Load() {
		return 0, io.EOF
	}
	if b.stopped {
		return 0, errBodyStopped
	}
	n, err := b.stream.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// attemptBody reads the stream for one attempt.
type attemptBody struct {
	body   *body
	closed atomic.Bool
}

func (a *attemptBody) Read(p []byte) (int, error) {
	if a.closed.Load() {
		return 0, errBodyStopped
	}
	return a.body.read(p)
}

// Close forbids further reads. It does not wait for one in progress.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}
