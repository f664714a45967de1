package distribute

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// serveFollower serves one follower until ctx is cancelled or the stream fails.
// It sends updates in one goroutine and receives acknowledgements in another.
func (d *Distributor) serveFollower(parent context.Context, child peer.Identity, stream downstreamLink) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive first acknowledgement of %s: %w", child.Host, streamError(err))
	}
	follower, ok := d.followers.add(child, first)
	if !ok {
		d.counters.shed.Inc()
		return fmt.Errorf("serve follower %s: %w", child.Host, &shedError{retryAfter: shedRetryAfter})
	}
	defer d.followers.remove(follower)
	parent, cancelIdle := idle.WithTimeout(parent, d.timing.IdleTimeout, d.timing.IdleTimeout)
	defer cancelIdle()
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	stream.OnReceive(func() { idle.Progress(ctx) })
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { cancel(d.receiveAcks(ctx, follower, stream)) })
	err = d.sendUpdates(ctx, first.Offset, stream)
	cancel(err)
	return fmt.Errorf("serve follower %s: %w", child.Host, context.Cause(ctx))
}

// receiveAcks receives acknowledgements until the stream fails. Each is progress of ctx,
// which ends when they cease.
func (d *Distributor) receiveAcks(ctx context.Context, f *follower, stream downstreamLink) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return streamError(err)
		}
		idle.Progress(ctx)
		d.followers.recordAck(f, message)
		d.summaries.merge(message.Retired)
		d.compareDigest(f.identity.Host, message.Offset, message.Digest)
	}
}

// sendUpdates sends the records after an offset as they are applied, and
// heartbeats while there are none.
func (d *Distributor) sendUpdates(ctx context.Context, sent uint64, stream downstreamLink) error {
	ticker := time.NewTicker(d.timing.HeartbeatInterval)
	defer ticker.Stop()
	var last update
	delta := newSummaryDelta(d.now)
	for {
		positionChanged := d.enforcer.Changed()
		summariesChanged := d.summaries.changed.Wait()
		next, err := d.nextUpdate(sent)
		if err != nil {
			return err
		}
		next.Regions = delta.next(d.summaries, allSummaries)
		if err := stream.Send(deltaUpdate(next, last)); err != nil {
			return fmt.Errorf("send update: %w", err)
		}
		last = next
		sent = offsetAfter(next, sent)
		if applied, _ := d.enforcer.Position(); sent < applied {
			continue
		}
		if !d.waitForUpdate(ctx, ticker, positionChanged, summariesChanged) {
			return context.Cause(ctx)
		}
	}
}

// waitForUpdate returns when there is something to send: at once for records,
// after coalesceDelay for summaries, otherwise at the next heartbeat. It
// returns false if ctx is cancelled first.
func (d *Distributor) waitForUpdate(ctx context.Context, ticker *time.Ticker, positionChanged, summariesChanged <-chan struct{}) bool {
	select {
	case <-summariesChanged:
		ticker.Reset(coalesceDelay)
		defer ticker.Reset(d.timing.HeartbeatInterval)
	case <-positionChanged:
		return true
	case <-ticker.C:
		return true
	case <-ctx.Done():
		return false
	}
	select {
	case <-positionChanged:
	case <-ticker.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// nextUpdate builds the update for a follower at an offset.
func (d *Distributor) nextUpdate(sent uint64) (update, error) {
	snap, records, err := d.state.missingAfter(sent)
	if err != nil {
		return update{}, err
	}
	offset, digest := d.activationPosition()
	return update{
		Snapshot:   snap,
		Records:    records,
		Offset:     offset,
		Digest:     digest,
		UpToDateAt: d.state.lastUpToDate(),
		Path:       d.state.path(),
		Stopped:    d.enforcer.StopCause() != nil,
	}, nil
}

// activationPosition returns the offset that a peer has to reach before it activates
// its first table, and the digest there, nil while this daemon has not reached it.
func (d *Distributor) activationPosition() (offset uint64, digest []byte) {
	activation := d.enforcer.ActivationOffset()
	applied, digest := d.enforcer.Position()
	if applied < activation {
		return activation, nil
	}
	return applied, digest
}

// offsetAfter returns the offset of a follower after an update.
func offsetAfter(message update, before uint64) uint64 {
	if message.Snapshot != nil {
		before = max(before, message.Snapshot.Offset)
	}
	if n := len(message.Records); n > 0 {
		before = max(before, message.Records[n-1].Offset)
	}
	return before
}

// deltaUpdate omits what the last message already contained.
func deltaUpdate(next, last update) update {
	if next.Offset == last.Offset && last.Digest != nil {
		next.Digest = nil
	}
	if slices.Equal(next.Path, last.Path) {
		next.Path = nil
	}
	return next
}
