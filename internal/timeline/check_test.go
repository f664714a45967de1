package timeline

import (
	"testing"

	"gotest.tools/v3/assert"
)

// script builds events with times in milliseconds.
type script struct{ events []Event }

func (s *script) at(millis int64, host string, event Event) {
	event.Time = Timestamp{Millis: millis}
	event.Host = host
	if event.Incarnation == 0 {
		event.Incarnation = 1
	}
	s.events = append(s.events, event)
}

// clean returns a trace of two hosts that keeps every promise.
func clean() *script {
	s := &script{}
	for _, host := range []string{"a", "b"} {
		s.at(0, host, Event{Kind: Started})
		s.at(1, host, Event{Kind: InForce, Offset: 1, Digest: "d1"})
		s.at(2, host, Event{Kind: Announced, Service: "w/s"})
		s.at(100, host, Event{Kind: VerdictReached, Offset: 2, Version: 2, Outcome: "accepted"})
		s.at(101, host, Event{Kind: InForce, Offset: 2, Version: 2, Routes: 3, Digest: "d2"})
		s.at(102, host, Event{Kind: VerdictReached, Offset: 3, Outcome: "refused"})
		s.at(103, host, Event{Kind: InForce, Offset: 3, Version: 2, Routes: 3, Digest: "d3"})
	}
	s.at(200, "a", Event{Kind: CallBegan, Call: "c1", Key: "k1", Service: "w/s"})
	s.at(201, "a", Event{Kind: Sent, Call: "c1", Attempt: 1, Peer: "b", Key: "k1", Service: "w/s"})
	s.at(202, "b", Event{Kind: Failed, Call: "c1", Attempt: 1, Outcome: "not-run"})
	s.at(203, "a", Event{Kind: Sent, Call: "c1", Attempt: 2, Peer: "b", Key: "k1", Service: "w/s"})
	s.at(204, "b", Event{Kind: Ran, Call: "c1", Attempt: 2, Key: "k1", Service: "w/s"})
	s.at(205, "b", Event{Kind: Answered, Call: "c1", Attempt: 2})
	s.at(206, "a", Event{Kind: Answered, Call: "c1", Attempt: 2, Peer: "b", Key: "k1"})
	s.at(300, "b", Event{Kind: Draining})
	s.at(4000, "a", Event{Kind: Sent, Call: "c2", Attempt: 1, Peer: "b"})
	s.at(30000, "b", Event{Kind: Stopping})
	s.at(30001, "b", Event{Kind: Stopped})
	s.at(30010, "b", Event{Kind: Started, Incarnation: 2})
	s.at(30020, "b", Event{Kind: InForce, Incarnation: 2, Offset: 3, Version: 2, Routes: 3, Digest: "d3"})
	s.at(30030, "b", Event{Kind: Announced, Incarnation: 2, Service: "w/s"})
	s.at(30040, "a", Event{Kind: Sent, Call: "c3", Attempt: 1, Peer: "b"})
	return s
}

func TestCheckPassesACleanTrace(t *testing.T) {
	assert.DeepEqual(t, Check(Merge([][]Event{clean().events})), []Violation(nil))
}

func TestCheckFindsEachPlantedViolation(t *testing.T) {
	cases := []struct {
		name    string
		promise Invariant
		plant   func(*script)
	}{
		{"offset falls", VersionsMonotonic, func(s *script) {
			s.at(110, "a", Event{Kind: InForce, Offset: 2, Version: 2, Routes: 3, Digest: "d2"})
		}},
		{"offset falls over a restart", VersionsMonotonic, func(s *script) {
			s.at(30015, "b", Event{Kind: InForce, Incarnation: 2, Offset: 1, Digest: "d1"})
		}},
		{"route without service", RoutesResolve, func(s *script) {
			s.at(400, "a", Event{Kind: InForce, Offset: 4, Version: 2, Routes: 3, Dangling: 1, Digest: "d4"})
		}},
		{"digests differ", VersionsConsistent, func(s *script) {
			s.at(400, "a", Event{Kind: InForce, Offset: 3, Version: 2, Routes: 3, Digest: "other"})
		}},
		{"version without verdict", VersionsConsistent, func(s *script) {
			s.at(400, "a", Event{Kind: InForce, Offset: 4, Version: 4, Digest: "d4"})
		}},
		{"refused version in force", VersionsConsistent, func(s *script) {
			s.at(400, "a", Event{Kind: InForce, Offset: 4, Version: 3, Digest: "d4"})
		}},
		{"verdicts differ", VersionsConsistent, func(s *script) {
			s.at(104, "b", Event{Kind: VerdictReached, Offset: 3, Outcome: "conflict"})
		}},
		{"answered twice", AnswersMatch, func(s *script) {
			s.at(207, "a", Event{Kind: Answered, Call: "c1", Attempt: 2, Peer: "b"})
		}},
		{"answer of another request", AnswersMatch, func(s *script) {
			s.at(400, "a", Event{Kind: CallBegan, Call: "c9", Key: "k9"})
			s.at(401, "a", Event{Kind: Answered, Call: "c9", Key: "k1"})
		}},
		{"answer of another peer", AnswersMatch, func(s *script) {
			s.at(400, "a", Event{Kind: CallBegan, Call: "c9"})
			s.at(401, "a", Event{Kind: Sent, Call: "c9", Attempt: 1, Peer: "b"})
			s.at(402, "a", Event{Kind: Answered, Call: "c9", Attempt: 1, Peer: "z"})
		}},
		{"answer without a call", AnswersMatch, func(s *script) {
			s.at(400, "a", Event{Kind: Answered, Call: "c9"})
		}},
		{"refused attempt ran", RefusedNotExecuted, func(s *script) {
			s.at(400, "a", Event{Kind: Failed, Call: "c1", Attempt: 2, Outcome: "not-run"})
		}},
		{"refused call ran", RefusedNotExecuted, func(s *script) {
			s.at(400, "a", Event{Kind: Failed, Call: "c1", Outcome: "not-run"})
		}},
		{"key ran twice", KeysAtMostOnce, func(s *script) {
			s.at(400, "a", Event{Kind: Ran, Call: "c8", Attempt: 1, Key: "k1", Service: "w/s"})
		}},
		{"sent while draining", DrainRespected, func(s *script) {
			s.at(5301, "a", Event{Kind: Sent, Call: "c8", Attempt: 1, Peer: "b"})
		}},
		{"ran while draining", DrainRespected, func(s *script) {
			s.at(5301, "b", Event{Kind: Ran, Call: "c8", Attempt: 1})
		}},
		{"sent while stopping", DrainRespected, func(s *script) {
			s.at(40000, "a", Event{Kind: Stopping})
			s.at(45001, "b", Event{Kind: Sent, Call: "c8", Attempt: 1, Peer: "a", Incarnation: 2})
		}},
		{"run cut by a stop", StopsGraceful, func(s *script) {
			s.at(298, "a", Event{Kind: CallBegan, Call: "c8"})
			s.at(299, "b", Event{Kind: Ran, Call: "c8", Attempt: 1})
			s.at(31002, "a", Event{Kind: UpstreamChosen})
		}},
		{"connection cut by a stop", StopsGraceful, func(s *script) {
			s.at(299, "a", Event{Kind: CallBegan, Call: "c8"})
			s.at(30002, "a", Event{Kind: Failed, Call: "c8", Outcome: "unknown", Status: 502, Peer: "b"})
		}},
		{"call cut by a stop", StopsGraceful, func(s *script) {
			s.at(29999, "b", Event{Kind: CallBegan, Call: "c8"})
		}},
		{"version late on a host", VersionsPropagated, func(s *script) {
			s.at(400, "a", Event{Kind: VerdictReached, Offset: 4, Version: 4, Outcome: "accepted"})
			s.at(10401, "a", Event{Kind: InForce, Offset: 4, Version: 4, Digest: "d4"})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := clean()
			c.plant(s)
			violations := Check(Merge([][]Event{s.events}))
			assert.Assert(t, len(violations) > 0)
			for _, v := range violations {
				assert.Equal(t, v.Invariant, c.promise, "%v", v)
				assert.Assert(t, len(v.Events) > 0)
			}
		})
	}
}

// late returns a trace in which host b lacks an accepted version for long.
func late() *script {
	s := clean()
	s.at(400, "a", Event{Kind: VerdictReached, Offset: 4, Version: 4, Outcome: "accepted"})
	s.at(401, "a", Event{Kind: InForce, Offset: 4, Version: 4, Digest: "d4"})
	s.at(29000, "b", Event{Kind: UpstreamChosen})
	return s
}

func TestSpreadHoldsAHostThatRestartsLater(t *testing.T) {
	violations := Check(Merge([][]Event{late().events}))
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Invariant, VersionsPropagated)
}

func TestSpreadSparesAHostThatOthersLost(t *testing.T) {
	s := late()
	s.at(390, "a", Event{Kind: Unreachable, Peer: "b"})
	assert.DeepEqual(t, Check(Merge([][]Event{s.events})), []Violation(nil))
}

func TestSpreadSparesAHostOfALostZone(t *testing.T) {
	s := late()
	for i := range s.events {
		s.events[i].Zone = "zone-" + s.events[i].Host
	}
	s.at(390, "a", Event{Kind: Unreachable, Detail: "zone-b"})
	assert.DeepEqual(t, Check(Merge([][]Event{s.events})), []Violation(nil))
	s.at(395, "a", Event{Kind: Recovered, Detail: "zone-b"})
	assert.Equal(t, len(Check(Merge([][]Event{s.events}))), 1)
}

func TestSendersWithoutContactAreExcused(t *testing.T) {
	s := clean()
	s.at(290, "a", Event{Kind: Suspected, Peer: "b"})
	s.at(9000, "a", Event{Kind: Sent, Call: "c8", Attempt: 1, Peer: "b"})
	s.at(9500, "a", Event{Kind: Recovered, Peer: "b"})
	assert.DeepEqual(t, Check(Merge([][]Event{s.events})), []Violation(nil))
}

func TestVerdictsBeforeTheTraceAreNotMissed(t *testing.T) {
	s := &script{}
	s.at(0, "a", Event{Kind: Started})
	s.at(1, "a", Event{Kind: InForce, Offset: 9, Version: 8, Digest: "d9"})
	assert.DeepEqual(t, Check(s.events), []Violation(nil))
}

func TestDroppedEventsAreNotHeldAgainstAProcess(t *testing.T) {
	s := clean()
	s.at(0, "b", Event{Kind: EventsDropped, Detail: "7"})
	s.at(29999, "b", Event{Kind: CallBegan, Call: "c9"})
	assert.DeepEqual(t, Check(Merge([][]Event{s.events})), []Violation(nil))
}

func TestSpreadIsNotJudgedBeforeItsBound(t *testing.T) {
	s := &script{}
	for _, host := range []string{"a", "b"} {
		s.at(0, host, Event{Kind: Started})
		s.at(1, host, Event{Kind: InForce, Digest: "d0"})
	}
	s.at(10, "a", Event{Kind: VerdictReached, Offset: 1, Version: 1, Outcome: "accepted"})
	s.at(11, "a", Event{Kind: InForce, Offset: 1, Version: 1, Digest: "d1"})
	s.at(10_009, "b", Event{Kind: UpstreamChosen})
	assert.DeepEqual(t, Check(s.events), []Violation(nil))
	s.at(10_010, "b", Event{Kind: UpstreamChosen})
	assert.Equal(t, len(Check(s.events)), 1)
}
