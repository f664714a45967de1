package logservice

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// stream holds the retained records of one stream.
type stream struct {
	records []platform.Record
	// next is the offset of the next append.
	next uint64
	// appended is closed at the next append.
	appended chan struct{}
}

func newStream() *stream {
	return &stream{next: 1, appended: make(chan struct{})}
}

func (s *stream) append(payload []byte, now time.Time) uint64 {
	offset := s.next
	s.next++
	s.records = append(s.records, platform.Record{
		Offset:   offset,
		Appended: time.UnixMilli(now.UnixMilli()),
		Payload:  append([]byte(nil), payload...),
	})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// expire drops the oldest records: those in excess of count and those appended before
// a time. A count of 0 or a zero time means no bound.
func (s *stream) expire(count int, before time.Time) {
	drop := 0
	if count > 0 {
		drop = max(0, len(s.records)-count)
	}
	for drop < len(s.records) && s.records[drop].Appended.Before(before) {
		drop++
	}
	s.records = s.records[drop:]
}

func (s *stream) oldest() uint64 { return s.next - uint64(len(s.records)) }

// from returns records from an offset onwards, if there are any. maxBytes bounds the
// total size of their payloads, but at least one record is returned.
func (s *stream) from(offset uint64, maxBytes int) []platform.Record {
	if offset >= s.next {
		return nil
	}
	rest := s.records[offset-s.oldest():]
	size := 0
	for i, record := range rest {
		size += len(record.Payload)
		if i > 0 && size > maxBytes {
			return append([]platform.Record(nil), rest[:i]...)
		}
	}
	return append([]platform.Record(nil), rest...)
}
