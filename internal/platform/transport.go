package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/responsehead"
)

// maxHeadBytes limits the head of a response of the log.
const maxHeadBytes = 64 << 10

// MaxTransferTime limits a call of the log whose bytes trickle in.
const MaxTransferTime = 30 * time.Second

var errBodyTooLong = errors.New("response body is too long")

// NewTransport returns a transport for clients of the log.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return transport
}

// WithReadTimeout returns the context of one read of the log. The response may take
// wait and timeout to begin and must not pause for longer than timeout then, however
// long it is.
func WithReadTimeout(ctx context.Context, wait, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTransfer := context.WithTimeout(ctx, wait+max(timeout, MaxTransferTime))
	ctx, cancelIdle := idle.WithTimeout(ctx, wait+timeout, timeout)
	return ctx, func() {
		cancelIdle()
		cancelTransfer()
	}
}

// ReadBody reads the body of a response of the log, which may have at most limit
// bytes. ctx is that of the request. A response whose head is not valid is an error, since a
// status of 200 in it would acknowledge a record.
func ReadBody(ctx context.Context, response *http.Response, limit int64) ([]byte, error) {
	idle.Progress(ctx)
	if err := responsehead.CheckParsed(response); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(idle.NewReader(ctx, io.LimitReader(response.Body, limit+1)))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", idle.Error(ctx, err))
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errBodyTooLong, limit)
	}
	return body, nil
}
