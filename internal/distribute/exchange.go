package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// Timing of exchanges.
const (
	// exchangeIdleTimeout is how long an exchange may go without a message.
	exchangeIdleTimeout = 2*summaryRefreshInterval + 5*time.Second
	// exchangeRetryDelay is the mean delay between two attempts.
	exchangeRetryDelay = 5 * time.Second
)

// errNotNeeded ends an exchange that this daemon no longer maintains.
var errNotNeeded = errors.New("exchange is no longer needed")

// exchanges holds the exchanges that this daemon dials, one goroutine for each.
type exchanges struct {
	ctx   context.Context
	d     *Distributor
	tasks conc.WaitGroup
	mu    sync.Mutex
	open  map[string]context.CancelCauseFunc
}

func newExchanges(ctx context.Context, d *Distributor) *exchanges {
	return &exchanges{ctx: ctx, d: d, open: make(map[string]context.CancelCauseFunc)}
}

func (e *exchanges) wait() { e.tasks.Wait() }

// reconcile starts the exchanges that are missing and ends those that are not
// in the list.
func (e *exchanges) reconcile(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, cancel := range e.open {
		if !slices.Contains(addresses, address) {
			cancel(errNotNeeded)
		}
	}
	for _, address := range addresses {
		if e.open[address] == nil {
			e.start(address)
		}
	}
}

func (e *exchanges) start(address string) {
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.open[address] = cancel
	e.tasks.Go(func() {
		defer e.remove(address)
		defer cancel(nil)
		if err := e.d.exchangeWith(ctx, address); err != nil && ctx.Err() == nil {
			e.d.logger.WithError(err).Debug("exchange of summaries ended")
		}
		wait.For(ctx, e.d.jitter.around(exchangeRetryDelay))
	})
}

func (e *exchanges) remove(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, address)
}

// exchangeWith exchanges summaries with one daemon until ctx is cancelled or
// the stream fails.
func (d *Distributor) exchangeWith(ctx context.Context, address string) error {
	stream, err := d.openExchange(ctx, address)
	if err != nil {
		return err
	}
	return d.exchangeSummaries(ctx, stream)
}

// exchangeSummaries sends the summaries of this region in one goroutine and
// receives those of others in another one. Both ends of an exchange run it.
func (d *Distributor) exchangeSummaries(parent context.Context, stream summaryLink) error {
	parent, cancelIdle := idle.WithTimeout(parent, exchangeIdleTimeout, exchangeIdleTimeout)
	defer cancelIdle()
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	stream.OnReceive(func() { idle.Progress(ctx) })
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { cancel(d.sendSummaries(ctx, stream)) })
	for {
		summary, err := stream.Recv()
		if err != nil {
			cancel(streamError(err))
			return context.Cause(ctx)
		}
		idle.Progress(ctx)
		d.summaries.merge([]RegionSummary{summary})
	}
}

// sendSummaries sends the summaries of this region as they change.
func (d *Distributor) sendSummaries(ctx context.Context, stream summaryLink) error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	delta := newSummaryDelta(d.now)
	for {
		changed := d.summaries.changed.Wait()
		for _, summary := range delta.next(d.summaries, inRegion(d.self.Region)) {
			if err := stream.Send(summary); err != nil {
				return fmt.Errorf("send summary: %w", err)
			}
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
