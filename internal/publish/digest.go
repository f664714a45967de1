package publish

import (
	"crypto/sha256"
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

// digestBytes is the size of the digest of a state machine.
const digestBytes = 16

// itemDigest is the digest of one part of the state.
type itemDigest [sha256.Size]byte

// Digest returns a digest of the state at Offset. State machines that applied the
// same records have equal digests.
func (m *StateMachine) Digest() []byte {
	if m.digest == nil {
		m.digest = m.computeDigest()
	}
	return m.digest
}

func (m *StateMachine) computeDigest() []byte {
	hash := sha256.New()
	writeUint64 := func(value uint64) {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, value))
	}
	writeUint64(m.offset)
	writeUint64(uint64(m.config.Version))
	writeUint64(uint64(len(m.workspaces)))
	for _, name := range m.workspaceNames() {
		digest := m.workspaces[name].digest
		_, _ = hash.Write(digest[:])
	}
	writeUint64(uint64(len(m.verdicts.retained)))
	for _, entry := range m.verdicts.retained {
		_, _ = hash.Write(entry.digest[:])
	}
	_, _ = hash.Write(m.grantsDigest[:])
	// A state without orders keeps the digest of binaries that know none.
	if len(m.orders.byService) > 0 {
		_, _ = hash.Write(m.orders.digest[:])
	}
	return hash.Sum(nil)[:digestBytes]
}

func digestSource(source *Source, version Version, author string) itemDigest {
	return digestMessage(sourceToWire(source, version, author))
}

// digestVerdict leaves out the problems, whose texts come from libraries and may
// differ between binaries that agree on the outcome.
func digestVerdict(verdict Verdict) itemDigest {
	verdict.Problems = nil
	return digestMessage(verdictToWire(verdict))
}

// digestMessage returns the digest of a message. It panics if the message cannot be
// encoded, which does not happen: its strings were decoded from messages or made
// valid UTF-8.
func digestMessage(message proto.Message) itemDigest {
	encoded, err := deterministic.Marshal(message)
	if err != nil {
		panic("publish: encode message for its digest: " + err.Error())
	}
	return sha256.Sum256(encoded)
}
