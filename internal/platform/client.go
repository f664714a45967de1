package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"
)

// Limits of the client.
const (
	// DefaultMaxBytes bounds the payloads of one read, in bytes.
	DefaultMaxBytes = 1 << 20
	// maxAnswerBytes bounds the body of one answer, in bytes.
	maxAnswerBytes = 64 << 20
)

// Client speaks to the log service over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the service at a base URL. timeout bounds
// each request besides the wait of a read. A nil transport means a transport
// of the client's own.
func NewClient(baseURL string, timeout time.Duration, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = http.DefaultTransport.(*http.Transport).Clone()
	}
	client := &http.Client{Transport: transport, CheckRedirect: neverRedirect}
	return &Client{base: baseURL, timeout: timeout, http: client}
}

// neverRedirect keeps an append from being sent twice.
func neverRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Append adds a record and returns its offset. The error wraps ErrRefused
// when the record was certainly not written, else ErrUnknown.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := bytes.NewReader(payload)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.records(stream), body)
	if err != nil {
		return 0, c.failure("append", stream, ErrRefused, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, c.failure("append", stream, appendOutcome(err), err)
	}
	answer := &AppendAnswer{}
	status, err := readAnswer(response, answer)
	switch {
	case status == http.StatusServiceUnavailable:
		return 0, c.failure("append", stream, ErrRefused, &StatusError{Status: status})
	case err != nil:
		return 0, c.failure("append", stream, ErrUnknown, err)
	case status != http.StatusOK:
		return 0, c.failure("append", stream, ErrUnknown, &StatusError{Status: status})
	case answer.GetOffset() == 0:
		return 0, c.failure("append", stream, ErrUnknown, errors.New("answer without an offset"))
	}
	return answer.GetOffset(), nil
}

// Read returns records from an offset on, waiting for the first one. When the
// offset has expired the error is an *ExpiredError and the result holds the
// oldest and next offsets.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.query(stream, from, wait), nil)
	if err != nil {
		return ReadResult{}, c.failure("read", stream, nil, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ReadResult{}, c.failure("read", stream, nil, err)
	}
	answer := &ReadAnswer{}
	status, err := readAnswer(response, answer)
	if err != nil {
		return ReadResult{}, c.failure("read", stream, nil, err)
	}
	result := ReadResult{
		Records: RecordsFromWire(answer.GetRecords()),
		Oldest:  answer.GetOldest(),
		Next:    answer.GetNext(),
	}
	switch status {
	case http.StatusOK:
		return result, nil
	case http.StatusGone:
		return result, &ExpiredError{Stream: stream, From: from, Oldest: result.Oldest}
	}
	return ReadResult{}, c.failure("read", stream, nil, &StatusError{Status: status})
}

func (c *Client) records(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) query(stream string, from uint64, wait time.Duration) string {
	values := url.Values{
		"from":      {strconv.FormatUint(from, 10)},
		"wait_ms":   {strconv.FormatInt(wait.Milliseconds(), 10)},
		"max_bytes": {strconv.Itoa(DefaultMaxBytes)},
	}
	return c.records(stream) + "?" + values.Encode()
}

// failure adds the step and the peer to an error, and what is known of an
// append's effect when kind is not nil.
func (c *Client) failure(step, stream string, kind, err error) error {
	if kind == nil {
		return fmt.Errorf("%s stream %s at %s: %w", step, stream, c.base, err)
	}
	return fmt.Errorf("%s stream %s at %s: %w: %w", step, stream, c.base, kind, err)
}

// appendOutcome is ErrRefused when no connection to the service was made.
func appendOutcome(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRefused
	}
	return ErrUnknown
}

// readAnswer reads a whole body and decodes it when the status is 200 or 410.
func readAnswer(response *http.Response, into proto.Message) (int, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return response.StatusCode, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return response.StatusCode, nil
	}
	if err := proto.Unmarshal(body, into); err != nil {
		return response.StatusCode, fmt.Errorf("decode answer: %w", err)
	}
	return response.StatusCode, nil
}

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the log answered %d %s", e.Status, http.StatusText(e.Status))
}
