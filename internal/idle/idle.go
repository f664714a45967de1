// Package idle limits how long an operation may go without progress. Unlike a
// deadline, such a limit does not depend on the size of a transfer or on the speed of
// the link.
package idle

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrTimeout is the cause of a context that ended for want of progress. It is a
// context.DeadlineExceeded.
var ErrTimeout = fmt.Errorf("no progress before the idle timeout: %w", context.DeadlineExceeded)

// tracker postpones the end of one context. parent is the tracker of an outer context,
// nil for none.
type tracker struct {
	parent   *tracker
	timer    *time.Timer
	interval time.Duration
}

type trackerKey struct{}

// WithTimeout returns a context that ends with the cause ErrTimeout when first passes
// without progress, or interval since the last progress. The caller has to call the
// returned function in the end.
func WithTimeout(parent context.Context, first, interval time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &tracker{interval: interval}
	t.parent, _ = parent.Value(trackerKey{}).(*tracker)
	t.timer = time.AfterFunc(first, func() { cancel(ErrTimeout) })
	stop := func() {
		t.timer.Stop()
		cancel(nil)
	}
	return context.WithValue(ctx, trackerKey{}, t), stop
}

// Progress reports progress to a context and to those that it was derived from.
func Progress(ctx context.Context) {
	t, _ := ctx.Value(trackerKey{}).(*tracker)
	for ; t != nil; t = t.parent {
		// A timer that has fired or was stopped stays so.
		if t.timer.Stop() {
			t.timer.Reset(t.interval)
		}
	}
}

// NewReader returns a reader that reports each read of data as progress to ctx.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx: ctx, source: r} }

// maxReadBytes limits one read, because some readers, like that of a chunked HTTP body,
// return only when they have filled the whole buffer.
const maxReadBytes = 4 << 10

type reader struct {
	ctx    context.Context
	source io.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		Progress(r.ctx)
	}
	return n, err
}

// Error returns the error of an operation that ran with ctx: ErrTimeout in place of the
// cancellation that libraries report.
func Error(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrTimeout) {
		return ErrTimeout
	}
	return err
}
