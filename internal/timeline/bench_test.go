package timeline

import (
	"fmt"
	"testing"
)

// largeTrace returns a trace in which every host applies all versions and the
// calls are spread over the hosts.
func largeTrace(hosts, versions, calls int) []Event {
	b := &traceBuilder{}
	name := func(i int) string { return fmt.Sprintf("host-%d", i) }
	for i := range hosts {
		b.add(0, name(i), Event{Kind: Started})
	}
	for v := 1; v <= versions; v++ {
		for i := range hosts {
			at := int64(v) * 1000
			b.add(at, name(i), Event{Kind: VerdictReached, Offset: uint64(v), Version: uint64(v), Outcome: "accepted"})
			b.add(at, name(i), Event{Kind: InForce, Offset: uint64(v), Version: uint64(v), Digest: fmt.Sprint(v)})
		}
	}
	for c := range calls {
		at, from, to := int64(c), name(c%hosts), name((c+1)%hosts)
		call := fmt.Sprint("call-", c)
		b.add(at, from, Event{Kind: CallBegan, Call: call, Key: call})
		b.add(at, from, Event{Kind: Sent, Call: call, Attempt: 1, Peer: to, Key: call})
		b.add(at, to, Event{Kind: Ran, Call: call, Attempt: 1, Key: call})
		b.add(at, from, Event{Kind: Answered, Call: call, Key: call})
	}
	return Merge([][]Event{b.events})
}

// BenchmarkCheck measures Check on a trace of 1,900 hosts.
func BenchmarkCheck(b *testing.B) {
	events := largeTrace(1900, 50, 100_000)
	b.ReportMetric(float64(len(events)), "events")
	for b.Loop() {
		if found := Check(events); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
}

// BenchmarkRecord measures Record on a buffer that becomes full.
func BenchmarkRecord(b *testing.B) {
	buffer := NewBuffer(NewClock(fixedTime), "host", "zone", 1, 65536)
	for b.Loop() {
		buffer.Record(Event{Kind: Sent, Call: "call", Peer: "host-2"})
	}
}
