package timeline

import (
	"strconv"
	"sync"
)

// Buffer keeps the newest events of one process in bounded memory.
type Buffer struct {
	clock       *Clock
	host        string
	zone        string
	incarnation uint64

	mu     sync.Mutex
	events []Event
	// next is where the next event goes once the buffer is full.
	next     int
	capacity int
	dropped  uint64
	// lastDropped is the time of the newest event that was dropped.
	lastDropped Timestamp
}

// NewBuffer returns an empty buffer that keeps up to capacity events of one
// process and stamps them by the clock.
func NewBuffer(clock *Clock, host, zone string, incarnation uint64, capacity int) *Buffer {
	return &Buffer{clock: clock, host: host, zone: zone, incarnation: incarnation, capacity: max(1, capacity)}
}

// Clock returns the clock that stamps the events.
func (b *Buffer) Clock() *Clock { return b.clock }

// Record stamps an event and keeps it. An event that was held back bears an
// earlier reading of the same clock and keeps it. A full buffer drops the event
// recorded first.
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

// Dropped returns how many events were dropped so far.
func (b *Buffer) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Events returns all events still kept, oldest first, as EventsSince does.
func (b *Buffer) Events() []Event { return b.EventsSince(Timestamp{}) }

// EventsSince returns the events after a time, oldest first. When events after that time were dropped, the first event returned is
// an EventsDropped with the total number of drops.
func (b *Buffer) EventsSince(since Timestamp) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []Event
	if since.Before(b.lastDropped) {
		events = append(events, b.drops())
	}
	for i := range b.events {
		event := b.events[(b.next+i)%len(b.events)]
		if since.Before(event.Time) {
			events = append(events, event)
		}
	}
	return events
}

func (b *Buffer) drops() Event {
	return Event{
		Time:        b.lastDropped,
		Host:        b.host,
		Zone:        b.zone,
		Incarnation: b.incarnation,
		Kind:        EventsDropped,
		Detail:      strconv.FormatUint(b.dropped, 10),
	}
}
