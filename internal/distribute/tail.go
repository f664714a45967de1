package distribute

import "github.com/mulberrybank/mulberrybank/internal/platform"

// Limits of the records kept in memory for followers.
const (
	maxTailBytes   = 8 << 20
	maxTailRecords = 8192
)

// tail holds the newest records without gaps. It is not safe for concurrent
// use.
type tail struct {
	records []platform.Record
	bytes   int
	// end is the offset of the last record. If the tail is empty, it is the
	// offset of the state that the tail continues.
	end uint64
}

// reset empties the tail; the next record is the one after end.
func (t *tail) reset(end uint64) {
	t.records = nil
	t.bytes = 0
	t.end = end
}

// add appends the next record and drops the oldest ones that exceed the limits.
func (t *tail) add(record platform.Record) {
	t.records = append(t.records, record)
	t.bytes += len(record.Payload)
	t.end = record.Offset
	for len(t.records) > maxTailRecords || (t.bytes > maxTailBytes && len(t.records) > 1) {
		t.bytes -= len(t.records[0].Payload)
		t.records[0].Payload = nil
		t.records = t.records[1:]
	}
}

// covers reports whether the tail holds every record after an offset.
func (t *tail) covers(offset uint64) bool {
	return offset >= t.end-uint64(len(t.records))
}

// recordsAfter returns the records after an offset that the tail covers,
// limited to a number of bytes but at least one record.
func (t *tail) recordsAfter(offset uint64, maxBytes int) []platform.Record {
	if offset >= t.end {
		return nil
	}
	first := t.end - uint64(len(t.records))
	var batch []platform.Record
	size := 0
	for _, record := range t.records[offset-first:] {
		size += len(record.Payload)
		if len(batch) > 0 && size > maxBytes {
			break
		}
		batch = append(batch, record)
	}
	return batch
}
