package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxHeadBytes limits the head of a response of the log.
const maxHeadBytes = 64 << 10

var errBodyTooLong = errors.New("response body is too long")

// NewTransport returns a transport for clients of the log.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return transport
}

// ReadBody reads the body of a response of the log, which may have at most limit
// bytes.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errBodyTooLong, limit)
	}
	return body, nil
}
