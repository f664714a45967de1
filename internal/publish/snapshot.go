package publish

import (
	"bytes"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// ErrDamagedSnapshot says that a snapshot does not match its own digest.
var ErrDamagedSnapshot = errors.New("the snapshot is damaged")

// Snapshot encodes the state. Equal states have equal snapshots.
func (f *StateMachine) Snapshot() ([]byte, error) {
	snapshot := &Snapshot{
		Schema:  Schema,
		Offset:  f.offset,
		Version: uint64(f.config.Version),
		Digest:  f.Digest(),
		Grants:  f.config.Grants.Compact(),
	}
	for _, name := range f.names() {
		state := f.workspaces[name]
		if state.whole != nil {
			wire := &WorkspaceSource{Name: name, Version: uint64(state.version), Whole: state.whole}
			snapshot.Workspaces = append(snapshot.Workspaces, wire)
			continue
		}
		snapshot.Workspaces = append(snapshot.Workspaces, sourceToWire(state.source, state.version, state.author))
	}
	for _, each := range f.verdicts.kept {
		snapshot.Verdicts = append(snapshot.Verdicts, verdictToWire(each.verdict))
	}
	encoded, err := deterministic.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot at %d: %w", f.offset, err)
	}
	return encoded, nil
}

// Restore replaces the state by that of a snapshot. The state is unchanged on
// an error, which is an *UnknownSchemaError or wraps ErrDamagedSnapshot.
func (f *StateMachine) Restore(encoded []byte) error {
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
	*f = *restored
	return nil
}

func restore(snapshot *Snapshot) (*StateMachine, error) {
	fold := NewStateMachine()
	fold.offset = snapshot.GetOffset()
	for _, wire := range snapshot.GetWorkspaces() {
		if err := fold.restoreWorkspace(wire); err != nil {
			return nil, err
		}
	}
	if dangling := checkReferences(fold.config); len(dangling) > 0 {
		return nil, errors.New(dangling[0].String())
	}
	for _, wire := range snapshot.GetVerdicts() {
		fold.verdicts.add(verdictFromWire(wire))
	}
	fold.config.Version = Version(snapshot.GetVersion())
	grants, ok := once.Expand(snapshot.GetGrants())
	if !ok {
		return nil, errors.New("the grants form no chain")
	}
	fold.setGrants(grants)
	return fold, nil
}

func (f *StateMachine) restoreWorkspace(wire *WorkspaceSource) error {
	if whole := wire.GetWhole(); whole != nil {
		return f.restoreWhole(whole, Version(wire.GetVersion()))
	}
	source := sourceFromWire(wire)
	workspace, found := Render(source)
	if len(found) > 0 {
		return errors.New(found[0].String())
	}
	version := Version(wire.GetVersion())
	workspace.Version = version
	f.config = replace(f.config, workspace)
	f.workspaces[source.Name] = workspaceState{
		source:  source,
		version: version,
		author:  wire.GetAuthor(),
		digest:  digestSource(source, version, wire.GetAuthor()),
	}
	return nil
}

func (f *StateMachine) restoreWhole(whole *Whole, version Version) error {
	if found := checkWhole(whole); len(found) > 0 {
		return errors.New(found[0].String())
	}
	workspace := renderWhole(whole)
	workspace.Version = version
	f.config = replace(f.config, workspace)
	f.workspaces[workspace.Name] = wholeState(whole, version)
	return nil
}
