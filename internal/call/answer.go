package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// copyBufferSize is the length in bytes of the buffer that relays a body.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// answer is a response on its way to the caller.
type answer struct {
	status int
	// host answered the attempt with a number.
	host    string
	attempt int
	// header holds what came from the target, without the mesh's headers.
	header http.Header
	// length is the body's length, -1 when it is not known.
	length int64
	body   io.ReadCloser
	// trailer is complete once the body has been read.
	trailer http.Header
	// release is called once with whether the whole answer was read.
	release func(whole bool)
}

// newAnswer wraps a response. A short body is read whole, so that a cut one
// can still be told to the caller as an error; release is then called at once.
func newAnswer(response *http.Response, release func(whole bool)) (*answer, error) {
	result := &answer{
		status:  response.StatusCode,
		header:  passHeaders(response.Header),
		length:  response.ContentLength,
		body:    response.Body,
		trailer: response.Trailer,
		release: release,
	}
	if response.ContentLength < 0 || response.ContentLength > bufferLimit {
		return result, nil
	}
	whole, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	release(err == nil)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	result.body = io.NopCloser(bytes.NewReader(whole))
	result.release = func(bool) {}
	return result, nil
}

// discard gives up an answer that nobody gets.
func (a *answer) discard() {
	_ = a.body.Close()
	a.release(false)
}

// errAnswerCut says that an answer's body ended early.
var errAnswerCut = errors.New("answer was cut")

// relay writes the answer to a client. After an error the client's connection
// must be aborted, so that it cannot take the part for the whole.
func (a *answer) relay(w http.ResponseWriter) (err error) {
	defer func() {
		_ = a.body.Close()
		a.release(err == nil)
	}()
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	for name := range a.trailer {
		header.Add("Trailer", name)
	}
	announced := len(a.trailer)
	w.WriteHeader(a.status)
	if err := a.copyBody(w); err != nil {
		return err
	}
	a.writeTrailer(w, announced)
	return nil
}

func (a *answer) copyBody(w http.ResponseWriter) error {
	control := http.NewResponseController(w)
	streamed := a.length < 0
	if streamed {
		_ = control.Flush()
	}
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	for {
		n, err := a.body.Read(*pooled)
		if n > 0 {
			if _, writeErr := w.Write((*pooled)[:n]); writeErr != nil {
				return fmt.Errorf("write answer: %w", writeErr)
			}
			if streamed {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errAnswerCut, err)
		}
	}
}

func (a *answer) writeTrailer(w http.ResponseWriter, announced int) {
	prefix := ""
	if len(a.trailer) != announced {
		prefix = http.TrailerPrefix
	}
	for name, values := range a.trailer {
		w.Header()[prefix+name] = values
	}
}
