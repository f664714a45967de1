// Package admintest provides a mesh of one daemon for tests of the administration
// API and its clients.
package admintest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Mesh implements what the API of one daemon depends on, backed by a log. Records
// are applied when a publication is submitted.
type Mesh struct {
	Log platform.Log
	// Events records the events of the enforcer.
	Events *timeline.Buffer

	mu           sync.Mutex
	stateMachine *publish.StateMachine
	stopCause    error
	submitError  error
	drained      bool
	drainError   error
	leaving      bool
	lowestActive func(offset uint64) uint64
	enforcer     *enforce.Enforcer
}

// New returns a mesh without configuration, backed by a log.
func New(log platform.Log) *Mesh {
	m := &Mesh{Log: log, stateMachine: publish.NewStateMachine()}
	m.Events = timeline.NewBuffer(timeline.NewClock(time.Now), "host-1", "zone-1", 1, 1000)
	m.Events.Record(timeline.Event{Kind: timeline.Started})
	m.enforcer = enforce.New(m.stateMachine, m.Events)
	return m
}

// Options returns the options of a server of the mesh.
func (m *Mesh) Options() admin.Options {
	return admin.Options{
		Host:        "host-1",
		Zone:        "zone-1",
		Submitter:   m,
		Enforcer:    m,
		Archive:     &admin.LogArchive{Log: m.Log},
		Directory:   m,
		Drainer:     m,
		Convergence: m.convergence,
		Timeline:    m.Events.Handler(),
	}
}

// FailSubmit makes submissions return an error; nil makes them succeed again.
func (m *Mesh) FailSubmit(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.submitError = err
}

// SetStopCause makes the enforcer report that it stopped applying records.
func (m *Mesh) SetStopCause(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopCause = err
}

// SetLowestActive sets a function that returns the lowest active offset of the mesh,
// given the offset of this daemon.
func (m *Mesh) SetLowestActive(lowest func(offset uint64) uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lowestActive = lowest
}

// Drained reports whether the target is drained.
func (m *Mesh) Drained() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drained
}

// Leave marks the daemon as leaving the mesh.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Submit appends a publication, applies the log and returns the verdict.
func (m *Mesh) Submit(ctx context.Context, publication *publish.Publication) (publish.Verdict, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.submitError != nil {
		return publish.Verdict{}, m.submitError
	}
	payload, err := publish.EncodePublication(publication)
	if err != nil {
		return publish.Verdict{}, &publish.NotWrittenError{ID: publication.GetId(), Err: err}
	}
	offset, err := m.Log.Append(ctx, platform.ConfigurationStream, payload)
	if err != nil {
		return publish.Verdict{}, &publish.PendingError{ID: publication.GetId(), Err: err}
	}
	if err := m.applyUpTo(ctx, offset); err != nil {
		return publish.Verdict{}, &publish.PendingError{ID: publication.GetId(), Offset: offset, Err: err}
	}
	for _, verdict := range m.enforcer.Verdicts() {
		if verdict.ID == publication.GetId() {
			return verdict, nil
		}
	}
	return publish.Verdict{}, errors.New("no verdict on the publication")
}

// applyUpTo applies the log up to an offset.
func (m *Mesh) applyUpTo(ctx context.Context, offset uint64) error {
	for {
		have, _ := m.enforcer.Position()
		if have >= offset {
			return nil
		}
		result, err := m.Log.Read(ctx, platform.ConfigurationStream, have+1, 0)
		if err != nil {
			return err
		}
		if err := m.enforcer.Apply(result.Records); err != nil {
			return err
		}
	}
}

// Table returns the active table.
func (m *Mesh) Table() *enforce.Table { return m.enforcer.Table() }

// Position returns the highest applied offset and the digest at it.
func (m *Mesh) Position() (uint64, []byte) { return m.enforcer.Position() }

// Floor returns the lowest offset at which a table may be active.
func (m *Mesh) Floor() uint64 { return m.enforcer.Floor() }

// Verdicts returns the retained verdicts.
func (m *Mesh) Verdicts() []publish.Verdict { return m.enforcer.Verdicts() }

// Snapshot encodes the state and returns its offset.
func (m *Mesh) Snapshot() ([]byte, uint64, error) { return m.enforcer.Snapshot() }

// StopCause returns the error set by SetStopCause.
func (m *Mesh) StopCause() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopCause
}

// Source returns the current source of a workspace.
func (m *Mesh) Source(workspace string) (*publish.Source, publish.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.Source(workspace)
}

// View returns this host and a second one that is leaving.
func (m *Mesh) View() *membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := membership.Member{Host: "host-1", State: membership.Alive, TargetState: membership.Ready}
	if m.leaving {
		self.State = membership.Leaving
	}
	other := membership.Member{
		Host: "host-2", State: membership.Leaving, TargetState: membership.Draining, Reachability: membership.Suspect,
	}
	return &membership.View{Self: self, Members: membership.NewMap(map[string]membership.Member{"host-1": self, "host-2": other})}
}

// Drain marks the target as drained.
func (m *Mesh) Drain(context.Context) error { return m.setDrained(true) }

// Resume marks the target as in service.
func (m *Mesh) Resume(context.Context) error { return m.setDrained(false) }

func (m *Mesh) setDrained(drained bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drained = drained
	return m.drainError
}

// SetDrainError sets the error of Drain and Resume.
func (m *Mesh) SetDrainError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainError = err
}

func (m *Mesh) convergence() admin.Convergence {
	offset, _ := m.enforcer.Position()
	m.mu.Lock()
	defer m.mu.Unlock()
	lowest := offset
	if m.lowestActive != nil {
		lowest = m.lowestActive(offset)
	}
	convergence := admin.Convergence{Offset: offset, Lowest: lowest, Living: 2, InForce: 2}
	if lowest < offset {
		convergence.InForce = 1
		convergence.Missing = []admin.Missing{{Host: "host-2", HeardMillis: 1200}}
	}
	return convergence
}
