package timeline

import (
	"fmt"
	"time"
)

// checkDrainingSpared finds work sent to a target, or run by it, later than the
// bound after it began to leave and before it announced itself again. A sender
// that had lost contact with the host is excused, since nothing it sends arrives.
func (t *trace) checkDrainingSpared(bound time.Duration) []Violation {
	var violations []Violation
	leaving := map[string]*Event{}
	for i := range t.events {
		event := &t.events[i]
		switch event.Kind {
		case Draining, Withdrawn, Stopping:
			if leaving[event.Host] == nil {
				leaving[event.Host] = event
			}
		case Announced:
			delete(leaving, event.Host)
		case Sent:
			if t.lost(event.Host, event.Peer, event.Time.Millis) {
				continue
			}
			violations = append(violations, checkSpared(leaving[event.Peer], event, bound)...)
		case Ran:
			violations = append(violations, checkSpared(leaving[event.Host], event, bound)...)
		}
	}
	return violations
}

// checkSpared holds one event of work against the event since which its target
// is leaving, nil for none.
func checkSpared(since, work *Event, bound time.Duration) []Violation {
	if since == nil {
		return nil
	}
	late := work.Time.Millis - since.Time.Millis
	if late <= bound.Milliseconds() {
		return nil
	}
	reason := fmt.Sprintf("%s got work %d ms after it began to leave", since.Host, late)
	return []Violation{violation(DrainRespected, reason, since, work)}
}

// checkStopsGraceful finds calls that were in progress on a process when its
// planned stop ended, and calls whose connection the stop cut.
func (t *trace) checkStopsGraceful() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		events := t.byCall[call]
		for _, event := range events {
			switch event.Kind {
			case Ran, CallBegan:
				violations = append(violations, t.checkEnded(events, event)...)
			case Failed:
				violations = append(violations, t.checkCut(event)...)
			}
		}
	}
	return violations
}

// checkEnded holds a call that began or ran on a process to an end before the
// process stopped.
func (t *trace) checkEnded(events []*Event, begin *Event) []Violation {
	l := t.life(begin)
	if l.stopped == nil || l.partial || t.ended(events, begin, l) {
		return nil
	}
	reason := fmt.Sprintf("call %s was in progress on %s when it stopped", begin.Call, begin.Host)
	return []Violation{violation(StopsGraceful, reason, begin, l.stopped)}
}

// statusConnectionLost is the HTTP status of a call whose connection broke.
const statusConnectionLost = 502

// cutMargin is how long after the end of a stop a cut call may be noticed, in
// milliseconds.
const cutMargin = 1000

// checkCut finds a call that failed because its connection to a host broke
// while that host stopped.
func (t *trace) checkCut(failed *Event) []Violation {
	if failed.Outcome != outcomeUnknown || failed.Status != statusConnectionLost {
		return nil
	}
	for _, l := range t.byHost[failed.Peer] {
		if l.stopping == nil || l.stopped == nil {
			continue
		}
		at := failed.Time.Millis
		if at >= l.stopping.Time.Millis && at <= l.stopped.Time.Millis+cutMargin {
			reason := fmt.Sprintf("call %s was cut by the stop of %s", failed.Call, failed.Peer)
			return []Violation{violation(StopsGraceful, reason, l.stopping, failed, l.stopped)}
		}
	}
	return nil
}

// ended reports whether a call that began or ran on a process has an end. A
// call ends where it began. A run also ends with its call, and has no end in
// the trace when the process that sent it is not there, or not to its end.
func (t *trace) ended(events []*Event, begin *Event, l *life) bool {
	sender := (*life)(nil)
	for _, event := range events {
		switch event.Kind {
		case CallBegan:
			sender = t.life(event)
		case Answered, Failed:
			if begin.Kind == Ran || t.life(event) == l {
				return true
			}
		}
	}
	if begin.Kind == CallBegan {
		return false
	}
	return sender == nil || sender.partial || sender.last.Time.Millis <= l.stopped.Time.Millis+cutMargin
}
