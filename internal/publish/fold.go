package publish

import (
	"fmt"
	"maps"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// UnknownSchemaError says that a record or snapshot was written under rules
// that this binary does not know.
type UnknownSchemaError struct {
	Schema uint32
}

func (e *UnknownSchemaError) Error() string {
	return fmt.Sprintf("schema %d is not known, the newest known is %d", e.Schema, Schema)
}

// workspaceState is the accepted source of one workspace.
type workspaceState struct {
	// source is nil for a workspace that is given as a whole.
	source  *Source
	whole   *Whole
	version Version
	author  string
	digest  itemDigest
}

// StateMachine is the state that the records up to an offset stand for. It is not
// safe for concurrent use; the configurations that it returns are.
//
// A publication id is remembered with its verdict, so a repeated publication
// changes nothing as long as its verdict is among the last KeptVerdicts. An
// older repeat is folded like a new publication; if the first one was
// accepted its base has passed and it is a conflict.
type StateMachine struct {
	offset     uint64
	workspaces map[string]workspaceState
	config     *Configuration
	verdicts   verdictList
	// grantsDigest is that of the grants of config.
	grantsDigest itemDigest
	// change is what the last record made of the whole before it, nil when it
	// was no whole or there was none.
	change *WholeChange
	// digest is nil until it is asked for.
	digest []byte
}

// NewStateMachine returns the state before the first record.
func NewStateMachine() *StateMachine {
	fold := &StateMachine{workspaces: map[string]workspaceState{}, config: emptyConfiguration()}
	fold.setGrants(nil)
	return fold
}

// Configuration returns the immutable configuration at Offset.
func (f *StateMachine) Configuration() *Configuration { return f.config }

// Offset is the highest offset folded, 0 for none.
func (f *StateMachine) Offset() uint64 { return f.offset }

// Verdicts returns the verdicts still kept, oldest first. Duplicates are not
// kept; the first verdict of an id is.
func (f *StateMachine) Verdicts() []Verdict { return f.verdicts.all() }

// Source returns the source of a workspace and its version, false for none.
func (f *StateMachine) Source(workspace string) (*Source, Version, bool) {
	state, found := f.workspaces[workspace]
	return state.source, state.version, found && state.source != nil
}

// Apply folds the record that follows Offset. The verdict is nil when the
// record is a grant. An *UnknownSchemaError leaves the state unchanged.
func (f *StateMachine) Apply(record platform.Record) (*Verdict, error) {
	entry, err := decodeEntry(record.Payload)
	if err != nil {
		return f.conclude(record.Offset, refuse(Verdict{}, problemOf("record", err))), nil
	}
	if entry.GetSchema() > Schema {
		return nil, &UnknownSchemaError{Schema: entry.GetSchema()}
	}
	if problem := checkEntry(entry); problem != "" {
		return f.conclude(record.Offset, refuse(Verdict{}, Problem{Place: "record", Reason: problem})), nil
	}
	if grant := entry.GetGrant(); grant != nil {
		if grants, added := f.config.Grants.Add(grant, record.Appended); added {
			f.setGrants(grants)
		}
		f.advance(record.Offset)
		return nil, nil
	}
	if entry.GetSkip() != nil {
		f.advance(record.Offset)
		return nil, nil
	}
	if whole := entry.GetWhole(); whole != nil {
		return f.foldWhole(record.Offset, whole), nil
	}
	if change := entry.GetWholeChange(); change != nil {
		whole, err := change.apply(f.workspaces[change.GetWorkspace()].whole)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", record.Offset, err)
		}
		return f.foldWhole(record.Offset, whole), nil
	}
	return f.conclude(record.Offset, f.publish(record.Offset, entry.GetPublication())), nil
}

// publish decides on a publication and applies it when it is accepted.
func (f *StateMachine) publish(offset uint64, publication *Publication) Verdict {
	verdict := Verdict{
		ID:        publication.GetId(),
		Workspace: shorten(publication.GetWorkspace(), MaxNameBytes),
		Author:    shorten(publication.GetAuthor(), MaxTextBytes),
		Reason:    shorten(publication.GetReason(), MaxTextBytes),
	}
	if len(verdict.ID) > MaxIDBytes {
		verdict.ID = ""
	}
	if found := checkPublication(publication); len(found) > 0 {
		return refuse(verdict, found...)
	}
	if first, found := f.verdicts.byID(publication.GetId()); found {
		return duplicateOf(first)
	}
	current := f.workspaces[publication.GetWorkspace()]
	if Version(publication.GetBase()) != current.version {
		verdict.Outcome = Conflict
		verdict.ConflictVersion = current.version
		verdict.ConflictAuthor = current.author
		return verdict
	}
	return f.accept(offset, publication, current.source, verdict)
}

// accept renders and checks the new source, and applies it whole or not at all.
func (f *StateMachine) accept(offset uint64, publication *Publication, current *Source, verdict Verdict) Verdict {
	source := patch(current, publication)
	next, found := f.compose(source)
	if len(found) > 0 {
		return refuse(verdict, found...)
	}
	version := Version(offset)
	next.Version = version
	next.Workspaces[source.Name].Version = version
	f.config = next
	f.workspaces[source.Name] = workspaceState{
		source:  source,
		version: version,
		author:  verdict.Author,
		digest:  digestSource(source, version, verdict.Author),
	}
	verdict.Outcome = Accepted
	verdict.Version = version
	return verdict
}

// compose renders a source into the configuration and checks the whole.
func (f *StateMachine) compose(source *Source) (*Configuration, []Problem) {
	if _, found := f.workspaces[source.Name]; !found && len(f.workspaces) >= MaxWorkspaces {
		return nil, []Problem{{
			Place:  "workspace " + source.Name,
			Reason: fmt.Sprintf("there are %d workspaces already, no more are allowed", MaxWorkspaces),
		}}
	}
	workspace, found := Render(source)
	if len(found) > 0 {
		return nil, found
	}
	next := replace(f.config, workspace)
	if dangling := checkReferences(next); len(dangling) > 0 {
		return nil, dangling
	}
	return next, nil
}

// setGrants replaces the grants of the configuration.
func (f *StateMachine) setGrants(grants once.Grants) {
	next := *f.config
	next.Grants = grants
	f.config = &next
	f.grantsDigest = digestMessage(&Snapshot{Grants: grants.Compact()})
}

// conclude keeps a verdict and advances to its offset.
func (f *StateMachine) conclude(offset uint64, verdict Verdict) *Verdict {
	verdict.Offset = offset
	if verdict.Outcome != Duplicate {
		f.verdicts.add(verdict)
	}
	f.advance(offset)
	return &verdict
}

func (f *StateMachine) advance(offset uint64) {
	f.offset = offset
	f.digest = nil
	f.change = nil
}

// names returns the names of all workspaces, sorted.
func (f *StateMachine) names() []string { return slices.Sorted(maps.Keys(f.workspaces)) }
