package call

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// sampleScale is the resolution of a sample share.
const sampleScale = 1_000_000

func sampleLimit(share float64) uint64 {
	return uint64(min(max(share, 0), 1) * sampleScale)
}

// sampled reports whether the events of a call are recorded. All daemons with
// one share choose the same calls.
func (s *Server) sampled(id string) bool {
	return xxhash.Sum64String(id)%sampleScale < s.sample
}

// trace records the events of one call. Those of a call that is not sampled
// are held back until it turns out to matter.
type trace struct {
	server  *Server
	record  bool
	call    string
	key     string
	service string
	held    []timeline.Event
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
	t.held = append(t.held, event)
}

// keep records this call's events, those held back too.
func (t *trace) keep() {
	if t.record {
		return
	}
	t.record = true
	for _, event := range t.held {
		t.server.events.Record(event)
	}
	t.held = nil
}

func (t *trace) began(version uint64, detail string) {
	t.add(timeline.Event{Kind: timeline.CallBegan, Version: version, Detail: detail})
}

func (t *trace) sent(attempt int, host string) {
	if attempt > 1 {
		t.keep()
	}
	t.add(timeline.Event{Kind: timeline.Sent, Attempt: attempt, Peer: host})
}

func (t *trace) answered(result *answer) {
	t.add(timeline.Event{
		Kind:    timeline.Answered,
		Attempt: result.attempt,
		Peer:    result.host,
		Status:  result.status,
		Outcome: "answered",
	})
}

func (t *trace) failed(failure *Error) {
	t.keep()
	t.server.logFailed(t.call, t.service, failure)
	t.add(timeline.Event{
		Kind:    timeline.Failed,
		Peer:    failure.Peer,
		Outcome: string(failure.Outcome),
		Status:  failure.Status,
		Detail:  failure.Step + ": " + failure.Err.Error(),
	})
}
