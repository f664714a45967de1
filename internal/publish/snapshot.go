package publish

import (
	"bytes"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// ErrDamagedSnapshot reports a snapshot that does not decode to a state with its
// recorded digest.
var ErrDamagedSnapshot = errors.New("the snapshot is damaged")

// Snapshot encodes the state. Equal states have equal snapshots.
func (m *StateMachine) Snapshot() ([]byte, error) {
	snapshot := &Snapshot{
		Schema:  baseSchema,
		Offset:  m.offset,
		Version: uint64(m.config.Version),
		Digest:  m.Digest(),
		Grants:  m.config.Grants.Compact(),

		RolloutOrders: m.orders.sorted(),
	}
	for _, name := range m.workspaceNames() {
		state := m.workspaces[name]
		if state.full != nil {
			wire := &WorkspaceSource{Name: name, Version: uint64(state.version), Whole: state.full}
			snapshot.Workspaces = append(snapshot.Workspaces, wire)
			snapshot.Schema = max(snapshot.GetSchema(), schemaOfFullConfig(state.full))
			continue
		}
		snapshot.Workspaces = append(snapshot.Workspaces, sourceToWire(state.source, state.version, state.author))
	}
	for _, entry := range m.verdicts.retained {
		snapshot.Verdicts = append(snapshot.Verdicts, verdictToWire(entry.verdict))
	}
	encoded, err := deterministic.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot at offset %d: %w", m.offset, err)
	}
	return encoded, nil
}

// Restore replaces the state by that of a snapshot. The state is unchanged on an
// error, which is an *UnknownSchemaError or wraps ErrDamagedSnapshot.
func (m *StateMachine) Restore(encoded []byte) error {
	snapshot := &Snapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return fmt.Errorf("%w: %w", ErrDamagedSnapshot, err)
	}
	if snapshot.GetSchema() > Schema {
		return &UnknownSchemaError{Schema: snapshot.GetSchema()}
	}
	restored, err := restore(snapshot)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamagedSnapshot, err)
	}
	if !bytes.Equal(restored.Digest(), snapshot.GetDigest()) {
		return fmt.Errorf("%w: digest %x, want %x", ErrDamagedSnapshot, restored.Digest(), snapshot.GetDigest())
	}
	*m = *restored
	return nil
}

func restore(snapshot *Snapshot) (*StateMachine, error) {
	machine := NewStateMachine()
	machine.offset = snapshot.GetOffset()
	for _, wire := range snapshot.GetWorkspaces() {
		if err := machine.restoreWorkspace(wire); err != nil {
			return nil, err
		}
	}
	if dangling := checkReferences(machine.config); len(dangling) > 0 {
		return nil, errors.New(dangling[0].String())
	}
	for _, wire := range snapshot.GetVerdicts() {
		machine.verdicts.add(verdictFromWire(wire))
	}
	machine.config.Version = Version(snapshot.GetVersion())
	grants, ok := once.Expand(snapshot.GetGrants())
	if !ok {
		return nil, errors.New("the grants do not form a chain")
	}
	machine.setGrants(grants)
	for _, order := range snapshot.GetRolloutOrders() {
		if found := checkRolloutOrder(order); len(found) > 0 {
			return nil, errors.New(found[0].String())
		}
		machine.setOrders(machine.orders.with(order, true))
	}
	machine.awaitsConfiguration = len(machine.orders.byService) > 0 && len(machine.workspaces) == 0
	return machine, nil
}

func (m *StateMachine) restoreWorkspace(wire *WorkspaceSource) error {
	if full := wire.GetWhole(); full != nil {
		return m.restoreFullConfig(full, Version(wire.GetVersion()))
	}
	source := sourceFromWire(wire)
	workspace, found := Render(source)
	if len(found) > 0 {
		return errors.New(found[0].String())
	}
	version := Version(wire.GetVersion())
	workspace.Version = version
	m.config = withWorkspace(m.config, workspace)
	m.workspaces[source.Name] = workspaceState{
		source:  source,
		version: version,
		author:  wire.GetAuthor(),
		digest:  digestSource(source, version, wire.GetAuthor()),
	}
	return nil
}

func (m *StateMachine) restoreFullConfig(full *Whole, version Version) error {
	if found := append(checkFullConfig(full), checkClients(full.GetClients())...); len(found) > 0 {
		return errors.New(found[0].String())
	}
	workspace := renderFullConfig(full)
	workspace.Clients = renderClients(full.GetClients(), nil, nil)
	workspace.Version = version
	m.config = withWorkspace(m.config, workspace)
	m.workspaces[workspace.Name] = fullConfigState(full, version)
	return nil
}
