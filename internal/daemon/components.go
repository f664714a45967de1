package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// components runs the components of a daemon, each in a task of its own. The failure
// of one does not end the others, because a graceful stop still needs them.
type components struct {
	tasks    conc.WaitGroup
	failOnce sync.Once
	// failed is closed when the first component has failed with err.
	failed chan struct{}
	err    error
	// maxHead limits the head of an HTTP request in bytes, 0 for that of net/http.
	maxHead int
	// answerUntil is when responses to calls that are being written are cut at the latest,
	// zero for closeTimeout after the end of the context. It is set before that ends.
	answerUntil time.Time
}

func newComponents() *components { return &components{failed: make(chan struct{})} }

// start runs a component until ctx is cancelled. An error and a panic are failures.
func (c *components) start(ctx context.Context, run func(context.Context) error) {
	c.tasks.Go(func() {
		var err error
		if panicked := panics.Try(func() { err = run(ctx) }); panicked != nil {
			err = panicked.AsError()
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			c.fail(err)
		}
	})
}

// startHTTP serves HTTP on a listener until ctx is cancelled, then closes the
// listener and its connections.
func (c *components) startHTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	c.serveHTTP(ctx, listener, handler, func() time.Time { return time.Time{} })
}

// startCalls is startHTTP for calls: their responses may be written until answerUntil.
func (c *components) startCalls(ctx context.Context, listener net.Listener, handler http.Handler) {
	c.serveHTTP(ctx, listener, handler, func() time.Time { return c.answerUntil })
}

func (c *components) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler, answerUntil func() time.Time) {
	server := newHTTPServer(listener, handler, c.maxHead)
	c.start(ctx, func(context.Context) error { return server.serve() })
	c.start(ctx, func(ctx context.Context) error {
		<-ctx.Done()
		server.close(answerUntil())
		return nil
	})
}

// fail records the first failure.
func (c *components) fail(err error) {
	c.failOnce.Do(func() {
		c.err = err
		close(c.failed)
	})
}

// wait waits until every component has ended and returns the first failure.
func (c *components) wait() error {
	c.tasks.Wait()
	return c.err
}
