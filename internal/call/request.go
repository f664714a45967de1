package call

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// bufferLimit is the length in bytes up to which bodies are read whole
	// before they are passed on.
	bufferLimit = 64 << 10
	// hopMargin is how much sooner the next hop's deadline ends, so that its
	// answer still arrives.
	hopMargin = 2 * time.Millisecond
	// hopMarginShare bounds hopMargin to a share of the time left.
	hopMarginShare = 10
)

// request is one attempt of a call as it passes through a daemon.
type request struct {
	id        string
	attempt   int
	key       string
	service   *publish.Service
	workspace string
	config    *publish.Configuration
	deadline  time.Time
	// retries is what the next hop may spend on retries.
	retries int
	method  string
	host    string
	path    string
	query   string
	header  http.Header
	body    *body
}

// body is the body of a request: short ones are read whole and can be sent
// again, others are passed on as they come.
type body struct {
	whole   []byte
	stream  io.Reader
	length  int64
	trailer http.Header
	// touched is set once the stream was read from.
	touched atomic.Bool
}

// errBodyCut says that a request's body ended early.
var errBodyCut = errors.New("request body was cut")

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

// repeatable reports whether the body can be sent from its start.
func (b *body) repeatable() bool { return b.stream == nil || !b.touched.Load() }

// open returns a reader for one attempt. It hides what would let the
// transport send a request twice by itself.
func (b *body) open() io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.whole))
	}
	return io.NopCloser(&streamReader{body: b})
}

type streamReader struct{ body *body }

func (r *streamReader) Read(p []byte) (int, error) {
	r.body.touched.Store(true)
	return r.body.stream.Read(p)
}

// outgoing builds the HTTP request that carries an attempt to an address.
func (q *request) outgoing(ctx context.Context, address string, left time.Duration) (*http.Request, error) {
	path, err := url.PathUnescape(q.path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", q.path, err)
	}
	target := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: q.path, RawQuery: q.query}
	header := q.header.Clone()
	header.Set(HeaderCall, q.id)
	header.Set(HeaderAttempt, strconv.Itoa(q.attempt))
	header.Set(HeaderDeadline, hopDeadline(left).String())
	header.Set(HeaderRetryBudget, strconv.Itoa(q.retries))
	if q.key != "" {
		header.Set(HeaderKey, q.key)
	}
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = nil
	}
	out := &http.Request{
		Method:        q.method,
		URL:           target,
		Host:          q.host,
		Header:        header,
		Body:          q.body.open(),
		ContentLength: q.body.length,
		Trailer:       q.body.trailer,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return out.WithContext(ctx), nil
}

// hopDeadline is the time given to the next hop when so much is left here.
func hopDeadline(left time.Duration) time.Duration {
	return max(left-min(hopMargin, left/hopMarginShare), 1)
}
