// Package admintest holds a one-daemon mesh for tests of the administration
// API and of its clients.
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

// Mesh is the slices behind the API of one daemon, over a log. The log is
// folded whenever a publication is submitted.
type Mesh struct {
	Log platform.Log
	// Events takes the events of the enforcer.
	Events *timeline.Buffer

	mu       sync.Mutex
	fold     *publish.StateMachine
	stopped  error
	failure  error
	drained  bool
	leaving  bool
	lowest   func(offset uint64) uint64
	enforcer *enforce.Enforcer
}

// New returns a mesh over a log, without any configuration.
func New(log platform.Log) *Mesh {
	m := &Mesh{Log: log, fold: publish.NewStateMachine()}
	m.Events = timeline.NewBuffer(timeline.NewClock(time.Now), "host-1", "zone-1", 1, 1000)
	m.Events.Record(timeline.Event{Kind: timeline.Started})
	m.enforcer = enforce.New(m.fold, m.Events)
	return m
}

// Options returns the options of a server over the mesh.
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

// Fail makes submissions end with an error, nil for no longer.
func (m *Mesh) Fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = err
}

// Stop makes the enforcer report that it stopped folding.
func (m *Mesh) Stop(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = err
}

// LowestBy sets what the lowest offset in force in the mesh is when this daemon is
// at an offset.
func (m *Mesh) LowestBy(lowest func(offset uint64) uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lowest = lowest
}

// Drained reports whether the target was drained.
func (m *Mesh) Drained() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.drained
}

// Leave makes the daemon leave the mesh.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Submit appends a publication, folds the log and returns the verdict.
func (m *Mesh) Submit(ctx context.Context, publication *publish.Publication) (publish.Verdict, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return publish.Verdict{}, m.failure
	}
	payload, err := publish.EncodePublication(publication)
	if err != nil {
		return publish.Verdict{}, &publish.NotWrittenError{ID: publication.GetId(), Err: err}
	}
	offset, err := m.Log.Append(ctx, platform.ConfigurationStream, payload)
	if err != nil {
		return publish.Verdict{}, &publish.PendingError{ID: publication.GetId(), Err: err}
	}
	if err := m.follow(ctx, offset); err != nil {
		return publish.Verdict{}, &publish.PendingError{ID: publication.GetId(), Offset: offset, Err: err}
	}
	for _, verdict := range m.enforcer.Verdicts() {
		if verdict.ID == publication.GetId() {
			return verdict, nil
		}
	}
	return publish.Verdict{}, errors.New("no verdict")
}

// follow applies the log up to an offset.
func (m *Mesh) follow(ctx context.Context, offset uint64) error {
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

// Table returns the table in force.
func (m *Mesh) Table() *enforce.Table { return m.enforcer.Table() }

// Position returns the highest offset folded.
func (m *Mesh) Position() (uint64, []byte) { return m.enforcer.Position() }

// Floor returns the lowest offset that may be in force.
func (m *Mesh) Floor() uint64 { return m.enforcer.Floor() }

// Verdicts returns the verdicts still kept.
func (m *Mesh) Verdicts() []publish.Verdict { return m.enforcer.Verdicts() }

// Snapshot encodes the state.
func (m *Mesh) Snapshot() ([]byte, uint64, error) { return m.enforcer.Snapshot() }

// StopCause returns what Stop was given.
func (m *Mesh) StopCause() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped
}

// Source returns the current source of a workspace.
func (m *Mesh) Source(workspace string) (*publish.Source, publish.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fold.Source(workspace)
}

// View returns two hosts.
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
	return &membership.View{Self: self, Members: map[string]membership.Member{"host-1": self, "host-2": other}}
}

// Drain marks the target as drained.
func (m *Mesh) Drain() { m.setDrained(true) }

// Resume marks the target as in service.
func (m *Mesh) Resume() { m.setDrained(false) }

func (m *Mesh) setDrained(drained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drained = drained
}

func (m *Mesh) convergence() admin.Convergence {
	offset, _ := m.enforcer.Position()
	m.mu.Lock()
	defer m.mu.Unlock()
	lowest := offset
	if m.lowest != nil {
		lowest = m.lowest(offset)
	}
	convergence := admin.Convergence{Offset: offset, Lowest: lowest, Living: 2, InForce: 2}
	if lowest < offset {
		convergence.InForce = 1
		convergence.Missing = []admin.Missing{{Host: "host-2", HeardMillis: 1200}}
	}
	return convergence
}
