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

// maxIdle is the maximum number of idle connections kept to one address.
const maxIdle = 2000

// HTTPCaller calls daemons round-robin.
type HTTPCaller struct {
	// Addresses are those of daemons for their callers, or of targets, each
	// "IP:port".
	Addresses []string
	// LookupPath is the path of an idempotent route, "/workspace/route/rest".
	LookupPath string
	// KeyedPath is the path of a route whose calls may not be repeated.
	KeyedPath string
	// KeyedShare is the fraction of keyed calls, from 0 to 1.
	KeyedShare float64
	// Timeout is the deadline of each call.
	Timeout time.Duration
	// Body is the request body of keyed calls.
	Body []byte
	// Transport sends the requests; see NewTransport.
	Transport http.RoundTripper
}

// NewTransport returns a transport that keeps up to maxIdle idle connections to
// each address and requests no compression.
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

// isKeyed distributes keyed calls evenly over the call numbers.
func (c *HTTPCaller) isKeyed(number int) bool {
	return int(float64(number+1)*c.KeyedShare) > int(float64(number)*c.KeyedShare)
}

// send sends one request and reads the whole response.
func send(transport http.RoundTripper, request *http.Request) Outcome {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Broken
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Broken
	}
	return outcomeOf(response)
}

func outcomeOf(response *http.Response) Outcome {
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

// NaiveCaller is the baseline for comparison: it calls random targets directly
// without limits and retries immediately on any error.
type NaiveCaller struct {
	// Addresses are the addresses of targets, each "IP:port".
	Addresses []string
	Path      string
	// Timeout is the deadline of a call, AttemptTimeout that of each attempt.
	Timeout        time.Duration
	AttemptTimeout time.Duration
	// Retries is the maximum number of attempts after the first.
	Retries   int
	Transport http.RoundTripper
}

// Call implements Caller.
func (c *NaiveCaller) Call(ctx context.Context, _ int) (Kind, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	outcome := Broken
	for range c.Retries + 1 {
		outcome = c.attempt(ctx)
		if outcome == Answered || ctx.Err() != nil {
			break
		}
	}
	return Lookup, outcome
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
