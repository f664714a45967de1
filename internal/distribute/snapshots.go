package distribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// snapshotInterval is how often a daemon checks whether a snapshot is due.
const snapshotInterval = 5 * time.Second

// snapshotTimeout limits the append of a snapshot.
const snapshotTimeout = 10 * time.Second

// errNoSnapshot reports that no snapshot in the log connects to its records.
var errNoSnapshot = errors.New("no usable snapshot in the log")

// newestSnapshot is the newest valid snapshot in the log that this daemon knows
// of. It is owned by the goroutine that writes snapshots.
type newestSnapshot struct {
	// nextOffset is the offset of the snapshot stream to read from.
	nextOffset uint64
	// coveredOffset is the offset of the configuration stream that the snapshot
	// covers.
	coveredOffset uint64
	writtenAt     time.Time
}

// runSnapshots writes snapshots while this daemon is selected for it.
func (d *Distributor) runSnapshots(ctx context.Context) {
	newest := newestSnapshot{nextOffset: 1, writtenAt: d.now()}
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := d.writeSnapshotIfDue(ctx, &newest); err != nil && ctx.Err() == nil {
			d.logger.WithError(err).Warn("snapshot could not be written")
		}
	}
}

// writeSnapshotIfDue reads the log before it writes, so that it does not repeat
// the snapshot of another daemon.
func (d *Distributor) writeSnapshotIfDue(ctx context.Context, newest *newestSnapshot) error {
	rank, selected := snapshotRank(d.directory.View())
	if !selected || d.enforcer.StopCause() != nil {
		return nil
	}
	offset, _ := d.enforcer.Position()
	if offset == 0 || !d.snapshotDue(rank, offset, newest) {
		return nil
	}
	if err := d.observeSnapshots(ctx, newest); err != nil {
		return err
	}
	if !d.snapshotDue(rank, offset, newest) {
		return nil
	}
	return d.writeSnapshot(ctx, newest)
}

func (d *Distributor) snapshotDue(rank int, offset uint64, newest *newestSnapshot) bool {
	records := offset - min(offset, newest.coveredOffset)
	return d.snapshotPolicy.due(rank, records, d.now().Sub(newest.writtenAt))
}

// observeSnapshots reads the snapshots that other daemons wrote.
func (d *Distributor) observeSnapshots(ctx context.Context, newest *newestSnapshot) error {
	for {
		result, err := d.readOnce(ctx, platform.SnapshotStream, newest.nextOffset, 0)
		var expired *platform.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > newest.nextOffset {
			newest.nextOffset = expired.Oldest
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range result.Records {
			newest.nextOffset = record.Offset + 1
			if snap, err := decodeSnapshot(record); err == nil {
				newest.coveredOffset = max(newest.coveredOffset, snap.Offset)
				newest.writtenAt = record.Appended
			}
		}
		if len(result.Records) == 0 || newest.nextOffset >= result.Next {
			return nil
		}
	}
}

// writeSnapshot appends a snapshot of the current state.
func (d *Distributor) writeSnapshot(ctx context.Context, newest *newestSnapshot) error {
	snap, err := d.state.currentSnapshot()
	if err != nil {
		return err
	}
	payload, err := proto.Marshal(snapshotToWire(snap))
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if _, err := d.log.Append(ctx, platform.SnapshotStream, payload); err != nil {
		return fmt.Errorf("append snapshot at %d: %w", snap.Offset, err)
	}
	newest.coveredOffset = snap.Offset
	newest.writtenAt = d.now()
	d.logger.Infof("snapshot written at offset %d", snap.Offset)
	d.events.Record(timeline.Event{
		Kind:   timeline.SnapshotWritten,
		Offset: snap.Offset,
		Digest: fmt.Sprintf("%x", snap.Digest),
	})
	return nil
}

// decodeSnapshot decodes and checks one record of the snapshot stream.
func decodeSnapshot(record platform.Record) (*snapshot, error) {
	var wire CompressedSnapshot
	if err := proto.Unmarshal(record.Payload, &wire); err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", record.Offset, err)
	}
	if _, err := decompress(wire.GetState()); err != nil {
		return nil, fmt.Errorf("decompress snapshot %d: %w", record.Offset, err)
	}
	return snapshotFromWire(&wire), nil
}

// resumeAtSnapshot restores the newest valid snapshot in the log that connects
// to its oldest record.
func (d *Distributor) resumeAtSnapshot(ctx context.Context, oldest uint64) error {
	first, next, err := d.snapshotRange(ctx)
	if err != nil {
		return err
	}
	for at := next; at > first; at-- {
		result, err := d.readOnce(ctx, platform.SnapshotStream, at-1, 0)
		if err != nil {
			return err
		}
		if len(result.Records) == 0 {
			continue
		}
		if err := d.restoreRecord(result.Records[0], oldest); err != nil {
			d.skipSnapshot(result.Records[0], err)
			continue
		}
		return nil
	}
	return fmt.Errorf("resume at record %d: %w", oldest, errNoSnapshot)
}

// snapshotRange returns the oldest retained offset of the snapshot stream and
// the offset of the next record to be written.
func (d *Distributor) snapshotRange(ctx context.Context) (first, next uint64, err error) {
	result, err := d.readOnce(ctx, platform.SnapshotStream, 1, 0)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		result, err = d.readOnce(ctx, platform.SnapshotStream, expired.Oldest, 0)
	}
	if err != nil {
		return 0, 0, err
	}
	return max(1, result.Oldest), result.Next, nil
}

// restoreRecord restores the state from one record of the snapshot stream.
func (d *Distributor) restoreRecord(record platform.Record, oldest uint64) error {
	snap, err := decodeSnapshot(record)
	if err != nil {
		return err
	}
	if snap.Offset+1 < oldest {
		return fmt.Errorf("snapshot at offset %d does not reach the oldest record %d", snap.Offset, oldest)
	}
	return d.state.restore(snap)
}

func (d *Distributor) skipSnapshot(record platform.Record, err error) {
	d.logger.WithError(err).Warnf("snapshot record %d is unusable and was skipped", record.Offset)
	d.events.Record(timeline.Event{Kind: timeline.SnapshotSkipped, Offset: record.Offset, Detail: err.Error()})
}
