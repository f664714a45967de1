package timeline

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// processes are processes with clocks that differ and do not advance by
// themselves.
type processes struct {
	buffers []*Buffer
	// millis is the physical time of each process.
	millis []int64
}

func newProcesses(t *rapid.T) *processes {
	p := &processes{millis: make([]int64, rapid.IntRange(2, 4).Draw(t, "processes"))}
	for i := range p.millis {
		p.millis[i] = rapid.Int64Range(0, 1000).Draw(t, "skew")
		clock := NewClock(func() time.Time { return time.UnixMilli(p.millis[i]) })
		p.buffers = append(p.buffers, NewBuffer(clock, "host-"+strconv.Itoa(i), "zone", 1, 1000))
	}
	return p
}

// record records an event with an attempt number and returns its time.
func (p *processes) record(process, number int) Timestamp {
	p.buffers[process].Record(Event{Kind: Sent, Attempt: number})
	events := p.buffers[process].Events()
	return events[len(events)-1].Time
}

func (p *processes) merged() []Event {
	var lists [][]Event
	for _, buffer := range p.buffers {
		lists = append(lists, buffer.Events())
	}
	return Merge(lists)
}

// TestMergeKeepsCausalOrder guards against an event ordered before one that may
// have caused it: processes exchange messages while their physical clocks jump
// forwards and backwards.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcesses(t)
		// causes maps an event to its direct causal predecessors.
		causes := map[int][]int{}
		last := make([]int, len(p.buffers))
		process := rapid.IntRange(0, len(p.buffers)-1)
		count := rapid.IntRange(1, 60).Draw(t, "events")
		for number := 1; number <= count; number++ {
			to := process.Draw(t, "to")
			p.millis[to] += rapid.Int64Range(-5, 5).Draw(t, "tick")
			if from := process.Draw(t, "from"); from != to && last[from] != 0 {
				p.buffers[to].Clock().Observe(p.buffers[from].Clock().Now())
				causes[number] = append(causes[number], last[from])
			}
			causes[number] = append(causes[number], last[to])
			p.record(to, number)
			last[to] = number
		}
		seen := map[int]bool{0: true}
		for _, event := range p.merged() {
			for _, cause := range causes[event.Attempt] {
				if !seen[cause] {
					t.Fatalf("event %d is ordered before its cause %d", event.Attempt, cause)
				}
			}
			seen[event.Attempt] = true
		}
	})
}

// TestMergeIgnoresOrderAndOverlapOfInput guards against a result that depends on
// the order of the lists or on events contained in more than one.
func TestMergeIgnoresOrderAndOverlapOfInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcesses(t)
		for number := 1; number <= 30; number++ {
			p.record(rapid.IntRange(0, len(p.buffers)-1).Draw(t, "process"), number)
		}
		want := p.merged()
		var lists [][]Event
		for _, buffer := range p.buffers {
			events := buffer.Events()
			split := rapid.IntRange(0, len(events)).Draw(t, "cut")
			overlap := rapid.IntRange(0, split).Draw(t, "overlap")
			lists = append(lists, events[split-overlap:], events[:split])
		}
		assert.DeepEqual(t, Merge(rapid.Permutation(lists).Draw(t, "order")), want)
	})
}

func TestTimestampTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timestamp := Timestamp{rapid.Int64().Draw(t, "millis"), rapid.Uint32().Draw(t, "logical")}
		parsed, err := ParseTimestamp(timestamp.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, timestamp)
	})
}

// FuzzReadJSON guards against crashes of ReadJSON, Check and WriteHTML on
// arbitrary input.
func FuzzReadJSON(f *testing.F) {
	f.Add([]byte(`{"time":{"ms":1,"n":0},"host":"a","kind":"in-force"}`))
	f.Add([]byte("{}\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := ReadJSON(bytes.NewReader(data))
		if err != nil {
			return
		}
		merged := Merge([][]Event{events})
		Check(merged)
		var page bytes.Buffer
		assert.NilError(t, WriteHTML(&page, merged))
	})
}
