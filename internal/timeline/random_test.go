package timeline

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// traceModel generates random traces of a mesh without violations.
type traceModel struct {
	t        *rapid.T
	trace    *traceBuilder
	now      int64
	hosts    []string
	offset   uint64
	version  uint64
	calls    int
	draining map[string]bool
	versions map[string]uint64
}

func newTraceModel(t *rapid.T) *traceModel {
	m := &traceModel{t: t, trace: &traceBuilder{}, draining: map[string]bool{}, versions: map[string]uint64{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "hosts") {
		host := fmt.Sprintf("host-%d", i)
		m.hosts = append(m.hosts, host)
		m.add(host, Event{Kind: Started})
		m.add(host, Event{Kind: Announced, Service: "w/s"})
	}
	return m
}

// add records an event 1 ms after the last one.
func (m *traceModel) add(host string, event Event) Event {
	m.now++
	event.Incarnation = 1
	m.trace.add(m.now, host, event)
	return m.trace.events[len(m.trace.events)-1]
}

func (m *traceModel) host() string { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

// publish applies one publication on all hosts, in random order.
func (m *traceModel) publish() {
	m.offset++
	outcome := rapid.SampledFrom([]string{"accepted", "refused", "conflict"}).Draw(m.t, "outcome")
	verdict := Event{Kind: VerdictReached, Offset: m.offset, Outcome: outcome}
	if outcome == "accepted" {
		m.version = m.offset
		verdict.Version = m.offset
	}
	for _, host := range rapid.Permutation(m.hosts).Draw(m.t, "order") {
		m.add(host, verdict)
		m.add(host, m.inForce())
	}
}

func (m *traceModel) inForce() Event {
	return Event{Kind: InForce, Offset: m.offset, Version: m.version, Digest: fmt.Sprint(m.offset)}
}

// call records a call that is refused, fails after it ran, or is answered. A call
// to a draining host is refused.
func (m *traceModel) call() {
	m.calls++
	from, to := m.host(), m.host()
	event := Event{Call: fmt.Sprint("call-", m.calls), Service: "w/s"}
	if rapid.Bool().Draw(m.t, "keyed") {
		event.Key = fmt.Sprint("key-", m.calls)
	}
	addCallEvent := func(host string, kind Kind, attempt int, peer, outcome string) {
		next := event
		next.Kind, next.Attempt, next.Peer, next.Outcome = kind, attempt, peer, outcome
		m.add(host, next)
	}
	addCallEvent(from, CallBegan, 0, "", "")
	if m.draining[to] {
		addCallEvent(from, Failed, 0, to, "not-run")
		return
	}
	addCallEvent(from, Sent, 1, to, "")
	switch rapid.IntRange(0, 2).Draw(m.t, "fate") {
	case 0:
		addCallEvent(from, Failed, 0, to, "not-run")
	case 1:
		addCallEvent(to, Ran, 1, "", "")
		addCallEvent(from, Failed, 0, to, "unknown")
	default:
		addCallEvent(to, Ran, 1, "", "")
		addCallEvent(from, Answered, 0, "", "")
	}
}

// toggleDrain drains the target of a random host, or announces it again.
func (m *traceModel) toggleDrain() {
	host := m.host()
	kind := Draining
	if m.draining[host] {
		kind = Announced
	}
	m.draining[host] = !m.draining[host]
	m.add(host, Event{Kind: kind, Service: "w/s"})
}

func (m *traceModel) wait() { m.now += rapid.Int64Range(1, 20_000).Draw(m.t, "wait") }

// generate adds random events after an accepted version.
func (m *traceModel) generate() {
	m.offset, m.version = 1, 1
	for _, host := range m.hosts {
		m.add(host, Event{Kind: VerdictReached, Offset: 1, Version: 1, Outcome: "accepted"})
		m.add(host, m.inForce())
	}
	steps := []func(){m.publish, m.call, m.call, m.toggleDrain, m.wait}
	for range rapid.IntRange(0, 40).Draw(m.t, "steps") {
		rapid.SampledFrom(steps).Draw(m.t, "step")()
	}
}

// injectViolation contains for each invariant a function that adds a violation at
// the end of a trace.
var injectViolation = map[Invariant]func(m *traceModel){
	VersionsMonotonic: func(m *traceModel) {
		host := m.host()
		m.offset++
		m.add(host, m.inForce())
		m.offset--
		m.add(host, m.inForce())
	},
	RoutesResolve: func(m *traceModel) {
		m.offset++
		activation := m.inForce()
		activation.Dangling = 1
		m.add(m.host(), activation)
	},
	VersionsConsistent: func(m *traceModel) {
		activation := m.inForce()
		activation.Digest = "other"
		m.add(m.host(), activation)
	},
	AnswersMatch: func(m *traceModel) {
		host := m.host()
		m.add(host, Event{Kind: CallBegan, Call: "injected"})
		m.add(host, Event{Kind: Answered, Call: "injected"})
		m.add(host, Event{Kind: Answered, Call: "injected"})
	},
	RefusedNotExecuted: func(m *traceModel) {
		m.add(m.host(), Event{Kind: Failed, Call: "injected", Outcome: "not-run"})
		m.add(m.servingHost(), Event{Kind: Ran, Call: "injected"})
	},
	KeysAtMostOnce: func(m *traceModel) {
		m.add(m.servingHost(), Event{Kind: Ran, Call: "injected-1", Key: "injected", Service: "w/s"})
		m.add(m.servingHost(), Event{Kind: Ran, Call: "injected-2", Key: "injected", Service: "w/s"})
	},
	DrainRespected: func(m *traceModel) {
		host := m.host()
		m.add(host, Event{Kind: Draining})
		m.now += DefaultDrainBound.Milliseconds() + 1
		m.add(m.host(), Event{Kind: Sent, Call: "injected", Attempt: 1, Peer: host})
	},
	StopsGraceful: func(m *traceModel) {
		host := m.host()
		m.add(host, Event{Kind: CallBegan, Call: "injected"})
		m.add(host, Event{Kind: Stopping})
		m.add(host, Event{Kind: Stopped})
	},
	VersionsPropagated: func(m *traceModel) {
		m.offset++
		m.version = m.offset
		m.add(m.hosts[0], Event{Kind: VerdictReached, Offset: m.offset, Version: m.offset, Outcome: "accepted"})
		m.add(m.hosts[0], m.inForce())
		m.now += DefaultPropagationBound.Milliseconds()
		m.add(m.hosts[1], Event{Kind: UpstreamChosen})
	},
}

// servingHost announces the target of a random host, so that it may run calls, and
// returns the host.
func (m *traceModel) servingHost() string {
	host := m.host()
	m.add(host, Event{Kind: Announced, Service: "w/s"})
	return host
}

// TestCheckAcceptsRandomValidTraces guards against false violations in traces of a
// mesh that keeps all invariants.
func TestCheckAcceptsRandomValidTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTraceModel(t)
		m.generate()
		assert.DeepEqual(t, Check(m.trace.events), []Violation(nil))
	})
}

// TestCheckFindsInjectedViolations guards against violations that Check misses or
// attributes to another invariant: it injects one violation into a random trace.
func TestCheckFindsInjectedViolations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTraceModel(t)
		m.generate()
		invariant := rapid.SampledFrom(Invariants).Draw(t, "promise")
		injectViolation[invariant](m)
		violations := Check(m.trace.events)
		assert.Assert(t, len(violations) > 0, invariant)
		for _, violation := range violations {
			assert.Equal(t, violation.Invariant, invariant)
		}
	})
}
