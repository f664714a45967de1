package distribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// readsPerSecond and readBurst limit the log reads of one daemon.
const (
	readsPerSecond = 5
	readBurst      = 5
)

func newReadLimiter() *rate.Limiter { return rate.NewLimiter(readsPerSecond, readBurst) }

// readLog applies the log's records as they arrive until ctx is cancelled or a
// read fails.
func (d *Distributor) readLog(ctx context.Context, selector *sourceSelector) error {
	d.state.setUpstreamPath(nil)
	d.state.setReadsLog(true)
	defer d.state.setReadsLog(false)
	cursor, err := d.startOffset(ctx)
	for err == nil {
		cursor, err = d.readNext(ctx, cursor)
		if err == nil {
			d.availability.markAvailable()
			selector.recordSuccess(logSource)
		}
	}
	d.availability.markUnavailable(err)
	return err
}

// startOffset returns the offset to read from. A daemon that has applied
// nothing starts with the newest record of each key if the log keeps them.
func (d *Distributor) startOffset(ctx context.Context) (uint64, error) {
	offset, _ := d.enforcer.Position()
	if keyed, ok := d.log.(platform.KeyedLog); ok && offset == 0 {
		return d.applyNewest(ctx, keyed)
	}
	return offset + 1, nil
}

// readNext waits for the log's records from cursor on, applies them and returns
// the next cursor.
func (d *Distributor) readNext(ctx context.Context, cursor uint64) (uint64, error) {
	offset, _ := d.enforcer.Position()
	cursor = max(cursor, offset+1)
	result, err := d.readOnce(ctx, platform.ConfigurationStream, cursor, d.timing.ReadWait)
	if err == nil {
		d.deferFirstTable(result)
	}
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return d.resumeAfterExpiry(ctx, expired, result.Next)
	}
	if err != nil {
		return cursor, err
	}
	if err := d.applyRecords(nil, result.Records); err != nil {
		return cursor, fmt.Errorf("apply log records after offset %d: %w", offset, err)
	}
	if d.applyStopped() {
		return cursor, errApplyStopped
	}
	if count := len(result.Records); count > 0 {
		cursor = result.Records[count-1].Offset + 1
	}
	if cursor >= result.Next {
		d.state.markUpToDate(d.now())
	}
	return cursor, nil
}

// deferFirstTable defers the first table until this daemon has applied all that the log
// held at a read.
func (d *Distributor) deferFirstTable(result platform.ReadResult) {
	if result.Next > 0 {
		d.enforcer.DeferFirstTable(result.Next - 1)
	}
}

// resumeAfterExpiry continues after the records at the cursor have expired:
// with the newest record of each key if the log keeps them, otherwise from a
// snapshot.
func (d *Distributor) resumeAfterExpiry(ctx context.Context, expired *platform.ExpiredError, next uint64) (uint64, error) {
	if keyed, ok := d.log.(platform.KeyedLog); ok {
		return d.applyNewest(ctx, keyed)
	}
	if next > 0 {
		d.enforcer.DeferFirstTable(next - 1)
	}
	if err := d.resumeAtSnapshot(ctx, expired.Oldest); err != nil {
		return 0, err
	}
	offset, _ := d.enforcer.Position()
	return offset + 1, nil
}

// applyNewest applies the newest record of each key and returns the offset to
// read from.
func (d *Distributor) applyNewest(ctx context.Context, keyed platform.KeyedLog) (uint64, error) {
	ctx, cancel := idle.WithTimeout(ctx, d.timing.ReadTimeout, d.timing.ReadTimeout)
	defer cancel()
	d.counters.reads.Inc()
	newest, next, err := keyed.Newest(ctx, platform.ConfigurationStream)
	if err != nil {
		return 0, fmt.Errorf("read newest records: %w", err)
	}
	if len(newest) > 0 {
		// Without the later records the first table would lack rollout orders.
		d.enforcer.DeferFirstTable(newest[len(newest)-1].Offset)
	}
	for _, record := range newest {
		if err := d.applyRecords(nil, []platform.Record{record.Record}); err != nil {
			return 0, fmt.Errorf("apply newest record %d: %w", record.Offset, err)
		}
	}
	if len(newest) > 0 {
		d.state.markUpToDate(d.now())
	}
	return next, nil
}

// readOnce reads a stream once, subject to the read limit and timeout of this
// daemon. The timeout limits silence, so a long record over a slow link is read whole.
func (d *Distributor) readOnce(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	if err := d.readLimiter.Wait(ctx); err != nil {
		return platform.ReadResult{}, fmt.Errorf("wait for rate limit to read stream %s: %w", stream, err)
	}
	ctx, cancel := idle.WithTimeout(ctx, wait+d.timing.ReadTimeout, d.timing.ReadTimeout)
	defer cancel()
	d.counters.reads.Inc()
	result, err := d.log.Read(ctx, stream, from, wait)
	if err != nil {
		return result, fmt.Errorf("read stream %s from offset %d: %w", stream, from, err)
	}
	return result, nil
}

// logAvailability reports when the log becomes unavailable and when it is
// available again.
type logAvailability struct {
	events      timeline.Recorder
	log         *logrus.Entry
	unavailable bool
}

func (a *logAvailability) markUnavailable(err error) {
	if !a.unavailable && !errors.Is(err, context.Canceled) && !errors.Is(err, errBetterSource) {
		a.unavailable = true
		a.log.WithError(err).Warn("log is unavailable")
		a.events.Record(timeline.Event{Kind: timeline.PlatformLost, Detail: err.Error()})
	}
}

func (a *logAvailability) markAvailable() {
	if a.unavailable {
		a.unavailable = false
		a.log.Info("log is available again")
		a.events.Record(timeline.Event{Kind: timeline.PlatformFound})
	}
}
