package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// routeHost is the host name in all routes.
	routeHost = "huts.example"
	// requestDeadline is the deadline that callers send with their requests.
	requestDeadline = 2 * time.Second
	// readMargin is how long after its deadline a request is given up.
	readMargin  = 2 * time.Second
	dialTimeout = time.Second
	// longDeadline is the deadline of requests that may outlast a stop.
	longDeadline = 25 * time.Second
	// meanThinkTime is the mean pause between two requests of a caller, and
	// meanIdleTime that of callers whose connections are mostly idle.
	meanThinkTime = 40 * time.Millisecond
	meanIdleTime  = 1500 * time.Millisecond
	// idleCallers and longCallers are the numbers of callers of each daemon that
	// send short requests on mostly idle connections, and long requests.
	idleCallers = 1
	longCallers = 2
	// newConnProbability is the probability that a request opens a new
	// connection.
	newConnProbability = 0.1
	// probeInterval is the time between two checks of the active version.
	probeInterval = 150 * time.Millisecond
)

// requestKind is a kind of request that callers send.
type requestKind struct {
	method, path string
	idempotent   bool
	services     []string
	deadline     time.Duration
	// minWork and maxWork bound the execution time. It is part of the path, unless
	// maxWork is 0.
	minWork, maxWork time.Duration
}

// requestKinds are short requests.
var requestKinds = []requestKind{
	{method: http.MethodGet, path: "/lookup/", idempotent: true, services: []string{"huts"}, deadline: requestDeadline},
	{method: http.MethodPost, path: "/charge/", services: []string{"ledger"}, deadline: requestDeadline},
	{method: http.MethodPut, path: "/assign/", services: []string{"huts"}, deadline: requestDeadline},
	{method: http.MethodGet, path: "/moved/", idempotent: true, services: services, deadline: requestDeadline},
}

// longRequestKinds are requests of which many outlast a stop.
var longRequestKinds = []requestKind{
	{method: http.MethodGet, path: "/history/", idempotent: true, services: []string{"huts"}, deadline: longDeadline, minWork: minLongWork, maxWork: maxLongWork},
	{method: http.MethodPost, path: "/settle/", services: []string{"ledger"}, deadline: longDeadline, minWork: minLongWork, maxWork: maxLongWork},
}

const (
	minLongWork = time.Second
	maxLongWork = 6 * time.Second
)

// newPath returns the path of a new request with an ID.
func (k requestKind) newPath(id string, random *rand.Rand) string {
	if k.maxWork == 0 {
		return k.path + id
	}
	work := k.minWork + time.Duration(random.Int64N(int64(k.maxWork-k.minWork)))
	return k.path + work.Round(time.Millisecond).String() + "/" + id
}

// executionTime returns the execution time in the path of a request, 0 if there is
// none.
func executionTime(path string) time.Duration {
	for _, kind := range longRequestKinds {
		if rest, found := strings.CutPrefix(path, kind.path); found {
			text, _, _ := strings.Cut(rest, "/")
			// A path without a duration is not one that a caller sent, which
			// requestRan reports.
			work, _ := time.ParseDuration(text)
			return work
		}
	}
	return 0
}

// caller sends requests through one host on a persistent connection.
type caller struct {
	run    *run
	host   *host
	name   string
	random *rand.Rand
	// kinds are the kinds of the requests, and thinkTime is the mean pause between
	// two of them.
	kinds     []requestKind
	thinkTime time.Duration
	conn      *upstream.CallerConn
	count     int
}

// loop sends requests until ctx ends.
func (c *caller) loop(ctx context.Context) {
	defer c.closeConn()
	for wait.For(ctx, time.Duration(c.random.ExpFloat64()*float64(c.thinkTime))) {
		if c.random.Float64() < newConnProbability {
			c.closeConn()
		}
		kind := c.kinds[c.random.IntN(len(c.kinds))]
		_, _ = c.send(ctx, c.newRequest(kind))
	}
}

func (c *caller) newRequest(kind requestKind) *sentRequest {
	c.count++
	id := fmt.Sprintf("%s-%06d", c.name, c.count)
	body := ""
	if kind.method != http.MethodGet {
		body = fmt.Sprintf("%x", c.random.Uint64())
	}
	return &sentRequest{
		id: id, method: kind.method, path: kind.newPath(id, c.random), body: body,
		service: c.host.service, services: kind.services, idempotent: kind.idempotent,
		deadline: kind.deadline, host: c.host,
	}
}

// send sends a request and checks the response. It returns false if there is no
// connection or it ended without a response. The end of ctx closes the connection.
func (c *caller) send(ctx context.Context, request *sentRequest) (upstream.Response, bool) {
	if c.conn == nil {
		conn, err := upstream.DialDaemon(c.run.callerAddress(c.host), dialTimeout)
		if err != nil {
			wait.For(ctx, restartDelay)
			return upstream.Response{}, false
		}
		c.conn = conn
	}
	defer context.AfterFunc(ctx, c.conn.Close)()
	request.daemonStopping = c.host.isStopping()
	c.run.checker.requestSent(request)
	response, err := c.conn.Do(upstream.Request{
		ID: request.id, Method: request.method, Host: routeHost, Path: request.path, Body: request.body, Timeout: request.deadline, Key: request.key,
	}, request.deadline+readMargin)
	end := requestEnd{at: time.Now(), sentAt: c.conn.SentAt(), faultFree: c.run.faultFreeSince(request.at)}
	if err != nil {
		c.closeConn()
		if ctx.Err() == nil {
			c.run.checker.connectionClosed(request, end, err)
		}
		return response, false
	}
	c.run.checker.responseReceived(request, response, end)
	if response.Close {
		c.closeConn()
	}
	return response, true
}

// closeConn closes the connection if there is one.
func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// watch tracks the active version of one host by requesting the routes that
// each version adds.
func (c *caller) watch(ctx context.Context) {
	defer c.closeConn()
	var seen observation
	for wait.For(ctx, probeInterval) {
		incarnation := c.host.runningIncarnation()
		if incarnation == 0 || incarnation != seen.incarnation {
			seen = observation{incarnation: incarnation}
			c.closeConn()
			continue
		}
		c.checkVersion(ctx, &seen)
		c.run.setObserved(c.host, seen)
	}
}

// observation is the highest version seen active at one incarnation of a
// daemon.
type observation struct{ incarnation, version int }

// checkVersion probes the version after the highest one seen, then the highest
// one seen. A daemon process must not reject the route of a version that was
// active on it.
func (c *caller) checkVersion(ctx context.Context, seen *observation) {
	if next := seen.version + 1; next <= c.run.newestVersion() {
		if active, conclusive := c.probeVersion(ctx, next); conclusive && active && c.host.runningIncarnation() == seen.incarnation {
			seen.version = next
		}
	}
	if seen.version == 0 {
		return
	}
	active, conclusive := c.probeVersion(ctx, seen.version)
	if conclusive && !active && c.host.runningIncarnation() == seen.incarnation {
		c.run.checker.addViolation(VersionRegression, "", "%s had version %d in force and refuses its route", c.host.name, seen.version)
	}
}

// probeVersion requests the route of a version. It returns whether the version is
// active and whether the response was conclusive.
func (c *caller) probeVersion(ctx context.Context, version int) (active, conclusive bool) {
	kind := requestKind{method: http.MethodGet, path: versionPrefix(version), idempotent: true, services: services, deadline: requestDeadline}
	request := c.newRequest(kind)
	request.routeMayBeMissing = true
	response, ok := c.send(ctx, request)
	switch {
	case !ok:
		return false, false
	case response.Status == http.StatusNotFound:
		return false, true
	case response.Status < http.StatusMultipleChoices:
		return true, true
	default:
		return false, false
	}
}

// versionPrefix returns the path prefix of the route that a version adds.
func versionPrefix(version int) string { return fmt.Sprintf("/at/%d/", version) }
