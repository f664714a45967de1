package distribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Limits of reads from the log.
const (
	// readWait is how long the log holds a read that finds nothing.
	readWait = 2 * time.Second
	// readTimeout is how long an answer may take beyond the wait.
	readTimeout = 3 * time.Second
	// readsPerSecond and readBurst bound the reads of one daemon.
	readsPerSecond = 5
	readBurst      = 5
)

func newReadLimiter() *rate.Limiter { return rate.NewLimiter(readsPerSecond, readBurst) }

// readLog folds the log's records as they come until ctx ends or a read
// fails.
func (d *Distributor) readLog(ctx context.Context, up *upstream) error {
	d.state.setVia(nil)
	d.state.setRooted(true)
	defer d.state.setRooted(false)
	for {
		if err := d.readNext(ctx); err != nil {
			d.platform.lost(err)
			return err
		}
		d.platform.found()
		up.worked(logSource)
	}
}

// readNext waits for the next records of the log and folds them.
func (d *Distributor) readNext(ctx context.Context) error {
	offset, _ := d.enforcer.Position()
	result, err := d.readOnce(ctx, platform.ConfigurationStream, offset+1, readWait)
	if result.Next > 0 {
		d.enforcer.HoldUntil(result.Next - 1)
	}
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return d.resumeAtSnapshot(ctx, expired.Oldest)
	}
	if err != nil {
		return err
	}
	if err := d.take(nil, result.Records); err != nil {
		return fmt.Errorf("fold the log's records after %d: %w", offset, err)
	}
	if d.hasStopped() {
		return errStopped
	}
	if have, _ := d.enforcer.Position(); have+1 >= result.Next {
		d.state.confirm(d.now())
	}
	return nil
}

// readOnce reads a stream within the limits of this daemon.
func (d *Distributor) readOnce(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	if err := d.reads.Wait(ctx); err != nil {
		return platform.ReadResult{}, fmt.Errorf("wait to read %s: %w", stream, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	d.counters.reads.Inc()
	result, err := d.log.Read(ctx, stream, from, wait)
	if err != nil {
		return result, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	return result, nil
}

// platformContact tells when the log is lost and found again.
type platformContact struct {
	events timeline.Recorder
	out    bool
}

func (p *platformContact) lost(err error) {
	if !p.out && !errors.Is(err, context.Canceled) {
		p.out = true
		p.events.Record(timeline.Event{Kind: timeline.PlatformLost, Detail: err.Error()})
	}
}

func (p *platformContact) found() {
	if p.out {
		p.out = false
		p.events.Record(timeline.Event{Kind: timeline.PlatformFound})
	}
}
