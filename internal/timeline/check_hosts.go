package timeline

import (
	"fmt"
	"time"
)

// checkDrainingSpared finds work sent to a target later than the bound after
// it began to drain and before it announced itself again.
func (t *trace) checkDrainingSpared(bound time.Duration) []Violation {
	var violations []Violation
	draining := map[string]*Event{}
	for i := range t.events {
		event := &t.events[i]
		switch event.Kind {
		case Draining:
			if draining[event.Host] == nil {
				draining[event.Host] = event
			}
		case Announced:
			delete(draining, event.Host)
		case Sent:
			since := draining[event.Peer]
			if since == nil || event.Time.Millis-since.Time.Millis <= bound.Milliseconds() {
				continue
			}
			reason := fmt.Sprintf("%s sent work to %s, which was draining for %d ms",
				event.Host, event.Peer, event.Time.Millis-since.Time.Millis)
			violations = append(violations, violation(DrainingSpared, reason, since, event))
		}
	}
	return violations
}

// checkStopsGraceful finds calls that were in progress on a process when its
// planned stop ended.
func (t *trace) checkStopsGraceful() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		events := t.byCall[call]
		for _, event := range events {
			if event.Kind != Ran && event.Kind != CallBegan {
				continue
			}
			l := t.life(event)
			if l.stopped == nil || l.partial || t.ended(events, event, l) {
				continue
			}
			reason := fmt.Sprintf("call %s was in progress on %s when it stopped", call, event.Host)
			violations = append(violations, violation(StopsGraceful, reason, event, l.stopped))
		}
	}
	return violations
}

// ended reports whether a call that began or ran on a process has an end. A
// run may end on the daemon that sent it; a call ends where it began.
func (t *trace) ended(events []*Event, begin *Event, l *life) bool {
	for _, event := range events {
		if event.Kind != Answered && event.Kind != Failed {
			continue
		}
		if event.Host == begin.Host && event.Incarnation == begin.Incarnation {
			return true
		}
		if begin.Kind == Ran && (event.Attempt == 0 || event.Attempt == begin.Attempt) {
			return true
		}
	}
	// The daemon that sent the run may lie outside the trace.
	return begin.Kind == Ran && t.partial
}
