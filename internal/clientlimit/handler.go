package clientlimit

import (
	"io"
	"net/http"
)

const (
	// fieldCost is the memory of a header field besides its bytes, in the request and
	// in the copies that are passed on, and headCopies how often its bytes are held.
	fieldCost  = 200
	headCopies = 3
	// bufferedBody is the longest body that is buffered in full.
	bufferedBody = 64 << 10
	// streamCost is the memory of a streamed body: the buffers of its two connections.
	streamCost = 64 << 10
)

// Handler accounts the requests of a handler.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			r = c.beginRequest(r)
		}
		next.ServeHTTP(w, r)
	})
}

// beginRequest accounts a request whose head has been read, and returns it with a body
// that is observed. The request itself stays as it is: from the type of its body net/http
// knows how much was not read. With another type it would read 256 KiB of a refused body
// before it answers.
func (c *Conn) beginRequest(r *http.Request) *http.Request {
	held := baseCost + headCost(r.Header)
	if r.Body == nil || r.Body == http.NoBody {
		c.setPhase(phaseRunning, false, held)
		return r
	}
	streamed := r.ContentLength < 0 || r.ContentLength > bufferedBody
	bodyCost := r.ContentLength
	if streamed {
		bodyCost = streamCost
	}
	c.setPhase(phaseBody, streamed, held+bodyCost)
	observed := &observedRequest{Request: *r, body: observedBody{ReadCloser: r.Body, conn: c, held: held + bodyCost}}
	observed.Body = &observed.body
	return &observed.Request
}

// observedRequest is a copy of a request and its body in one allocation.
type observedRequest struct {
	http.Request
	body observedBody
}

// headCost returns the memory of a parsed head in bytes.
func headCost(header http.Header) int64 {
	cost := 0
	for name, values := range header {
		cost += fieldCost
		for _, value := range values {
			cost += headCopies * (len(name) + len(value))
		}
	}
	return int64(cost)
}

// observedBody tells its connection when the body has been read.
type observedBody struct {
	io.ReadCloser
	conn *Conn
	held int64
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.setPhase(phaseRunning, false, b.held)
	}
	return n, err
}
