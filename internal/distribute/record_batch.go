package distribute

import (
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// minCompressedBytes is the size of the payloads from which on records are compressed.
const minCompressedBytes = 2 << 10

// encodedRecords are records as a message carries them: either plain or compressed.
type encodedRecords struct {
	plain      []*platform.StoredRecord
	compressed []byte
}

// batchKey identifies the records of a batch. A daemon forwards one form of a record
// only, unless its state was replaced, which may change the size.
type batchKey struct {
	first, last uint64
	bytes       int
}

// recordEncoder encodes records for messages. It keeps the last compressed batch, which
// a daemon sends to all its followers.
type recordEncoder struct {
	mu   sync.Mutex
	key  batchKey
	last encodedRecords
}

// encode returns records for a receiver that accepts compressed ones or does not.
func (e *recordEncoder) encode(records []platform.Record, compressed bool) (encodedRecords, error) {
	size := 0
	for _, record := range records {
		size += len(record.Payload)
	}
	if !compressed || size < minCompressedBytes {
		return encodedRecords{plain: platform.RecordsToWire(records)}, nil
	}
	key := batchKey{first: records[0].Offset, last: records[len(records)-1].Offset, bytes: size}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.key == key {
		return e.last, nil
	}
	encoded, err := compressRecords(records)
	if err != nil {
		return encodedRecords{}, err
	}
	e.key, e.last = key, encoded
	return encoded, nil
}

// compressRecords compresses records, unless that makes them longer.
func compressRecords(records []platform.Record) (encodedRecords, error) {
	wire := platform.RecordsToWire(records)
	plain, err := proto.Marshal(&RecordBatch{Records: wire})
	if err != nil {
		return encodedRecords{}, fmt.Errorf("encode records from offset %d: %w", records[0].Offset, err)
	}
	compressed, err := compressFast(plain)
	if err != nil {
		return encodedRecords{}, fmt.Errorf("compress records from offset %d: %w", records[0].Offset, err)
	}
	if len(compressed) >= len(plain) {
		return encodedRecords{plain: wire}, nil
	}
	return encodedRecords{compressed: compressed}, nil
}

// recordsFromWire returns the records of a message.
func recordsFromWire(plain []*platform.StoredRecord, compressed []byte) ([]platform.Record, error) {
	if len(compressed) == 0 {
		return platform.RecordsFromWire(plain), nil
	}
	encoded, err := decompress(compressed)
	if err != nil {
		return nil, fmt.Errorf("decompress records: %w", err)
	}
	var batch RecordBatch
	if err := proto.Unmarshal(encoded, &batch); err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	return platform.RecordsFromWire(batch.GetRecords()), nil
}
