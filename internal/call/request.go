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
	// hopMargin is how much sooner the next hop's deadline ends, so that its
	// answer still arrives.
	hopMargin = 2 * time.Millisecond
	// hopMarginShare bounds hopMargin to a share of the time left.
	hopMarginShare = 10
)

// request is one attempt of a call as it passes through a daemon.
type request struct {
	id        string
	attempt   int
	key       string
	service   *publish.Service
	workspace string
	// priority is the rank of the route, 0 the highest.
	priority int
	// objective is the time within which an answer has its full value, 0 when
	// none is given.
	objective time.Duration
	// late says that half of the objective had passed when the call came.
	late bool
	// freeSlotOnly says that the request does not wait for a slot.
	freeSlotOnly bool
	config       *publish.Configuration
	deadline     time.Time
	// retries is what the next hop may spend on retries.
	retries int
	method  string
	host    string
	path    string
	query   string
	header  http.Header
	body    *body
}

// ticket is what the gate asks of a request.
func (q *request) ticket() ticket {
	return ticket{workspace: q.workspace, priority: q.priority, late: q.late, deadline: q.deadline, objective: q.objective}
}

// limits returns the limits of the gate for a request to the own target.
func (q *request) limits(self membership.Member) limits {
	allowed := limitsOf(q.service, self.Slots)
	if q.freeSlotOnly {
		allowed.queue = 0
	}
	return allowed
}

// outgoing builds the HTTP request that carries an attempt to an address.
func (q *request) outgoing(ctx context.Context, address string, left time.Duration) (*http.Request, error) {
	path, err := url.PathUnescape(q.path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", q.path, err)
	}
	target := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: q.path, RawQuery: q.query}
	header := q.header.Clone()
	header.Set(HeaderCall, q.id)
	header.Set(HeaderAttempt, strconv.Itoa(q.attempt))
	header.Set(HeaderDeadline, hopDeadline(left).String())
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
		Body:          q.body.open(q.method, header),
		ContentLength: q.body.length,
		Trailer:       q.body.trailer,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return out.WithContext(ctx), nil
}

// hopDeadline is the time given to the next hop when so much is left here.
func hopDeadline(left time.Duration) time.Duration {
	return max(left-min(hopMargin, left/hopMarginShare), 1)
}
