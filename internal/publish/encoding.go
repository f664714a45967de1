package publish

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/once"
)

// deterministic encodes equal messages to equal bytes within one binary.
var deterministic = proto.MarshalOptions{Deterministic: true}

// EncodePublication encodes a record payload with a publication.
func EncodePublication(publication *Publication) ([]byte, error) {
	return encodeEntry(&Entry{Schema: baseSchema, Kind: &Entry_Publication{Publication: publication}})
}

// EncodeGrant encodes a record payload with a grant.
func EncodeGrant(grant *once.Grant) ([]byte, error) {
	return encodeEntry(&Entry{Schema: baseSchema, Kind: &Entry_Grant{Grant: grant}})
}

func encodeEntry(entry *Entry) ([]byte, error) {
	payload, err := deterministic.Marshal(entry)
	if err != nil {
		return nil, err
	}
	if limit := entryLimit(entry); len(payload) > limit {
		return nil, entryTooLarge(len(payload), limit)
	}
	return payload, nil
}

func decodeEntry(payload []byte) (*Entry, error) {
	if len(payload) > MaxClientEntryBytes {
		return nil, entryTooLarge(len(payload), MaxClientEntryBytes)
	}
	entry := &Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		// The error texts of the library are not stable, but verdicts must be equal on
		// every daemon.
		return nil, errors.New("does not decode as an entry")
	}
	if limit := entryLimit(entry); len(payload) > limit {
		return nil, entryTooLarge(len(payload), limit)
	}
	return entry, nil
}

// entryLimit returns the largest size of the payload with an entry, in bytes.
func entryLimit(entry *Entry) int {
	if entry.GetSchema() >= clientsSchema {
		return MaxClientEntryBytes
	}
	return MaxEntryBytes
}

func sourceToWire(source *Source, version Version, author string) *WorkspaceSource {
	return &WorkspaceSource{
		Name:       source.Name,
		Version:    uint64(version),
		Author:     author,
		Templates:  source.Templates,
		Parameters: source.Parameters,
	}
}

func sourceFromWire(wire *WorkspaceSource) *Source {
	source := &Source{Name: wire.GetName(), Templates: wire.GetTemplates(), Parameters: wire.GetParameters()}
	if source.Templates == nil {
		source.Templates = map[string]string{}
	}
	if source.Parameters == nil {
		source.Parameters = map[string]string{}
	}
	return source
}

func verdictToWire(verdict Verdict) *VerdictRecord {
	wire := &VerdictRecord{
		Offset:          verdict.Offset,
		Id:              verdict.ID,
		Workspace:       verdict.Workspace,
		Outcome:         uint32(verdict.Outcome),
		Version:         uint64(verdict.Version),
		ConflictVersion: uint64(verdict.ConflictVersion),
		ConflictAuthor:  verdict.ConflictAuthor,
		Author:          verdict.Author,
		Reason:          verdict.Reason,
	}
	for _, problem := range verdict.Problems {
		wire.Problems = append(wire.Problems, &ProblemRecord{Place: problem.Place, Reason: problem.Reason})
	}
	return wire
}

func verdictFromWire(wire *VerdictRecord) Verdict {
	verdict := Verdict{
		Offset:          wire.GetOffset(),
		ID:              wire.GetId(),
		Workspace:       wire.GetWorkspace(),
		Outcome:         Outcome(wire.GetOutcome()),
		Version:         Version(wire.GetVersion()),
		ConflictVersion: Version(wire.GetConflictVersion()),
		ConflictAuthor:  wire.GetConflictAuthor(),
		Author:          wire.GetAuthor(),
		Reason:          wire.GetReason(),
	}
	for _, problem := range wire.GetProblems() {
		verdict.Problems = append(verdict.Problems, Problem{Place: problem.GetPlace(), Reason: problem.GetReason()})
	}
	return verdict
}
