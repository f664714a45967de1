package timeline

import (
	"fmt"
	"maps"
	"slices"
)

// Outcomes of events of calls.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// calls returns the IDs of all calls, sorted.
func (t *trace) calls() []string { return slices.Sorted(maps.Keys(t.eventsByCall)) }

// checkAnswersMatch checks that a call has at most one answer on the daemon where
// it began, from the peer that the attempt was sent to.
func (t *trace) checkAnswersMatch() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		began := map[processKey]*Event{}
		answered := map[processKey]*Event{}
		for _, event := range t.eventsByCall[call] {
			at := processKey{event.Host, event.Incarnation}
			switch event.Kind {
			case CallBegan:
				began[at] = event
			case Answered:
				violations = append(violations, t.checkAnswer(began[at], answered[at], event)...)
				answered[at] = event
			}
		}
	}
	return violations
}

func (t *trace) checkAnswer(began, earlier, answer *Event) []Violation {
	if earlier != nil {
		reason := fmt.Sprintf("call %s was answered twice on %s", answer.Call, answer.Host)
		return []Violation{newViolation(AnswersMatch, reason, earlier, answer)}
	}
	if began == nil {
		if !t.processOf(answer).complete() || t.ranLocally(answer) {
			return nil
		}
		reason := fmt.Sprintf("call %s was answered on %s but did not begin there", answer.Call, answer.Host)
		return []Violation{newViolation(AnswersMatch, reason, answer)}
	}
	if differs(began.Key, answer.Key) || differs(began.Service, answer.Service) {
		reason := fmt.Sprintf("call %s got the answer of another request", answer.Call)
		return []Violation{newViolation(AnswersMatch, reason, began, answer)}
	}
	if sent := t.eventOfAttempt(answer, Sent); sent != nil && differs(sent.Peer, answer.Peer) {
		reason := fmt.Sprintf("call %s was sent to %s but answered by %s", answer.Call, sent.Peer, answer.Peer)
		return []Violation{newViolation(AnswersMatch, reason, sent, answer)}
	}
	return nil
}

// ranLocally reports whether the process of an answer also ran the call. It then
// answered to another daemon, where the call began.
func (t *trace) ranLocally(answer *Event) bool {
	for _, event := range t.eventsByCall[answer.Call] {
		if event.Kind == Ran && event.Host == answer.Host && event.Incarnation == answer.Incarnation {
			return true
		}
	}
	return false
}

// differs reports whether both values are known and unequal.
func differs(a, b string) bool { return a != "" && b != "" && a != b }

// eventOfAttempt returns the event of a kind that has the same call, attempt and
// process as another event, nil when there is none.
func (t *trace) eventOfAttempt(of *Event, kind Kind) *Event {
	if of.Attempt == 0 {
		return nil
	}
	for _, event := range t.eventsByCall[of.Call] {
		if event.Kind == kind && event.Attempt == of.Attempt &&
			event.Host == of.Host && event.Incarnation == of.Incarnation {
			return event
		}
	}
	return nil
}

// checkRefusedNotExecuted finds attempts that ran although they were reported as
// not run. A failure without an attempt number covers all attempts of its call.
func (t *trace) checkRefusedNotExecuted() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		events := t.eventsByCall[call]
		for _, failed := range events {
			if failed.Kind != Failed || failed.Outcome != outcomeNotRun {
				continue
			}
			if ran := runOfAttempt(events, failed.Attempt); ran != nil {
				reason := fmt.Sprintf("call %s was reported as not run but ran on %s", call, ran.Host)
				violations = append(violations, newViolation(RefusedNotExecuted, reason, failed, ran))
			}
		}
	}
	return violations
}

// runOfAttempt returns the Ran event of an attempt, of any attempt for 0, and nil
// when there is none.
func runOfAttempt(events []*Event, attempt int) *Event {
	for _, event := range events {
		if event.Kind == Ran && (attempt == 0 || event.Attempt == attempt) {
			return event
		}
	}
	return nil
}

// checkKeysAtMostOnce finds idempotency keys that a service ran more than once.
func (t *trace) checkKeysAtMostOnce() []Violation {
	type run struct{ service, key string }
	var violations []Violation
	first := map[run]*Event{}
	for i := range t.events {
		event := &t.events[i]
		if event.Kind != Ran || event.Key == "" {
			continue
		}
		key := run{event.Service, event.Key}
		if before := first[key]; before != nil {
			reason := fmt.Sprintf("key %s ran on %s and on %s", event.Key, before.Host, event.Host)
			violations = append(violations, newViolation(KeysAtMostOnce, reason, before, event))
			continue
		}
		first[key] = event
	}
	return violations
}
