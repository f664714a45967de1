package publish

import (
	"crypto/sha256"
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

// digestBytes is the size of the digest of a fold, in bytes.
const digestBytes = 16

// itemDigest is the digest of one part of the state.
type itemDigest [sha256.Size]byte

// Digest is a digest of the whole state at Offset. Folds of equal records
// have equal digests.
func (f *StateMachine) Digest() []byte {
	if f.digest == nil {
		f.digest = f.computeDigest()
	}
	return f.digest
}

func (f *StateMachine) computeDigest() []byte {
	hash := sha256.New()
	number := func(value uint64) {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, value))
	}
	number(f.offset)
	number(uint64(f.config.Version))
	number(uint64(len(f.workspaces)))
	for _, name := range f.names() {
		digest := f.workspaces[name].digest
		_, _ = hash.Write(digest[:])
	}
	number(uint64(len(f.verdicts.kept)))
	for _, each := range f.verdicts.kept {
		_, _ = hash.Write(each.digest[:])
	}
	_, _ = hash.Write(f.grantsDigest[:])
	return hash.Sum(nil)[:digestBytes]
}

func digestSource(source *Source, version Version, author string) itemDigest {
	return digestMessage(sourceToWire(source, version, author))
}

// digestVerdict leaves out the problems: their texts come from libraries and
// may differ between binaries that agree on the outcome.
func digestVerdict(verdict Verdict) itemDigest {
	verdict.Problems = nil
	return digestMessage(verdictToWire(verdict))
}

// digestMessage is the digest of a message that is known to encode: its
// strings were decoded from messages or made valid UTF-8.
func digestMessage(message proto.Message) itemDigest {
	encoded, err := deterministic.Marshal(message)
	if err != nil {
		panic("publish: encode a message for its digest: " + err.Error())
	}
	return sha256.Sum256(encoded)
}
