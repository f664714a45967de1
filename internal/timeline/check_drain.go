package timeline

import (
	"fmt"
	"time"
)

// checkDrainRespected finds calls sent to a target, or run by it, later than the
// bound after it began to drain, was withdrawn or began to stop, and before it was
// announced again. Calls from a sender that had lost contact with the host are
// ignored, since they do not arrive.
func (t *trace) checkDrainRespected(bound time.Duration) []Violation {
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
			if t.contactLost(event.Host, event.Peer, event.Time.Millis) {
				continue
			}
			violations = append(violations, checkWorkAfterDrain(leaving[event.Peer], event, bound)...)
		case Ran:
			violations = append(violations, checkWorkAfterDrain(leaving[event.Host], event, bound)...)
		}
	}
	return violations
}

// checkWorkAfterDrain checks a Sent or Ran event against the event with which its
// target began to leave, nil when it is not leaving.
func checkWorkAfterDrain(since, work *Event, bound time.Duration) []Violation {
	if since == nil {
		return nil
	}
	late := work.Time.Millis - since.Time.Millis
	if late <= bound.Milliseconds() {
		return nil
	}
	reason := fmt.Sprintf("%s got work %d ms after it began to leave", since.Host, late)
	return []Violation{newViolation(DrainRespected, reason, since, work)}
}

// checkStopsGraceful finds calls that were still in progress on a process at the
// end of its planned stop, and calls whose connection the stop broke.
func (t *trace) checkStopsGraceful() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		events := t.eventsByCall[call]
		for _, event := range events {
			switch event.Kind {
			case Ran, CallBegan:
				violations = append(violations, t.checkCompleted(events, event)...)
			case Failed:
				violations = append(violations, t.checkAborted(event)...)
			}
		}
	}
	return violations
}

// checkCompleted checks that a call that began or ran on a process was completed
// before the process stopped.
func (t *trace) checkCompleted(events []*Event, begin *Event) []Violation {
	p := t.processOf(begin)
	if p.stopped == nil || p.incomplete || t.completed(events, begin, p) {
		return nil
	}
	reason := fmt.Sprintf("call %s was in progress on %s when it stopped", begin.Call, begin.Host)
	return []Violation{newViolation(StopsGraceful, reason, begin, p.stopped)}
}

// statusBadGateway is the HTTP status of a call whose connection was lost.
const statusBadGateway = 502

// abortMarginMs is how long after the end of a stop the caller may detect a
// connection that the stop broke.
const abortMarginMs = 1000

// checkAborted finds a call that failed because its connection to a host was lost
// while that host stopped, or because the stop of the host that took it ended it.
func (t *trace) checkAborted(failed *Event) []Violation {
	if failed.Outcome != outcomeUnknown || failed.Status != statusBadGateway {
		return nil
	}
	for _, host := range []string{failed.Peer, failed.Host} {
		if violations := t.checkAbortedBy(host, failed); violations != nil {
			return violations
		}
	}
	return nil
}

// checkAbortedBy finds a call that failed while a host stopped.
func (t *trace) checkAbortedBy(host string, failed *Event) []Violation {
	for _, p := range t.processesByHost[host] {
		if p.stopping == nil || p.stopped == nil {
			continue
		}
		at := failed.Time.Millis
		if at >= p.stopping.Time.Millis && at <= p.stopped.Time.Millis+abortMarginMs {
			reason := fmt.Sprintf("call %s was cut by the stop of %s", failed.Call, host)
			return []Violation{newViolation(StopsGraceful, reason, p.stopping, failed, p.stopped)}
		}
	}
	return nil
}

// completed reports whether a call that began or ran on a process was answered or
// failed. For CallBegan, that event must come from the same process. For Ran, it
// may come from any process. A run also counts as completed when the process that
// sent the call is not in the trace, is incomplete or has no events later than
// abortMarginMs after the stop: the trace may then lack the end of the call.
func (t *trace) completed(events []*Event, begin *Event, p *process) bool {
	sender := (*process)(nil)
	for _, event := range events {
		switch event.Kind {
		case CallBegan:
			sender = t.processOf(event)
		case Answered, Failed:
			if begin.Kind == Ran || t.processOf(event) == p {
				return true
			}
		}
	}
	if begin.Kind == CallBegan {
		return false
	}
	return sender == nil || sender.incomplete || sender.last.Time.Millis <= p.stopped.Time.Millis+abortMarginMs
}
