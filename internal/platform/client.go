package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/idle"
)

// Limits of the client.
const (
	// DefaultMaxBytes limits the total size of the payloads that one read returns.
	DefaultMaxBytes = 1 << 20
	// maxResponseBytes limits the body of one response. A single record may be longer
	// than DefaultMaxBytes.
	maxResponseBytes = 17 << 20
)

// Client is a client of the log service over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the service at a base URL. timeout limits each
// append and each pause of a read, which may take its wait in addition. If transport is nil, the client
// creates its own.
func NewClient(baseURL string, timeout time.Duration, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = NewTransport()
	}
	client := &http.Client{Transport: transport, CheckRedirect: disallowRedirects}
	return &Client{base: baseURL, timeout: timeout, http: client}
}

// disallowRedirects prevents an append from being sent a second time to the
// location of a redirect.
func disallowRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Append adds a record and returns its offset. The error wraps ErrRefused if the
// record was certainly not written, else ErrUnknown.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := bytes.NewReader(payload)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), body)
	if err != nil {
		return 0, c.wrapError("append", stream, ErrRefused, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, c.wrapError("append", stream, classifyAppendError(err), err)
	}
	wire := &AppendAnswer{}
	status, err := readResponse(ctx, response, wire)
	switch {
	case status == http.StatusServiceUnavailable:
		return 0, c.wrapError("append", stream, ErrRefused, &StatusError{Status: status})
	case err != nil:
		return 0, c.wrapError("append", stream, ErrUnknown, err)
	case status != http.StatusOK:
		return 0, c.wrapError("append", stream, ErrUnknown, &StatusError{Status: status})
	case wire.GetOffset() == 0:
		return 0, c.wrapError("append", stream, ErrUnknown, errors.New("response contains no offset"))
	}
	return wire.GetOffset(), nil
}

// Read returns records from an offset onwards and waits up to wait for the first
// one. If the offset has expired, the error is an *ExpiredError and the result
// contains the oldest and the next offset.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error) {
	ctx, cancel := WithReadTimeout(ctx, wait, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.readURL(stream, from, wait), nil)
	if err != nil {
		return ReadResult{}, c.wrapError("read", stream, nil, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ReadResult{}, c.wrapError("read", stream, nil, idle.Error(ctx, err))
	}
	wire := &ReadAnswer{}
	status, err := readResponse(ctx, response, wire)
	if err != nil {
		return ReadResult{}, c.wrapError("read", stream, nil, err)
	}
	result := ReadResult{
		Records: RecordsFromWire(wire.GetRecords()),
		Oldest:  wire.GetOldest(),
		Next:    wire.GetNext(),
	}
	switch status {
	case http.StatusOK:
		return result, nil
	case http.StatusGone:
		return result, &ExpiredError{Stream: stream, From: from, Oldest: result.Oldest}
	}
	return ReadResult{}, c.wrapError("read", stream, nil, &StatusError{Status: status})
}

func (c *Client) recordsURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) readURL(stream string, from uint64, wait time.Duration) string {
	values := url.Values{
		"from":      {strconv.FormatUint(from, 10)},
		"wait_ms":   {strconv.FormatInt(wait.Milliseconds(), 10)},
		"max_bytes": {strconv.Itoa(DefaultMaxBytes)},
	}
	return c.recordsURL(stream) + "?" + values.Encode()
}

// wrapError adds the operation, the stream and the address of the log to an error.
// outcome is ErrRefused or ErrUnknown for an append and nil for a read.
func (c *Client) wrapError(operation, stream string, outcome, err error) error {
	if outcome == nil {
		return fmt.Errorf("%s stream %s at %s: %w", operation, stream, c.base, err)
	}
	return fmt.Errorf("%s stream %s at %s: %w: %w", operation, stream, c.base, outcome, err)
}

// classifyAppendError returns ErrRefused if connecting to the service failed, else
// ErrUnknown.
func classifyAppendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRefused
	}
	return ErrUnknown
}

// readResponse reads the whole body and decodes it if the status is 200 or 410.
func readResponse(ctx context.Context, response *http.Response, into proto.Message) (int, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := ReadBody(ctx, response, maxResponseBytes)
	if err != nil {
		return response.StatusCode, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return response.StatusCode, nil
	}
	if err := proto.Unmarshal(body, into); err != nil {
		return response.StatusCode, fmt.Errorf("decode response: %w", err)
	}
	return response.StatusCode, nil
}

// StatusError is a response of the log with an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("log responded with status %d %s", e.Status, http.StatusText(e.Status))
}
