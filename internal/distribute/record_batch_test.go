package distribute

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

func TestRecordsAreTheSameAfterEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []platform.Record
		for i := range rapid.IntRange(0, 5).Draw(t, "records") {
			payload := strings.Repeat(rapid.StringN(1, 20, 40).Draw(t, "text"), rapid.IntRange(1, 300).Draw(t, "repeats"))
			records = append(records, platform.Record{Offset: uint64(i + 7), Appended: time.UnixMilli(int64(i)), Payload: []byte(payload)})
		}
		accepted := rapid.Bool().Draw(t, "accepted")
		var encoder recordEncoder
		encoded, err := encoder.encode(records, accepted)
		assert.NilError(t, err)
		assert.Assert(t, accepted || len(encoded.compressed) == 0, "compressed for a receiver that does not accept it")
		decoded, err := recordsFromWire(encoded.plain, encoded.compressed)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(records))
		for i := range records {
			assert.Equal(t, decoded[i].Offset, records[i].Offset)
			assert.Assert(t, decoded[i].Appended.Equal(records[i].Appended))
			assert.Equal(t, string(decoded[i].Payload), string(records[i].Payload))
		}
	})
}

func TestFollowersShareOneCompression(t *testing.T) {
	records := []platform.Record{{Offset: 1, Payload: []byte(longRecord(100))}}
	var encoder recordEncoder
	first, err := encoder.encode(records, true)
	assert.NilError(t, err)
	assert.Assert(t, len(first.compressed) > 0)
	second, err := encoder.encode(records, true)
	assert.NilError(t, err)
	assert.Assert(t, &first.compressed[0] == &second.compressed[0])
	next, err := encoder.encode([]platform.Record{{Offset: 2, Payload: []byte(longRecord(101))}}, true)
	assert.NilError(t, err)
	decoded, err := recordsFromWire(next.plain, next.compressed)
	assert.NilError(t, err)
	assert.Equal(t, decoded[0].Offset, uint64(2))
}

func TestDamagedCompressedRecordsAreAnError(t *testing.T) {
	var encoder recordEncoder
	encoded, err := encoder.encode([]platform.Record{{Offset: 1, Payload: []byte(longRecord(100))}}, true)
	assert.NilError(t, err)
	encoded.compressed[len(encoded.compressed)/2] ^= 0xff
	_, err = recordsFromWire(nil, encoded.compressed)
	assert.ErrorContains(t, err, "decompress records")
	_, err = recordsFromWire(nil, []byte("no frame"))
	assert.ErrorContains(t, err, "decompress records")
}

// BenchmarkLongRecord encodes and decodes a record as long as a configuration of 1,600
// routes.
func BenchmarkLongRecord(b *testing.B) {
	records := []platform.Record{{Offset: 1, Payload: []byte(longRecord(1600))}}
	compressed := 0
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := compressRecords(records)
		assert.NilError(b, err)
		_, err = recordsFromWire(encoded.plain, encoded.compressed)
		assert.NilError(b, err)
		compressed = len(encoded.compressed)
	}
	b.ReportMetric(float64(len(records[0].Payload)), "bytes")
	b.ReportMetric(float64(compressed), "bytes-compressed")
}
