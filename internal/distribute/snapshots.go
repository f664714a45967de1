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

// snapshotInterval is how often a daemon asks whether a snapshot is due.
const snapshotInterval = 5 * time.Second

// snapshotTimeout bounds the append of a snapshot.
const snapshotTimeout = 10 * time.Second

// errNoSnapshot says that no snapshot of the log leads to its records.
var errNoSnapshot = errors.New("no usable snapshot on the log")

// newestSnapshot is the newest good snapshot that this daemon knows of on the
// log. It is owned by the task that writes snapshots.
type newestSnapshot struct {
	// nextOffset is the offset of the snapshot stream to read from.
	nextOffset uint64
	// coveredOffset is the offset of the configuration stream that it stands for.
	coveredOffset uint64
	writtenAt     time.Time
}

// runSnapshots writes snapshots while this daemon is chosen to.
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
			d.logger.WithError(err).Warn("Snapshot was not written.")
		}
	}
}

// writeSnapshotIfDue looks at the log before it writes, so that a snapshot by
// another daemon is not repeated.
func (d *Distributor) writeSnapshotIfDue(ctx context.Context, newest *newestSnapshot) error {
	rank, chosen := snapshotRank(d.directory.View())
	if !chosen || d.enforcer.StopCause() != nil {
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

// observeSnapshots learns of the snapshots that others wrote.
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

// writeSnapshot appends the present state.
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
	d.logger.Infof("Snapshot at offset %d was written.", snap.Offset)
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

// resumeAtSnapshot restores the newest good snapshot of the log that leads to
// its oldest record.
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

// snapshotRange returns the oldest offset of the snapshot stream that is kept
// and the next one to be written.
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

// restoreRecord restores one snapshot of the log.
func (d *Distributor) restoreRecord(record platform.Record, oldest uint64) error {
	snap, err := decodeSnapshot(record)
	if err != nil {
		return err
	}
	if snap.Offset+1 < oldest {
		return fmt.Errorf("snapshot at %d does not reach record %d", snap.Offset, oldest)
	}
	return d.state.restore(snap)
}

func (d *Distributor) skipSnapshot(record platform.Record, err error) {
	d.logger.WithError(err).Warnf("Snapshot record %d is passed over.", record.Offset)
	d.events.Record(timeline.Event{Kind: timeline.SnapshotSkipped, Offset: record.Offset, Detail: err.Error()})
}
