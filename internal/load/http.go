package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/call"
)

// maxIdle bounds the connections that a caller keeps to one address.
const maxIdle = 2000

// HTTPCaller calls daemons in turn.
type HTTPCaller struct {
	// Addresses are caller ports of daemons, or of targets, each "IP:port".
	Addresses []string
	// LookupPath is "/workspace/route/rest" of an idempotent route.
	LookupPath string
	// KeyedPath is that of a route whose calls may not be repeated.
	KeyedPath string
	// KeyedShare is the share of keyed calls, from 0 to 1.
	KeyedShare float64
	// Timeout is the deadline of each call.
	Timeout time.Duration
	// Body is sent with keyed calls.
	Body []byte
	// Transport carries the calls; NewTransport makes one.
	Transport http.RoundTripper
}

// NewTransport returns a transport that keeps many connections.
func NewTransport() *http.Transport {
	return &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
}

// Call implements Caller.
func (c *HTTPCaller) Call(ctx context.Context, number int) (Kind, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	address := c.Addresses[number%len(c.Addresses)]
	kind, request := c.request(ctx, number, address)
	if request == nil {
		return kind, Broken
	}
	request.Header.Set(call.HeaderDeadline, c.Timeout.String())
	return kind, send(c.Transport, request)
}

func (c *HTTPCaller) request(ctx context.Context, number int, address string) (Kind, *http.Request) {
	if !c.isKeyed(number) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+c.LookupPath, nil)
		if err != nil {
			return Lookup, nil
		}
		return Lookup, request
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.KeyedPath, bytes.NewReader(c.Body))
	if err != nil {
		return Keyed, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return Keyed, nil
	}
	request.Header.Set(call.HeaderKey, key.String())
	return Keyed, request
}

// isKeyed spreads keyed calls evenly over the numbers.
func (c *HTTPCaller) isKeyed(number int) bool {
	return int(float64(number+1)*c.KeyedShare) > int(float64(number)*c.KeyedShare)
}

// send makes one request and reads its whole answer.
func send(transport http.RoundTripper, request *http.Request) Outcome {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Broken
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Broken
	}
	return endingOf(response)
}

func endingOf(response *http.Response) Outcome {
	switch response.Header.Get(call.HeaderOutcome) {
	case string(call.NotRun):
		return NotRun
	case string(call.Unknown):
		return Unknown
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return Broken
	}
	return Answered
}

// NaiveCaller is the baseline: it calls random targets directly, without
// limits, and tries again at once whatever the error.
type NaiveCaller struct {
	// Addresses are those of the targets, each "IP:port".
	Addresses []string
	Path      string
	// Timeout is the deadline of a call, AttemptTimeout that of one attempt.
	Timeout        time.Duration
	AttemptTimeout time.Duration
	// Retries is how many more attempts are made.
	Retries   int
	Transport http.RoundTripper
}

// Call implements Caller.
func (c *NaiveCaller) Call(ctx context.Context, _ int) (Kind, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	ending := Broken
	for range c.Retries + 1 {
		ending = c.attempt(ctx)
		if ending == Answered || ctx.Err() != nil {
			break
		}
	}
	return Lookup, ending
}

func (c *NaiveCaller) attempt(ctx context.Context) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	address := c.Addresses[rand.IntN(len(c.Addresses))]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+c.Path, nil)
	if err != nil {
		return Broken
	}
	return send(c.Transport, request)
}
