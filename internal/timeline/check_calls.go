package timeline

import (
	"fmt"
	"maps"
	"slices"
)

// Outcomes that events of calls carry.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// calls returns the ids of all calls in order.
func (t *trace) calls() []string { return slices.Sorted(maps.Keys(t.byCall)) }

// checkAnswersMatch holds each call to one answer on the daemon that took it,
// from the peer to which that attempt was sent.
func (t *trace) checkAnswersMatch() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		began := map[process]*Event{}
		answered := map[process]*Event{}
		for _, event := range t.byCall[call] {
			at := process{event.Host, event.Incarnation}
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
		return []Violation{violation(AnswersMatch, reason, earlier, answer)}
	}
	if began == nil {
		if !t.life(answer).whole() || t.ranOn(answer) {
			return nil
		}
		reason := fmt.Sprintf("call %s was answered on %s but did not begin there", answer.Call, answer.Host)
		return []Violation{violation(AnswersMatch, reason, answer)}
	}
	if differs(began.Key, answer.Key) || differs(began.Service, answer.Service) {
		reason := fmt.Sprintf("call %s got the answer of another request", answer.Call)
		return []Violation{violation(AnswersMatch, reason, began, answer)}
	}
	if sent := t.attempt(answer, Sent); sent != nil && differs(sent.Peer, answer.Peer) {
		reason := fmt.Sprintf("call %s was sent to %s but answered by %s", answer.Call, sent.Peer, answer.Peer)
		return []Violation{violation(AnswersMatch, reason, sent, answer)}
	}
	return nil
}

// ranOn reports whether the process of an answer is the one that ran the call
// for another daemon.
func (t *trace) ranOn(answer *Event) bool {
	for _, event := range t.byCall[answer.Call] {
		if event.Kind == Ran && event.Host == answer.Host && event.Incarnation == answer.Incarnation {
			return true
		}
	}
	return false
}

func differs(a, b string) bool { return a != "" && b != "" && a != b }

// attempt returns the event of a kind for the attempt of another event on the
// same process, nil when there is none.
func (t *trace) attempt(of *Event, kind Kind) *Event {
	if of.Attempt == 0 {
		return nil
	}
	for _, event := range t.byCall[of.Call] {
		if event.Kind == kind && event.Attempt == of.Attempt &&
			event.Host == of.Host && event.Incarnation == of.Incarnation {
			return event
		}
	}
	return nil
}

// checkRefusalsTrue finds runs of attempts that were reported as not run. A
// failure without an attempt stands for all attempts of its call.
func (t *trace) checkRefusalsTrue() []Violation {
	var violations []Violation
	for _, call := range t.calls() {
		events := t.byCall[call]
		for _, failed := range events {
			if failed.Kind != Failed || failed.Outcome != outcomeNotRun {
				continue
			}
			if ran := runOf(events, failed.Attempt); ran != nil {
				reason := fmt.Sprintf("call %s was reported as not run but ran on %s", call, ran.Host)
				violations = append(violations, violation(RefusedNotExecuted, reason, failed, ran))
			}
		}
	}
	return violations
}

func runOf(events []*Event, attempt int) *Event {
	for _, event := range events {
		if event.Kind == Ran && (attempt == 0 || event.Attempt == attempt) {
			return event
		}
	}
	return nil
}

// checkKeysOnce finds keys that one service ran more than once.
func (t *trace) checkKeysOnce() []Violation {
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
			violations = append(violations, violation(KeysAtMostOnce, reason, before, event))
			continue
		}
		first[key] = event
	}
	return violations
}
