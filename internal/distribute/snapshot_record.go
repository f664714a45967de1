package distribute

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// DecodeSnapshotState returns the encoded state contained in a record of the
// snapshot stream.
func DecodeSnapshotState(payload []byte) ([]byte, error) {
	var wire CompressedSnapshot
	if err := proto.Unmarshal(payload, &wire); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	state, err := decompress(wire.GetState())
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	return state, nil
}
