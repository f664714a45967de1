package timeline

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model makes random traces of a mesh that keeps every promise.
type model struct {
	t        *rapid.T
	s        *script
	now      int64
	hosts    []string
	offset   uint64
	version  uint64
	calls    int
	leaving  map[string]bool
	versions map[string]uint64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, s: &script{}, leaving: map[string]bool{}, versions: map[string]uint64{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "hosts") {
		host := fmt.Sprintf("host-%d", i)
		m.hosts = append(m.hosts, host)
		m.add(host, Event{Kind: Started})
		m.add(host, Event{Kind: Announced, Service: "w/s"})
	}
	return m
}

// add records an event a moment after the last one.
func (m *model) add(host string, event Event) Event {
	m.now++
	event.Incarnation = 1
	m.s.at(m.now, host, event)
	return m.s.events[len(m.s.events)-1]
}

func (m *model) host() string { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

// publish folds one record on every host, in some order.
func (m *model) publish() {
	m.offset++
	outcome := rapid.SampledFrom([]string{"accepted", "refused", "conflict"}).Draw(m.t, "outcome")
	verdict := Event{Kind: VerdictReached, Offset: m.offset, Outcome: outcome}
	if outcome == "accepted" {
		m.version = m.offset
		verdict.Version = m.offset
	}
	for _, host := range rapid.Permutation(m.hosts).Draw(m.t, "order") {
		m.add(host, verdict)
		m.add(host, m.table())
	}
}

func (m *model) table() Event {
	return Event{Kind: InForce, Offset: m.offset, Version: m.version, Digest: fmt.Sprint(m.offset)}
}

// call sends a call, maybe after an attempt that was refused, and ends it.
func (m *model) call() {
	m.calls++
	from, to := m.host(), m.host()
	event := Event{Call: fmt.Sprint("call-", m.calls), Service: "w/s"}
	if rapid.Bool().Draw(m.t, "keyed") {
		event.Key = fmt.Sprint("key-", m.calls)
	}
	with := func(host string, kind Kind, attempt int, peer, outcome string) {
		next := event
		next.Kind, next.Attempt, next.Peer, next.Outcome = kind, attempt, peer, outcome
		m.add(host, next)
	}
	with(from, CallBegan, 0, "", "")
	if m.leaving[to] {
		with(from, Failed, 0, to, "not-run")
		return
	}
	with(from, Sent, 1, to, "")
	switch rapid.IntRange(0, 2).Draw(m.t, "fate") {
	case 0:
		with(from, Failed, 0, to, "not-run")
	case 1:
		with(to, Ran, 1, "", "")
		with(from, Failed, 0, to, "unknown")
	default:
		with(to, Ran, 1, "", "")
		with(from, Answered, 0, "", "")
	}
}

// drain takes a target out, or puts it back.
func (m *model) drain() {
	host := m.host()
	kind := Draining
	if m.leaving[host] {
		kind = Announced
	}
	m.leaving[host] = !m.leaving[host]
	m.add(host, Event{Kind: kind, Service: "w/s"})
}

func (m *model) wait() { m.now += rapid.Int64Range(1, 20_000).Draw(m.t, "wait") }

// play makes a random trace that begins with an accepted version.
func (m *model) play() {
	m.offset, m.version = 1, 1
	for _, host := range m.hosts {
		m.add(host, Event{Kind: VerdictReached, Offset: 1, Version: 1, Outcome: "accepted"})
		m.add(host, m.table())
	}
	steps := []func(){m.publish, m.call, m.call, m.drain, m.wait}
	for range rapid.IntRange(0, 40).Draw(m.t, "steps") {
		rapid.SampledFrom(steps).Draw(m.t, "step")()
	}
}

// faults plant one violation of a promise at the end of a trace.
var faults = map[Invariant]func(m *model){
	VersionsMonotonic: func(m *model) {
		host := m.host()
		m.offset++
		m.add(host, m.table())
		m.offset--
		m.add(host, m.table())
	},
	RoutesResolve: func(m *model) {
		m.offset++
		table := m.table()
		table.Dangling = 1
		m.add(m.host(), table)
	},
	VersionsConsistent: func(m *model) {
		table := m.table()
		table.Digest = "other"
		m.add(m.host(), table)
	},
	AnswersMatch: func(m *model) {
		host := m.host()
		m.add(host, Event{Kind: CallBegan, Call: "planted"})
		m.add(host, Event{Kind: Answered, Call: "planted"})
		m.add(host, Event{Kind: Answered, Call: "planted"})
	},
	RefusedNotExecuted: func(m *model) {
		m.add(m.host(), Event{Kind: Failed, Call: "planted", Outcome: "not-run"})
		m.add(m.stayer(), Event{Kind: Ran, Call: "planted"})
	},
	KeysAtMostOnce: func(m *model) {
		m.add(m.stayer(), Event{Kind: Ran, Call: "planted-1", Key: "planted", Service: "w/s"})
		m.add(m.stayer(), Event{Kind: Ran, Call: "planted-2", Key: "planted", Service: "w/s"})
	},
	DrainRespected: func(m *model) {
		host := m.host()
		m.add(host, Event{Kind: Draining})
		m.now += DefaultDrainBound.Milliseconds() + 1
		m.add(m.host(), Event{Kind: Sent, Call: "planted", Attempt: 1, Peer: host})
	},
	StopsGraceful: func(m *model) {
		host := m.host()
		m.add(host, Event{Kind: CallBegan, Call: "planted"})
		m.add(host, Event{Kind: Stopping})
		m.add(host, Event{Kind: Stopped})
	},
	VersionsPropagated: func(m *model) {
		m.offset++
		m.version = m.offset
		m.add(m.hosts[0], Event{Kind: VerdictReached, Offset: m.offset, Version: m.offset, Outcome: "accepted"})
		m.add(m.hosts[0], m.table())
		m.now += DefaultPropagationBound.Milliseconds()
		m.add(m.hosts[1], Event{Kind: UpstreamChosen})
	},
}

// stayer puts a host back into service and returns it.
func (m *model) stayer() string {
	host := m.host()
	m.add(host, Event{Kind: Announced, Service: "w/s"})
	return host
}

// TestCheckPassesRandomTraces checks traces of a mesh that keeps all promises.
func TestCheckPassesRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.play()
		assert.DeepEqual(t, Check(m.s.events), []Violation(nil))
	})
}

// TestCheckFindsAFaultInRandomTraces plants one fault and finds it, and no
// other.
func TestCheckFindsAFaultInRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.play()
		promise := rapid.SampledFrom(Invariants).Draw(t, "promise")
		faults[promise](m)
		violations := Check(m.s.events)
		assert.Assert(t, len(violations) > 0, promise)
		for _, violation := range violations {
			assert.Equal(t, violation.Invariant, promise)
		}
	})
}
