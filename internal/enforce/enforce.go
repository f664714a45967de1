package enforce

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// StateMachine turns records into configuration by rules that are equal everywhere.
type StateMachine interface {
	// Apply folds the next record. The verdict is nil when the record is not
	// a publication. An error means that the record could not be folded by
	// this binary; the state is then unchanged.
	Apply(record platform.Record) (*publish.Verdict, error)
	// Configuration returns the immutable configuration at Offset.
	Configuration() *publish.Configuration
	// Offset is the highest offset folded, 0 for none.
	Offset() uint64
	// Digest is a digest of the state at Offset.
	Digest() []byte
	// Verdicts returns the verdicts still kept, oldest first.
	Verdicts() []publish.Verdict
	// Source returns the source of a workspace and its version.
	Source(workspace string) (*publish.Source, publish.Version, bool)
	// Snapshot encodes the state. Equal states have equal snapshots.
	Snapshot() ([]byte, error)
	// Restore replaces the state. The state is unchanged on an error.
	Restore(snapshot []byte) error
	// IsSelfContained reports whether a record can be folded without those before
	// it.
	IsSelfContained(record platform.Record) bool
	// CompactRecord returns the record that was folded last in a shorter form that
	// gives the same state to a fold at the offset before it, or as it is.
	CompactRecord(record platform.Record) platform.Record
}

// GapError says that records do not follow the offset already folded.
type GapError struct {
	Have uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Got, e.Have)
}

// SnapshotOffsetError says that a snapshot does not stand for the offset it claims.
type SnapshotOffsetError struct {
	Claimed uint64
	Got     uint64
}

func (e *SnapshotOffsetError) Error() string {
	return fmt.Sprintf("snapshot claims offset %d and stands for %d", e.Claimed, e.Got)
}

// Enforcer owns the fold of one daemon and the table in force. Its offset
// never falls while the process lives, and it has no table in force below
// the floor that peers remember of this host.
type Enforcer struct {
	events timeline.Recorder

	mu    sync.Mutex
	fold  StateMachine
	floor uint64
	// hold is the offset that a start waits for, 0 when it waits no more.
	hold    uint64
	stopped error
	changed chan struct{}

	position atomic.Pointer[position]
	table    atomic.Pointer[Table]
}

// position is the highest offset folded and the digest there.
type position struct {
	offset uint64
	digest []byte
}

// New returns an enforcer without a table in force.
func New(fold StateMachine, events timeline.Recorder) *Enforcer {
	e := &Enforcer{fold: fold, events: events, changed: make(chan struct{})}
	e.position.Store(&position{offset: fold.Offset(), digest: fold.Digest()})
	return e
}

// Table returns the table in force, nil when there is none yet.
func (e *Enforcer) Table() *Table { return e.table.Load() }

// Position returns the highest offset folded and the digest there. It never
// waits for a fold in progress, so that heartbeats do not.
func (e *Enforcer) Position() (uint64, []byte) {
	at := e.position.Load()
	return at.offset, at.digest
}

// StopCause returns why folding stopped for good, nil while it goes on.
func (e *Enforcer) StopCause() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// RaiseFloor forbids tables below an offset. A table in force below it is
// withdrawn until the fold has reached the floor.
func (e *Enforcer) RaiseFloor(offset uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.floor = max(e.floor, offset)
	if table := e.table.Load(); table != nil && table.Offset < e.floor {
		e.table.Store(nil)
	}
}

// DeferFirstTable keeps the first table back until the fold has reached an offset,
// so that a start does not pass through configurations that were replaced long
// ago. It changes nothing once a table is in force, and ends when folding
// stops for good.
func (e *Enforcer) DeferFirstTable(offset uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table.Load() == nil && e.stopped == nil {
		e.hold = max(e.hold, offset)
	}
}

// Floor returns the lowest offset that may be in force.
func (e *Enforcer) Floor() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.floor
}

// Apply folds records in order. Records at or below the offset are skipped;
// a gap before a record that does not stand alone is a GapError and nothing
// after it is folded.
func (e *Enforcer) Apply(records []platform.Record) error {
	_, err := e.ApplyAndCompact(records)
	return err
}

// ApplyAndCompact is Apply that also returns the records folded, each in the form
// that is passed on to daemons at the offset before it. Those folded before an
// error are returned with it.
func (e *Enforcer) ApplyAndCompact(records []platform.Record) ([]platform.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.fold.Offset()
	folded, err := e.applyAll(records)
	released := e.stopped != nil && e.hold > 0
	if released {
		e.hold = 0
	}
	if e.fold.Offset() > before || released && before > 0 {
		e.swap()
	}
	return folded, err
}

func (e *Enforcer) applyAll(records []platform.Record) (folded []platform.Record, err error) {
	for _, record := range records {
		if e.stopped != nil {
			return folded, e.stopped
		}
		have := e.fold.Offset()
		if record.Offset <= have {
			continue
		}
		if record.Offset != have+1 && !e.fold.IsSelfContained(record) {
			return folded, &GapError{Have: have, Got: record.Offset}
		}
		if err := e.applyOne(record); err != nil {
			return folded, err
		}
		folded = append(folded, e.fold.CompactRecord(record))
	}
	return folded, nil
}

func (e *Enforcer) applyOne(record platform.Record) error {
	verdict, err := e.fold.Apply(record)
	if errors.Is(err, publish.ErrBaseMismatch) {
		return err
	}
	if err != nil {
		e.stopped = fmt.Errorf("fold record %d: %w", record.Offset, err)
		e.events.Record(timeline.Event{Kind: timeline.SchemaUnknown, Offset: record.Offset, Detail: err.Error()})
		return e.stopped
	}
	if verdict != nil {
		e.events.Record(timeline.Event{
			Kind:    timeline.VerdictReached,
			Offset:  verdict.Offset,
			Version: uint64(verdict.Version),
			Outcome: verdict.Outcome.String(),
			Detail:  verdict.ID,
		})
	}
	return nil
}

// Restore replaces the fold by a snapshot that is newer than it. An older
// snapshot changes nothing, also when it claims a newer offset.
func (e *Enforcer) Restore(snapshot []byte, offset uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	have := e.fold.Offset()
	if offset <= have {
		return nil
	}
	before, err := e.fold.Snapshot()
	if err != nil {
		return fmt.Errorf("restore snapshot at %d: keep the state: %w", offset, err)
	}
	if err := e.fold.Restore(snapshot); err != nil {
		return fmt.Errorf("restore snapshot at %d: %w", offset, err)
	}
	if got := e.fold.Offset(); got != offset {
		return errors.Join(&SnapshotOffsetError{Claimed: offset, Got: got}, e.fold.Restore(before))
	}
	e.swap()
	return nil
}

// Snapshot encodes the fold and returns the offset it stands for.
func (e *Enforcer) Snapshot() ([]byte, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot, err := e.fold.Snapshot()
	return snapshot, e.fold.Offset(), err
}

// Verdicts returns the verdicts still kept, oldest first.
func (e *Enforcer) Verdicts() []publish.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fold.Verdicts()
}

// Changed returns a channel that is closed when the offset next grows.
func (e *Enforcer) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Wait returns when the offset has reached one, or ctx has ended.
func (e *Enforcer) Wait(ctx context.Context, offset uint64) error {
	for {
		changed := e.Changed()
		if have, _ := e.Position(); have >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for offset %d: %w", offset, ctx.Err())
		}
	}
}

// swap puts the fold's state in force, unless it lies below the floor.
func (e *Enforcer) swap() {
	defer e.tell()
	offset := e.fold.Offset()
	e.position.Store(&position{offset: offset, digest: e.fold.Digest()})
	if offset < max(e.floor, e.hold) {
		return
	}
	e.hold = 0
	config := e.fold.Configuration()
	e.table.Store(&Table{Offset: offset, Digest: e.fold.Digest(), Config: config})
	e.events.Record(timeline.Event{
		Kind:     timeline.InForce,
		Offset:   offset,
		Version:  uint64(config.Version),
		Routes:   len(config.Routes),
		Dangling: dangling(config),
		Digest:   fmt.Sprintf("%x", e.fold.Digest()),
	})
}

// tell wakes all who wait for a change.
func (e *Enforcer) tell() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// dangling counts the routes whose service the table lacks.
func dangling(config *publish.Configuration) int {
	count := 0
	for _, route := range config.Routes {
		for _, service := range route.Services() {
			if config.Services[service] == nil {
				count++
			}
		}
	}
	return count
}
