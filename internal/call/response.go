package call

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// copyBufferSize is the size in bytes of the buffer that copies a body to the
// client.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// targetResponse is the response of a target, to be written to a caller or to
// another daemon.
type targetResponse struct {
	status int
	// host and attempt say which attempt got the response.
	host    string
	attempt int
	// targetTime is the time from the request to the target to its response, 0 if it is
	// not known.
	targetTime time.Duration
	// header holds the end-to-end headers of the target.
	header http.Header
	// length is the length of the body, -1 if unknown.
	length int64
	body   io.ReadCloser
	// trailer is complete once the body has been read to its end.
	trailer http.Header
	// release is called once; complete reports whether the whole body was read.
	release func(complete bool)
}

// newTargetResponse wraps a response. A body of at most wholeUpTo bytes is
// read in full, so that a truncated one can still be reported to the caller as an
// error; release is then called before newTargetResponse returns. upload says that the request
// has a long body: the start of a response that ends with the connection is read too then,
// since a target that fails as it is sent a request resets its connection.
func newTargetResponse(response *http.Response, upload bool, wholeUpTo int64, release func(complete bool)) (*targetResponse, error) {
	result := &targetResponse{
		status:  response.StatusCode,
		header:  endToEndHeaders(response.Header),
		length:  response.ContentLength,
		body:    response.Body,
		trailer: response.Trailer,
		release: release,
	}
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if response.ContentLength > wholeUpTo || response.ContentLength < 0 && !(upload && endsWithConnection) {
		return result, nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, wholeUpTo+1))
	if err == nil && int64(len(content)) > wholeUpTo {
		result.body = prefixedBody{Reader: io.MultiReader(bytes.NewReader(content), response.Body), Closer: response.Body}
		return result, nil
	}
	_ = response.Body.Close()
	release(err == nil)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	result.body = io.NopCloser(bytes.NewReader(content))
	result.release = func(bool) {}
	return result, nil
}

// prefixedBody is a body of which a part has been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// discard closes a response that is not passed on.
func (r *targetResponse) discard() {
	_ = r.body.Close()
	r.release(false)
}

// errResponseTruncated is the error of a response body that ended early.
var errResponseTruncated = errors.New("response truncated")

// relay writes the response to a client, a long one at the pace of the link. After an
// error the connection of the client must be aborted, so that the client cannot mistake
// a partial response for a complete one.
func (r *targetResponse) relay(ctx context.Context, w http.ResponseWriter, pace *pacer) (err error) {
	defer func() {
		_ = r.body.Close()
		r.release(err == nil)
	}()
	header := w.Header()
	for name, values := range r.header {
		header[name] = values
	}
	for name := range r.trailer {
		header.Add("Trailer", name)
	}
	declared := len(r.trailer)
	w.WriteHeader(r.status)
	if err := r.copyBody(ctx, w, pace); err != nil {
		return err
	}
	return r.writeTrailer(w, declared)
}

func (r *targetResponse) copyBody(ctx context.Context, w http.ResponseWriter, pace *pacer) error {
	control := http.NewResponseController(w)
	streamed := r.length < 0
	if streamed {
		_ = control.Flush()
	}
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	for sent := int64(0); ; {
		n, err := r.body.Read(*pooled)
		sent += int64(n)
		if n > 0 && paced(max(r.length, sent)) {
			left := max(r.length-sent, 0) + int64(n)
			if paceErr := pace.wait(ctx, n, left); paceErr != nil {
				return paceErr
			}
		}
		if n > 0 {
			if _, writeErr := w.Write((*pooled)[:n]); writeErr != nil {
				return fmt.Errorf("write response: %w", writeErr)
			}
			if streamed {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errResponseTruncated, err)
		}
	}
}

// errInvalidTrailer is the error of a response whose trailer cannot be passed on.
var errInvalidTrailer = errors.New("invalid trailer of a response")

func (r *targetResponse) writeTrailer(w http.ResponseWriter, declared int) error {
	for name, values := range r.trailer {
		valid := httpguts.ValidHeaderFieldName(name) && httpguts.ValidTrailerHeader(name)
		if !valid || slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }) {
			return fmt.Errorf("%w: field %.40q", errInvalidTrailer, name)
		}
	}
	prefix := ""
	if len(r.trailer) != declared {
		prefix = http.TrailerPrefix
	}
	for name, values := range r.trailer {
		w.Header()[prefix+name] = values
	}
	return nil
}
