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

// StateMachine derives configuration from records, by rules that are equal on every
// daemon.
type StateMachine interface {
	// Apply applies the next record. The verdict is nil when the record is not
	// a publication. An error means that this binary cannot apply the record; the
	// state is then unchanged.
	Apply(record platform.Record) (*publish.Verdict, error)
	// Configuration returns the immutable configuration at Offset.
	Configuration() *publish.Configuration
	// Offset returns the highest applied offset, 0 for none.
	Offset() uint64
	// Digest returns a digest of the state at Offset.
	Digest() []byte
	// Verdicts returns the retained verdicts, oldest first.
	Verdicts() []publish.Verdict
	// Source returns the source of a workspace and its version.
	Source(workspace string) (*publish.Source, publish.Version, bool)
	// Snapshot encodes the state. Equal states have equal snapshots.
	Snapshot() ([]byte, error)
	// Restore replaces the state. The state is unchanged on an error.
	Restore(snapshot []byte) error
	// HasConfiguration reports whether the state can be activated: it is false for one
	// that began with records other than a configuration.
	HasConfiguration() bool
	// IsSelfContained reports whether a record can be applied without those before
	// it.
	IsSelfContained(record platform.Record) bool
	// CompactRecord returns the last applied record, in a shorter form if there is
	// one. Both forms give the same state when applied at the previous offset.
	CompactRecord(record platform.Record) platform.Record
}

// GapError reports records that do not follow the highest applied offset.
type GapError struct {
	Have uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Got, e.Have)
}

// SnapshotOffsetError reports a snapshot whose state is not at the claimed offset.
type SnapshotOffsetError struct {
	Claimed uint64
	Got     uint64
}

func (e *SnapshotOffsetError) Error() string {
	return fmt.Sprintf("snapshot claims offset %d, but its state is at offset %d", e.Claimed, e.Got)
}

// Enforcer owns the state machine of one daemon and its active table. The offset
// never decreases during the lifetime of the process, and no table is active below
// the floor, the offset that peers remember for this host.
type Enforcer struct {
	events timeline.Recorder

	mu      sync.Mutex
	machine StateMachine
	floor   uint64
	// deferUntil is the offset before which the first table is not activated, 0
	// once activation is no longer deferred.
	deferUntil uint64
	stopped    error
	changed    chan struct{}

	position atomic.Pointer[position]
	table    atomic.Pointer[Table]
}

// position is the highest applied offset and the digest at it.
type position struct {
	offset uint64
	digest []byte
}

// New returns an Enforcer without an active table.
func New(machine StateMachine, events timeline.Recorder) *Enforcer {
	e := &Enforcer{machine: machine, events: events, changed: make(chan struct{})}
	e.position.Store(&position{offset: machine.Offset(), digest: machine.Digest()})
	return e
}

// Table returns the active table, nil when there is none.
func (e *Enforcer) Table() *Table { return e.table.Load() }

// Position returns the highest applied offset and the digest at it. It takes no
// lock, so heartbeats are not delayed while records are applied.
func (e *Enforcer) Position() (uint64, []byte) {
	at := e.position.Load()
	return at.offset, at.digest
}

// StopCause returns the error that stopped the Enforcer for good, nil while it
// applies records.
func (e *Enforcer) StopCause() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// RaiseFloor forbids active tables below an offset. An active table below it is
// withdrawn until the applied offset reaches the floor.
func (e *Enforcer) RaiseFloor(offset uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.floor = max(e.floor, offset)
	if table := e.table.Load(); table != nil && table.Offset < e.floor {
		e.table.Store(nil)
	}
}

// DeferFirstTable defers the activation of the first table until the applied offset
// reaches the given one, so that a starting daemon does not pass through
// configurations that were replaced long ago. It has no effect once a table is
// active, and the deferral ends when the Enforcer stops for good.
func (e *Enforcer) DeferFirstTable(offset uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table.Load() == nil && e.stopped == nil {
		e.deferUntil = max(e.deferUntil, offset)
	}
}

// ActivationOffset returns the applied offset or, while the first table is deferred,
// the offset at which it is activated.
func (e *Enforcer) ActivationOffset() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.machine.Offset(), e.deferUntil)
}

// Floor returns the lowest offset at which a table may be active.
func (e *Enforcer) Floor() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.floor
}

// Apply applies records in order. Records at or below the current offset are
// skipped. When records are missing before one that is not self-contained, Apply
// returns a GapError and applies none of the rest.
func (e *Enforcer) Apply(records []platform.Record) error {
	_, err := e.ApplyAndCompact(records)
	return err
}

// ApplyAndCompact is like Apply and returns the applied records, each in the form
// in which it is forwarded to daemons at the previous offset. On an error it returns
// the records applied before.
func (e *Enforcer) ApplyAndCompact(records []platform.Record) ([]platform.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.machine.Offset()
	applied, err := e.applyAll(records)
	deferralEnded := e.stopped != nil && e.deferUntil > 0
	if deferralEnded {
		e.deferUntil = 0
	}
	if e.machine.Offset() > before || deferralEnded && before > 0 {
		e.activate()
	}
	return applied, err
}

func (e *Enforcer) applyAll(records []platform.Record) (applied []platform.Record, err error) {
	for _, record := range records {
		if e.stopped != nil {
			return applied, e.stopped
		}
		have := e.machine.Offset()
		if record.Offset <= have {
			continue
		}
		if record.Offset != have+1 && !e.machine.IsSelfContained(record) {
			return applied, &GapError{Have: have, Got: record.Offset}
		}
		if err := e.applyOne(record); err != nil {
			return applied, err
		}
		applied = append(applied, e.machine.CompactRecord(record))
	}
	return applied, nil
}

func (e *Enforcer) applyOne(record platform.Record) error {
	verdict, err := e.machine.Apply(record)
	if errors.Is(err, publish.ErrBaseMismatch) {
		return err
	}
	if err != nil {
		e.stopped = fmt.Errorf("apply record %d: %w", record.Offset, err)
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

// Restore replaces the state by that of a newer snapshot. An older snapshot has no
// effect, even when it claims a newer offset.
func (e *Enforcer) Restore(snapshot []byte, offset uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	have := e.machine.Offset()
	if offset <= have {
		return nil
	}
	before, err := e.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("restore snapshot at offset %d: save the current state: %w", offset, err)
	}
	if err := e.machine.Restore(snapshot); err != nil {
		return fmt.Errorf("restore snapshot at offset %d: %w", offset, err)
	}
	if got := e.machine.Offset(); got != offset {
		return errors.Join(&SnapshotOffsetError{Claimed: offset, Got: got}, e.machine.Restore(before))
	}
	e.activate()
	return nil
}

// Snapshot encodes the state and returns its offset.
func (e *Enforcer) Snapshot() ([]byte, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot, err := e.machine.Snapshot()
	return snapshot, e.machine.Offset(), err
}

// Verdicts returns the retained verdicts, oldest first.
func (e *Enforcer) Verdicts() []publish.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Verdicts()
}

// Changed returns a channel that is closed when the applied offset next grows.
func (e *Enforcer) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Wait blocks until the applied offset reaches the given one or ctx ends.
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

// activate makes the current state the active table, unless it is below the floor or
// the first table is deferred.
func (e *Enforcer) activate() {
	defer e.notifyWaiters()
	offset := e.machine.Offset()
	e.position.Store(&position{offset: offset, digest: e.machine.Digest()})
	if offset < max(e.floor, e.deferUntil) || !e.machine.HasConfiguration() {
		return
	}
	e.deferUntil = 0
	config := e.machine.Configuration()
	e.table.Store(&Table{Offset: offset, Digest: e.machine.Digest(), Config: config})
	e.events.Record(timeline.Event{
		Kind:     timeline.InForce,
		Offset:   offset,
		Version:  uint64(config.Version),
		Routes:   len(config.Routes),
		Dangling: countDangling(config),
		Digest:   fmt.Sprintf("%x", e.machine.Digest()),
	})
}

// notifyWaiters closes the channel that Changed returned and replaces it.
func (e *Enforcer) notifyWaiters() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// countDangling counts the references of routes to services that do not exist.
func countDangling(config *publish.Configuration) int {
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
