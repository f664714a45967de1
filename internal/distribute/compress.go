package distribute

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// maxSnapshotBytes limits the memory used to decompress a snapshot or records.
const maxSnapshotBytes = 64 << 20

// compress compresses bytes with zstd; the frame carries a checksum. Snapshots
// are rare, so the memory of the encoder is not kept between them.
func compress(plain []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("new encoder: %w", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(plain, nil), nil
}

// fastWindowBytes is the window of compressFast, which takes little memory.
const fastWindowBytes = 128 << 10

// compressFast is compress for bytes that small hosts compress while others wait.
func compressFast(plain []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(fastWindowBytes),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("new encoder: %w", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(plain, nil), nil
}

// decompress reverses compress and compressFast.
func decompress(compressed []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("new decoder: %w", err)
	}
	defer decoder.Close()
	return decoder.DecodeAll(compressed, nil)
}
