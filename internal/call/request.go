package call

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// hopMargin is how much earlier the deadline of the next hop ends, so that its
	// response still arrives in time.
	hopMargin = 2 * time.Millisecond
	// hopMarginDivisor limits the margin to 1/hopMarginDivisor of the time left.
	hopMarginDivisor = 10
)

// request is one attempt of a call on one daemon.
type request struct {
	id        string
	attempt   int
	key       string
	service   *publish.Service
	workspace string
	// share is the share of the client workspace relative to the others, 0 for a call
	// without one.
	share float64
	// priority is the priority of the client workspace, else of the route, 0 the
	// highest.
	priority int
	// objective is the response time up to which a response has its full value, 0
	// for none.
	objective time.Duration
	// late says that half of the objective had passed when the call arrived.
	late bool
	// freeSlotOnly says that the request must not wait for a slot.
	freeSlotOnly bool
	// timed says that the daemon of the target shall report how long that took.
	timed    bool
	config   *publish.Configuration
	deadline time.Time
	// retries is the number of retries that the next hop may use.
	retries int
	// mayGoElsewhere reports whether another host could serve the call if this
	// attempt gets no connection. It is nil if the attempt waits for one until its
	// deadline.
	mayGoElsewhere func() bool
	// takeRetry reports whether the call can be repeated on another host though this
	// attempt may have run, and takes that from the retry budget. It is nil if the
	// attempt waits for its response until its deadline.
	takeRetry func() bool
	// onHead is called when the head of a response that is passed on has arrived; nil for
	// nothing to do.
	onHead func()
	method string
	host   string
	path   string
	query  string
	header http.Header
	body   *body
}

// headArrived notes that the head of a response that is passed on has arrived.
func (q *request) headArrived() {
	if q.onHead != nil {
		q.onHead()
	}
}

// rank is the rank of the request among all.
func (q *request) rank() int { return callRank(q.priority, q.objective) }

// admissionRequest returns what the admission queue needs to know of the request.
func (q *request) admissionRequest() admissionRequest {
	return admissionRequest{workspace: q.workspace, share: q.share, priority: q.priority, late: q.late, deadline: q.deadline, objective: q.objective}
}

// limits returns the admission limits for the request to an instance of the local
// target.
func (q *request) limits(self membership.Member, instance string) admissionLimits {
	allowed := admissionLimitsOf(q.service, self.Slots)
	allowed.instance = instance
	if q.freeSlotOnly {
		allowed.queue = 0
	}
	return allowed
}

// httpRequest returns the HTTP request that sends the attempt to an address.
func (q *request) httpRequest(ctx context.Context, address string, remaining time.Duration) (*http.Request, error) {
	path, err := url.PathUnescape(q.path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", q.path, err)
	}
	target := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: q.path, RawQuery: q.query}
	header := q.header.Clone()
	header.Set(HeaderCall, q.id)
	header.Set(HeaderAttempt, strconv.Itoa(q.attempt))
	header.Set(HeaderDeadline, hopDeadline(remaining).String())
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
		Body:          q.body.newReader(q.method, header),
		ContentLength: q.body.length,
		Trailer:       q.body.trailer,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return out.WithContext(ctx), nil
}

// hopDeadline returns the deadline of the next hop, given the time left here.
func hopDeadline(remaining time.Duration) time.Duration {
	return max(remaining-min(hopMargin, remaining/hopMarginDivisor), 1)
}
