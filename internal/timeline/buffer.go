package timeline

import (
	"strconv"
	"sync"
)

// Buffer is a ring buffer of the newest events of one process.
type Buffer struct {
	clock       *Clock
	host        string
	zone        string
	incarnation uint64

	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the buffer is full; the next
	// event replaces it.
	next     int
	capacity int
	dropped  uint64
	// lastDropped is the latest time of a dropped event.
	lastDropped Timestamp
}

// NewBuffer returns a buffer that keeps up to capacity events of one process, at
// least one, with times from clock.
func NewBuffer(clock *Clock, host, zone string, incarnation uint64, capacity int) *Buffer {
	return &Buffer{clock: clock, host: host, zone: zone, incarnation: incarnation, capacity: max(1, capacity)}
}

// Clock returns the clock of the events.
func (b *Buffer) Clock() *Clock { return b.clock }

// Record implements Recorder. An event whose recording was delayed keeps its
// time, an earlier reading of the same clock. A full buffer drops the event that
// was recorded first.
func (b *Buffer) Record(event Event) {
	event.Host = b.host
	event.Zone = b.zone
	event.Incarnation = b.incarnation
	b.mu.Lock()
	defer b.mu.Unlock()
	if event.Time == (Timestamp{}) {
		event.Time = b.clock.Now()
	}
	if len(b.events) < b.capacity {
		b.events = append(b.events, event)
		return
	}
	if dropped := b.events[b.next].Time; b.lastDropped.Before(dropped) {
		b.lastDropped = dropped
	}
	b.dropped++
	b.events[b.next] = event
	b.next = (b.next + 1) % b.capacity
}

// Dropped returns the number of events dropped so far.
func (b *Buffer) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Events returns all buffered events in the manner of EventsSince.
func (b *Buffer) Events() []Event { return b.EventsSince(Timestamp{}) }

// EventsSince returns the buffered events after a time in the order of recording.
// When events after that time were dropped, the first event returned is an
// EventsDropped whose Detail is the total number of dropped events.
func (b *Buffer) EventsSince(since Timestamp) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []Event
	if since.Before(b.lastDropped) {
		events = append(events, b.dropReport())
	}
	for i := range b.events {
		event := b.events[(b.next+i)%len(b.events)]
		if since.Before(event.Time) {
			events = append(events, event)
		}
	}
	return events
}

// dropReport returns the EventsDropped event.
func (b *Buffer) dropReport() Event {
	return Event{
		Time:        b.lastDropped,
		Host:        b.host,
		Zone:        b.zone,
		Incarnation: b.incarnation,
		Kind:        EventsDropped,
		Detail:      strconv.FormatUint(b.dropped, 10),
	}
}
