package publish

import (
	"fmt"
	"maps"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// UnknownSchemaError reports a record or snapshot whose schema number is newer
// than the ones this binary supports.
type UnknownSchemaError struct {
	Schema uint32
}

func (e *UnknownSchemaError) Error() string {
	return fmt.Sprintf("schema %d is not known, the newest known is %d", e.Schema, Schema)
}

// workspaceState is the accepted configuration of one workspace.
type workspaceState struct {
	// source is nil for a workspace that is set by full configurations.
	source  *Source
	full    *Whole
	version Version
	author  string
	digest  itemDigest
}

// StateMachine holds the state that results from applying the records of the
// log up to an offset. It is not safe for concurrent use; the configurations
// that it returns are.
//
// Publications are deduplicated by id as long as the verdict of the first one
// is among the last MaxRetainedVerdicts. An older duplicate is applied like a
// new publication; if the first one was accepted, the duplicate's base is
// outdated and it is a conflict.
type StateMachine struct {
	offset     uint64
	workspaces map[string]workspaceState
	config     *Configuration
	verdicts   verdictList
	// grantsDigest is the digest of config.Grants.
	grantsDigest itemDigest
	// change is the difference that the last record made to the previous full
	// configuration of its workspace, nil when the record held none or there
	// was no previous one.
	change *WholeChange
	// changeSchema is the schema number of the record with change.
	changeSchema uint32
	// orders holds the newest order of each service.
	orders rolloutOrders
	// awaitsConfiguration is set when an order was applied before any configuration.
	awaitsConfiguration bool
	// digest caches Digest, nil until it is computed.
	digest []byte
}

// NewStateMachine returns a state machine to which no record was applied.
func NewStateMachine() *StateMachine {
	machine := &StateMachine{workspaces: map[string]workspaceState{}, config: emptyConfiguration()}
	machine.setGrants(nil)
	return machine
}

// Configuration returns the immutable configuration at Offset.
func (m *StateMachine) Configuration() *Configuration { return m.config }

// Offset returns the highest applied offset, 0 for none.
func (m *StateMachine) Offset() uint64 { return m.offset }

// Verdicts returns the retained verdicts, oldest first. Of publications with
// the same id only the verdict of the first is retained.
func (m *StateMachine) Verdicts() []Verdict { return m.verdicts.all() }

// Source returns the source of a workspace and its version. It reports false
// when the workspace does not exist or is set by full configurations.
func (m *StateMachine) Source(workspace string) (*Source, Version, bool) {
	state, found := m.workspaces[workspace]
	return state.source, state.version, found && state.source != nil
}

// Apply applies the record that follows Offset. The verdict is nil when the
// record is a grant or a no-op. The state is unchanged on an error, which is an
// *UnknownSchemaError or wraps ErrBaseMismatch.
func (m *StateMachine) Apply(record platform.Record) (*Verdict, error) {
	entry, err := decodeEntry(record.Payload)
	if err != nil {
		return m.recordVerdict(record.Offset, refuse(Verdict{}, problemOf("record", err))), nil
	}
	if entry.GetSchema() > Schema {
		return nil, &UnknownSchemaError{Schema: entry.GetSchema()}
	}
	if problem := checkEntry(entry); problem != "" {
		return m.recordVerdict(record.Offset, refuse(Verdict{}, Problem{Place: "record", Reason: problem})), nil
	}
	if grant := entry.GetGrant(); grant != nil {
		if grants, added := m.config.Grants.Add(grant, record.Appended); added {
			m.setGrants(grants)
		}
		m.advanceTo(record.Offset)
		return nil, nil
	}
	if entry.GetSkip() != nil {
		m.advanceTo(record.Offset)
		return nil, nil
	}
	if full := entry.GetWhole(); full != nil {
		return m.applyFullConfig(record.Offset, full), nil
	}
	if order := entry.GetRolloutOrder(); order != nil {
		return m.applyRolloutOrder(record.Offset, order), nil
	}
	if change := entry.GetWholeChange(); change != nil {
		full, err := change.apply(entry.GetSchema(), m.workspaces[change.GetWorkspace()].full)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", record.Offset, err)
		}
		return m.applyFullConfig(record.Offset, full), nil
	}
	return m.recordVerdict(record.Offset, m.applyPublication(record.Offset, entry.GetPublication())), nil
}

// applyPublication decides on a publication and applies it when it is accepted.
func (m *StateMachine) applyPublication(offset uint64, publication *Publication) Verdict {
	verdict := Verdict{
		ID:        publication.GetId(),
		Workspace: truncate(publication.GetWorkspace(), MaxNameBytes),
		Author:    truncate(publication.GetAuthor(), MaxTextBytes),
		Reason:    truncate(publication.GetReason(), MaxTextBytes),
	}
	if len(verdict.ID) > MaxIDBytes {
		verdict.ID = ""
	}
	if found := checkPublication(publication); len(found) > 0 {
		return refuse(verdict, found...)
	}
	if first, found := m.verdicts.byID(publication.GetId()); found {
		return duplicateOf(first)
	}
	current := m.workspaces[publication.GetWorkspace()]
	if Version(publication.GetBase()) != current.version {
		verdict.Outcome = Conflict
		verdict.ConflictVersion = current.version
		verdict.ConflictAuthor = current.author
		return verdict
	}
	return m.accept(offset, publication, current.source, verdict)
}

// accept renders and checks the new source. It applies the publication
// completely or refuses it.
func (m *StateMachine) accept(offset uint64, publication *Publication, current *Source, verdict Verdict) Verdict {
	source := patch(current, publication)
	next, found := m.buildConfiguration(source)
	if len(found) > 0 {
		return refuse(verdict, found...)
	}
	version := Version(offset)
	next.Version = version
	next.Workspaces[source.Name].Version = version
	m.config = next
	m.workspaces[source.Name] = workspaceState{
		source:  source,
		version: version,
		author:  verdict.Author,
		digest:  digestSource(source, version, verdict.Author),
	}
	verdict.Outcome = Accepted
	verdict.Version = version
	return verdict
}

// buildConfiguration renders a source into a copy of the configuration and
// checks the references of all workspaces.
func (m *StateMachine) buildConfiguration(source *Source) (*Configuration, []Problem) {
	if _, found := m.workspaces[source.Name]; !found && len(m.workspaces) >= MaxWorkspaces {
		return nil, []Problem{{
			Place:  "workspace " + source.Name,
			Reason: fmt.Sprintf("there are %d workspaces already, no more are allowed", MaxWorkspaces),
		}}
	}
	workspace, found := Render(source)
	if len(found) > 0 {
		return nil, found
	}
	next := withWorkspace(m.config, workspace)
	if dangling := checkReferences(next); len(dangling) > 0 {
		return nil, dangling
	}
	return next, nil
}

// setGrants replaces the grants of the configuration.
func (m *StateMachine) setGrants(grants once.Grants) {
	next := *m.config
	next.Grants = grants
	m.config = &next
	m.grantsDigest = digestMessage(&Snapshot{Grants: grants.Compact()})
}

// recordVerdict stores a verdict, unless it is a duplicate, and advances to its
// offset.
func (m *StateMachine) recordVerdict(offset uint64, verdict Verdict) *Verdict {
	verdict.Offset = offset
	if verdict.Outcome != Duplicate {
		m.verdicts.add(verdict)
	}
	m.advanceTo(offset)
	return &verdict
}

func (m *StateMachine) advanceTo(offset uint64) {
	m.offset = offset
	m.digest = nil
	m.change = nil
}

// workspaceNames returns the names of all workspaces, sorted.
func (m *StateMachine) workspaceNames() []string { return slices.Sorted(maps.Keys(m.workspaces)) }
