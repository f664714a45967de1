package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// host is what all routes name.
	host = "huts.example"
	// callLeft is how long a caller waits for its answer.
	callLeft = 2 * time.Second
	// callTimeout bounds the reading of an answer.
	callTimeout = 4 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// thinkTime is the mean time between two requests of a caller.
	thinkTime = 40 * time.Millisecond
	// freshShare is the share of requests that open a new connection.
	freshShare = 0.1
	// probeInterval is the time between two looks at a daemon's version.
	probeInterval = 150 * time.Millisecond
)

// requestKind is one of the kinds of requests that callers make.
type requestKind struct {
	method, path string
	idempotent   bool
	services     []string
}

var requestKinds = []requestKind{
	{http.MethodGet, "/lookup/", true, []string{"huts"}},
	{http.MethodPost, "/charge/", false, []string{"ledger"}},
	{http.MethodPut, "/assign/", false, []string{"huts"}},
	{http.MethodGet, "/moved/", true, services},
}

// caller sends requests through one machine, on a connection that it keeps for
// as long as it lasts.
type caller struct {
	run     *run
	machine *machine
	name    string
	random  *rand.Rand
	conn    *upstream.CallerConn
	count   int
}

// loop sends requests until ctx ends.
func (c *caller) loop(ctx context.Context) {
	defer c.drop()
	for wait.For(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime))) {
		if c.random.Float64() < freshShare {
			c.drop()
		}
		kind := requestKinds[c.random.IntN(len(requestKinds))]
		request := c.newRequest(kind)
		_, _ = c.send(request)
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
		id: id, method: kind.method, path: kind.path + id, body: body,
		service: c.machine.service, services: kind.services, idempotent: kind.idempotent,
	}
}

// send sends a request and has its answer checked. It reports false when the
// connection ended without one.
func (c *caller) send(request *sentRequest) (upstream.Response, bool) {
	if c.conn == nil {
		conn, err := upstream.DialDaemon(c.run.callerAddress(c.machine), dialTimeout)
		if err != nil {
			wait.For(c.run.ctx, restartDelay)
			return upstream.Response{}, false
		}
		c.conn = conn
	}
	began := time.Now()
	c.run.book.sent(request)
	got, err := c.conn.Do(upstream.Request{
		ID: request.id, Method: request.method, Host: host, Path: request.path, Body: request.body, Timeout: callLeft,
	}, callTimeout)
	if err != nil {
		c.drop()
		if c.run.ctx.Err() == nil {
			c.run.book.closed(request, c.run.calmSince(began), err)
		}
		return got, false
	}
	c.run.book.answered(request, got)
	if got.Close {
		c.drop()
	}
	return got, true
}

// drop closes the connection.
func (c *caller) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// watch follows the version in force on one machine, by routes that each version
// adds.
func (c *caller) watch(ctx context.Context) {
	defer c.drop()
	var seen sighting
	for wait.For(ctx, probeInterval) {
		present := c.machine.present()
		if present == 0 || present != seen.incarnation {
			seen = sighting{incarnation: present}
			c.drop()
			continue
		}
		c.look(&seen)
		c.run.noteVersion(c.machine, seen.version)
	}
}

// sighting is the highest version that one process of a daemon had in force.
type sighting struct{ incarnation, version int }

// look asks for the version after the highest one seen, and for that one again. No
// process may refuse a route of a version that it had in force.
func (c *caller) look(seen *sighting) {
	if next := seen.version + 1; next <= c.run.published() {
		if inForce, told := c.probe(next); told && inForce && c.machine.present() == seen.incarnation {
			seen.version = next
		}
	}
	if seen.version == 0 {
		return
	}
	inForce, told := c.probe(seen.version)
	if told && !inForce && c.machine.present() == seen.incarnation {
		c.run.book.violate(Back, "", "%s had version %d in force and refuses its route", c.machine.name, seen.version)
	}
}

// probe asks for the route of a version and reports whether it is in force, and
// whether the answer tells.
func (c *caller) probe(version int) (inForce, told bool) {
	kind := requestKind{method: http.MethodGet, path: versionPrefix(version), idempotent: true, services: services}
	request := c.newRequest(kind)
	request.mayBeUnknown = true
	got, ok := c.send(request)
	switch {
	case !ok:
		return false, false
	case got.Status == http.StatusNotFound:
		return false, true
	case got.Status < http.StatusMultipleChoices:
		return true, true
	default:
		return false, false
	}
}

// versionPrefix is the path of the route that a version adds.
func versionPrefix(version int) string { return fmt.Sprintf("/at/%d/", version) }
