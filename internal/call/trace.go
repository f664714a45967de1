package call

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// sampleScale is the resolution of the sample ratio.
const sampleScale = 1_000_000

func sampleThresholdOf(ratio float64) uint64 {
	return uint64(min(max(ratio, 0), 1) * sampleScale)
}

// sampled reports whether the events of a call are recorded. All daemons with the
// same ratio choose the same calls.
func (s *Server) sampled(id string) bool {
	return xxhash.Sum64String(id)%sampleScale < s.sampleThreshold
}

// trace records the events of one call. The events of a call that is not sampled
// are buffered until the call fails or is retried.
type trace struct {
	server  *Server
	record  bool
	call    string
	key     string
	service string
	pending []timeline.Event
}

func (s *Server) newTrace(id, key, service string) *trace {
	return &trace{
		server:  s,
		record:  key != "" || s.sampled(id),
		call:    id,
		key:     key,
		service: service,
	}
}

func (t *trace) add(event timeline.Event) {
	event.Call = t.call
	event.Key = t.key
	event.Service = t.service
	if t.record {
		t.server.events.Record(event)
		return
	}
	if t.server.clock != nil {
		event.Time = t.server.clock.Now()
	}
	t.pending = append(t.pending, event)
}

// recordPending records the buffered events, and makes later ones be recorded at
// once.
func (t *trace) recordPending() {
	if t.record {
		return
	}
	t.record = true
	for _, event := range t.pending {
		t.server.events.Record(event)
	}
	t.pending = nil
}

func (t *trace) callBegan(version uint64, detail string) {
	t.add(timeline.Event{Kind: timeline.CallBegan, Version: version, Detail: detail})
}

func (t *trace) sent(attempt int, host string) {
	if attempt > 1 {
		t.recordPending()
	}
	t.add(timeline.Event{Kind: timeline.Sent, Attempt: attempt, Peer: host})
}

func (t *trace) answered(result *targetResponse) {
	t.add(timeline.Event{
		Kind:    timeline.Answered,
		Attempt: result.attempt,
		Peer:    result.host,
		Status:  result.status,
		Outcome: "answered",
	})
}

func (t *trace) failed(failure *Error) {
	t.recordPending()
	t.server.logCallFailed(t.call, t.service, failure)
	t.add(timeline.Event{
		Kind:    timeline.Failed,
		Peer:    failure.Peer,
		Outcome: string(failure.Outcome),
		Status:  failure.Status,
		Detail:  failure.Step + ": " + failure.Err.Error(),
	})
}
