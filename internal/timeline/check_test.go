package timeline

import (
	"testing"

	"gotest.tools/v3/assert"
)

// traceBuilder builds traces with explicit times.
type traceBuilder struct{ events []Event }

// add appends an event of a host. Its incarnation is 1 unless the event sets it.
func (b *traceBuilder) add(millis int64, host string, event Event) {
	event.Time = Timestamp{Millis: millis}
	event.Host = host
	if event.Incarnation == 0 {
		event.Incarnation = 1
	}
	b.events = append(b.events, event)
}

// validTrace returns a trace of two hosts without violations.
func validTrace() *traceBuilder {
	b := &traceBuilder{}
	for _, host := range []string{"a", "b"} {
		b.add(0, host, Event{Kind: Started})
		b.add(1, host, Event{Kind: InForce, Offset: 1, Digest: "d1"})
		b.add(2, host, Event{Kind: Announced, Service: "w/s"})
		b.add(100, host, Event{Kind: VerdictReached, Offset: 2, Version: 2, Outcome: "accepted"})
		b.add(101, host, Event{Kind: InForce, Offset: 2, Version: 2, Routes: 3, Digest: "d2"})
		b.add(102, host, Event{Kind: VerdictReached, Offset: 3, Outcome: "refused"})
		b.add(103, host, Event{Kind: InForce, Offset: 3, Version: 2, Routes: 3, Digest: "d3"})
	}
	b.add(200, "a", Event{Kind: CallBegan, Call: "c1", Key: "k1", Service: "w/s"})
	b.add(201, "a", Event{Kind: Sent, Call: "c1", Attempt: 1, Peer: "b", Key: "k1", Service: "w/s"})
	b.add(202, "b", Event{Kind: Failed, Call: "c1", Attempt: 1, Outcome: "not-run"})
	b.add(203, "a", Event{Kind: Sent, Call: "c1", Attempt: 2, Peer: "b", Key: "k1", Service: "w/s"})
	b.add(204, "b", Event{Kind: Ran, Call: "c1", Attempt: 2, Key: "k1", Service: "w/s"})
	b.add(205, "b", Event{Kind: Answered, Call: "c1", Attempt: 2})
	b.add(206, "a", Event{Kind: Answered, Call: "c1", Attempt: 2, Peer: "b", Key: "k1"})
	b.add(300, "b", Event{Kind: Draining})
	b.add(4000, "a", Event{Kind: Sent, Call: "c2", Attempt: 1, Peer: "b"})
	b.add(30000, "b", Event{Kind: Stopping})
	b.add(30001, "b", Event{Kind: Stopped})
	b.add(30010, "b", Event{Kind: Started, Incarnation: 2})
	b.add(30020, "b", Event{Kind: InForce, Incarnation: 2, Offset: 3, Version: 2, Routes: 3, Digest: "d3"})
	b.add(30030, "b", Event{Kind: Announced, Incarnation: 2, Service: "w/s"})
	b.add(30040, "a", Event{Kind: Sent, Call: "c3", Attempt: 1, Peer: "b"})
	return b
}

func TestCheckAcceptsValidTrace(t *testing.T) {
	assert.DeepEqual(t, Check(Merge([][]Event{validTrace().events})), []Violation(nil))
}

// TestCheckFindsViolations guards against violations that Check misses or
// attributes to another invariant: each case adds events to a valid trace.
func TestCheckFindsViolations(t *testing.T) {
	cases := []struct {
		name      string
		invariant Invariant
		inject    func(*traceBuilder)
	}{
		{"offset falls", VersionsMonotonic, func(b *traceBuilder) {
			b.add(110, "a", Event{Kind: InForce, Offset: 2, Version: 2, Routes: 3, Digest: "d2"})
		}},
		{"offset falls after a restart", VersionsMonotonic, func(b *traceBuilder) {
			b.add(30015, "b", Event{Kind: InForce, Incarnation: 2, Offset: 1, Digest: "d1"})
		}},
		{"route without service", RoutesResolve, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: InForce, Offset: 4, Version: 2, Routes: 3, Dangling: 1, Digest: "d4"})
		}},
		{"digests differ", VersionsConsistent, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: InForce, Offset: 3, Version: 2, Routes: 3, Digest: "other"})
		}},
		{"version without verdict", VersionsConsistent, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: InForce, Offset: 4, Version: 4, Digest: "d4"})
		}},
		{"refused version active", VersionsConsistent, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: InForce, Offset: 4, Version: 3, Digest: "d4"})
		}},
		{"verdicts differ", VersionsConsistent, func(b *traceBuilder) {
			b.add(104, "b", Event{Kind: VerdictReached, Offset: 3, Outcome: "conflict"})
		}},
		{"answered twice", AnswersMatch, func(b *traceBuilder) {
			b.add(207, "a", Event{Kind: Answered, Call: "c1", Attempt: 2, Peer: "b"})
		}},
		{"answer of another request", AnswersMatch, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: CallBegan, Call: "c9", Key: "k9"})
			b.add(401, "a", Event{Kind: Answered, Call: "c9", Key: "k1"})
		}},
		{"answer of another peer", AnswersMatch, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: CallBegan, Call: "c9"})
			b.add(401, "a", Event{Kind: Sent, Call: "c9", Attempt: 1, Peer: "b"})
			b.add(402, "a", Event{Kind: Answered, Call: "c9", Attempt: 1, Peer: "z"})
		}},
		{"answer without a call", AnswersMatch, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: Answered, Call: "c9"})
		}},
		{"refused attempt ran", RefusedNotExecuted, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: Failed, Call: "c1", Attempt: 2, Outcome: "not-run"})
		}},
		{"refused call ran", RefusedNotExecuted, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: Failed, Call: "c1", Outcome: "not-run"})
		}},
		{"key ran twice", KeysAtMostOnce, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: Ran, Call: "c8", Attempt: 1, Key: "k1", Service: "w/s"})
		}},
		{"sent while draining", DrainRespected, func(b *traceBuilder) {
			b.add(5301, "a", Event{Kind: Sent, Call: "c8", Attempt: 1, Peer: "b"})
		}},
		{"ran while draining", DrainRespected, func(b *traceBuilder) {
			b.add(5301, "b", Event{Kind: Ran, Call: "c8", Attempt: 1})
		}},
		{"sent while stopping", DrainRespected, func(b *traceBuilder) {
			b.add(40000, "a", Event{Kind: Stopping})
			b.add(45001, "b", Event{Kind: Sent, Call: "c8", Attempt: 1, Peer: "a", Incarnation: 2})
		}},
		{"run aborted by a stop", StopsGraceful, func(b *traceBuilder) {
			b.add(298, "a", Event{Kind: CallBegan, Call: "c8"})
			b.add(299, "b", Event{Kind: Ran, Call: "c8", Attempt: 1})
			b.add(31002, "a", Event{Kind: UpstreamChosen})
		}},
		{"connection broken by a stop", StopsGraceful, func(b *traceBuilder) {
			b.add(299, "a", Event{Kind: CallBegan, Call: "c8"})
			b.add(30002, "a", Event{Kind: Failed, Call: "c8", Outcome: "unknown", Status: 502, Peer: "b"})
		}},
		{"forwarded call ended by the stop of its own host", StopsGraceful, func(b *traceBuilder) {
			b.add(299, "b", Event{Kind: CallBegan, Call: "c8"})
			b.add(30000, "b", Event{Kind: Failed, Call: "c8", Outcome: "unknown", Status: 502, Peer: "a"})
		}},
		{"call aborted by a stop", StopsGraceful, func(b *traceBuilder) {
			b.add(29999, "b", Event{Kind: CallBegan, Call: "c8"})
		}},
		{"version late on a host", VersionsPropagated, func(b *traceBuilder) {
			b.add(400, "a", Event{Kind: VerdictReached, Offset: 4, Version: 4, Outcome: "accepted"})
			b.add(10401, "a", Event{Kind: InForce, Offset: 4, Version: 4, Digest: "d4"})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := validTrace()
			c.inject(b)
			violations := Check(Merge([][]Event{b.events}))
			assert.Assert(t, len(violations) > 0)
			for _, v := range violations {
				assert.Equal(t, v.Invariant, c.invariant, "%v", v)
				assert.Assert(t, len(v.Events) > 0)
			}
		})
	}
}

// lateTrace returns a trace in which an accepted version is not active on host b
// within the propagation bound.
func lateTrace() *traceBuilder {
	b := validTrace()
	b.add(400, "a", Event{Kind: VerdictReached, Offset: 4, Version: 4, Outcome: "accepted"})
	b.add(401, "a", Event{Kind: InForce, Offset: 4, Version: 4, Digest: "d4"})
	b.add(29000, "b", Event{Kind: UpstreamChosen})
	return b
}

// TestPropagationIsCheckedOnHostThatRestartsLater guards against hosts that are
// exempt because they stop after the bound has passed.
func TestPropagationIsCheckedOnHostThatRestartsLater(t *testing.T) {
	violations := Check(Merge([][]Event{lateTrace().events}))
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Invariant, VersionsPropagated)
}

// TestPropagationIgnoresUnreachableHost guards against false violations for a host
// that others reported as unreachable.
func TestPropagationIgnoresUnreachableHost(t *testing.T) {
	b := lateTrace()
	b.add(390, "a", Event{Kind: Unreachable, Peer: "b"})
	assert.DeepEqual(t, Check(Merge([][]Event{b.events})), []Violation(nil))
}

// TestPropagationIgnoresHostOfUnreachableZone guards against false violations for
// hosts of an unreachable zone. After the zone has recovered, they are checked.
func TestPropagationIgnoresHostOfUnreachableZone(t *testing.T) {
	b := lateTrace()
	for i := range b.events {
		b.events[i].Zone = "zone-" + b.events[i].Host
	}
	b.add(390, "a", Event{Kind: Unreachable, Detail: "zone-b"})
	assert.DeepEqual(t, Check(Merge([][]Event{b.events})), []Violation(nil))
	b.add(395, "a", Event{Kind: Recovered, Detail: "zone-b"})
	assert.Equal(t, len(Check(Merge([][]Event{b.events}))), 1)
}

// TestDrainIgnoresSenderWithoutContact guards against false violations for calls
// sent to a draining target by a host that suspects it, since they do not arrive.
func TestDrainIgnoresSenderWithoutContact(t *testing.T) {
	b := validTrace()
	b.add(290, "a", Event{Kind: Suspected, Peer: "b"})
	b.add(9000, "a", Event{Kind: Sent, Call: "c8", Attempt: 1, Peer: "b"})
	b.add(9500, "a", Event{Kind: Recovered, Peer: "b"})
	assert.DeepEqual(t, Check(Merge([][]Event{b.events})), []Violation(nil))
}

// TestVerdictBeforeTraceIsNotRequired guards against false violations for a version
// that was accepted before the first event of the trace.
func TestVerdictBeforeTraceIsNotRequired(t *testing.T) {
	b := &traceBuilder{}
	b.add(0, "a", Event{Kind: Started})
	b.add(1, "a", Event{Kind: InForce, Offset: 9, Version: 8, Digest: "d9"})
	assert.DeepEqual(t, Check(b.events), []Violation(nil))
}

// TestDroppedEventsAreNoViolation guards against false violations when the end of a
// call may be among the dropped events of a process.
func TestDroppedEventsAreNoViolation(t *testing.T) {
	b := validTrace()
	b.add(0, "b", Event{Kind: EventsDropped, Detail: "7"})
	b.add(29999, "b", Event{Kind: CallBegan, Call: "c9"})
	assert.DeepEqual(t, Check(Merge([][]Event{b.events})), []Violation(nil))
}

// TestPropagationIsCheckedAfterBound guards against violations reported for a trace
// that ends before the propagation bound has passed.
func TestPropagationIsCheckedAfterBound(t *testing.T) {
	b := &traceBuilder{}
	for _, host := range []string{"a", "b"} {
		b.add(0, host, Event{Kind: Started})
		b.add(1, host, Event{Kind: InForce, Digest: "d0"})
	}
	b.add(10, "a", Event{Kind: VerdictReached, Offset: 1, Version: 1, Outcome: "accepted"})
	b.add(11, "a", Event{Kind: InForce, Offset: 1, Version: 1, Digest: "d1"})
	b.add(10_009, "b", Event{Kind: UpstreamChosen})
	assert.DeepEqual(t, Check(b.events), []Violation(nil))
	b.add(10_010, "b", Event{Kind: UpstreamChosen})
	assert.Equal(t, len(Check(b.events)), 1)
}
