package distribute

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// coalesceDelay is how long a change of summaries waits for further changes, so
// that the acknowledgements of many daemons are forwarded in one message.
const coalesceDelay = 100 * time.Millisecond

// follow receives records from a peer until ctx is cancelled or the stream
// fails.
func (d *Distributor) follow(ctx context.Context, selector *sourceSelector, source Source) error {
	stream, err := d.openFollow(ctx, source)
	if err != nil {
		return err
	}
	d.state.setParentRegion(stream.region())
	defer d.state.setParentRegion("")
	err = d.followStream(ctx, selector, source, stream)
	return fmt.Errorf("follow %s: %w", source, err)
}

// followStream sends acknowledgements in one goroutine and receives updates in
// another.
func (d *Distributor) followStream(parent context.Context, selector *sourceSelector, source Source, stream upstreamLink) error {
	parent, cancelIdle := idle.WithTimeout(parent, d.timing.IdleTimeout, d.timing.IdleTimeout)
	defer cancelIdle()
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	stream.OnReceive(func() { idle.Progress(ctx) })
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { cancel(d.sendAcks(ctx, stream)) })
	for {
		message, err := stream.Recv()
		if err == nil {
			idle.Progress(ctx)
			err = d.applyUpdate(source, message)
		}
		if err != nil {
			cancel(streamError(err))
			return context.Cause(ctx)
		}
		selector.recordSuccess(source)
	}
}

// streamError replaces io.EOF by errStreamEnded.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errStreamEnded
	}
	return err
}

// sendAcks reports the state of this daemon and its subtree to the parent when
// it has changed, and as a heartbeat when it has not.
func (d *Distributor) sendAcks(ctx context.Context, stream upstreamLink) error {
	ticker := time.NewTicker(d.timing.HeartbeatInterval)
	defer ticker.Stop()
	var sent ack
	delta := newSummaryDelta(d.now)
	for {
		positionChanged := d.enforcer.Changed()
		followersChanged := d.followers.changed.Wait()
		summariesChanged := d.summaries.changed.Wait()
		next := d.nextAck()
		next.Retired = delta.next(d.summaries, RegionSummary.retired)
		if err := stream.Send(deltaAck(next, sent)); err != nil {
			return fmt.Errorf("send acknowledgement: %w", err)
		}
		sent = next
		select {
		case <-positionChanged:
		case <-followersChanged:
		case <-summariesChanged:
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if !wait.For(ctx, coalesceDelay) {
			return context.Cause(ctx)
		}
	}
}

// nextAck summarizes this daemon and, for a parent in its region, its subtree.
func (d *Distributor) nextAck() ack {
	offset, digest := d.enforcer.Position()
	next := ack{Offset: offset, Digest: digest}
	if !d.isRegionRoot() {
		next.Zones = d.subtree()
	}
	return next
}

// deltaAck omits what the last message already contained.
func deltaAck(next, last ack) ack {
	if next.Offset == last.Offset {
		next.Digest = nil
	}
	switch {
	case equalZones(next.Zones, last.Zones):
		next.Zones = nil
	case sameDaemons(next.Zones, last.Zones) && commonOffset(next.Zones) > 0:
		next.CommonOffset = commonOffset(next.Zones)
		next.Zones = nil
	}
	return next
}

// applyUpdate applies an update from a parent.
func (d *Distributor) applyUpdate(source Source, message update) error {
	if message.Path != nil {
		if slices.Contains(message.Path, d.self.Host) {
			return errLoop
		}
		d.state.setUpstreamPath(message.Path)
	}
	d.enforcer.DeferFirstTable(message.Offset)
	if err := d.applyRecords(message.Snapshot, message.Records); err != nil {
		return err
	}
	if message.Stopped {
		return errApplyStopped
	}
	d.summaries.merge(message.Regions)
	d.compareDigest(source.String(), message.Offset, message.Digest)
	if offset, _ := d.enforcer.Position(); offset >= message.Offset {
		d.state.markUpToDate(message.UpToDateAt)
	}
	return nil
}

// applyRecords applies a snapshot and the records after it. A daemon that has
// stopped applying records ignores them but keeps following, so that it stays
// in the summaries.
func (d *Distributor) applyRecords(snap *snapshot, records []platform.Record) error {
	if d.applyStopped() {
		return nil
	}
	if snap != nil {
		if err := d.state.restore(snap); err != nil {
			return err
		}
	}
	return d.state.apply(records)
}

// applyStopped reports whether this daemon has permanently stopped applying
// records, and logs it once.
func (d *Distributor) applyStopped() bool {
	err := d.enforcer.StopCause()
	if err == nil {
		return false
	}
	d.logStoppedOnce.Do(func() {
		d.logger.WithError(err).Error("stopped applying records; the active configuration stays unchanged")
	})
	return true
}
