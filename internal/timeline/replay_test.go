package timeline

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// outcome summarizes a recorded trace.
type outcome struct {
	trace string
	// activeVersion is the last active version by host.
	activeVersion map[string]uint64
	// runs is the number of runs by idempotency key.
	runs map[string]int
	// violations is the number of violations by invariant.
	violations map[Invariant]int
}

// TestOutcomesOfRecordedTraces guards against a change of the event format or of
// the checks that gives other results for recorded traces.
func TestOutcomesOfRecordedTraces(t *testing.T) {
	onAllHosts := map[string]uint64{"accra-1": 3, "accra-2": 3, "ashanti-1": 3, "ashanti-2": 3}
	for _, want := range []outcome{
		{
			trace:         "drain-outage-restart.jsonl",
			activeVersion: onAllHosts,
			runs: map[string]int{
				"01a240b7-47d0-738a-ac70-40ec805e3faa": 1,
				"01a240b7-47d4-7a83-983b-3ca450e65de5": 1,
				"01a240b7-47de-74bd-bf70-9904b75580f5": 1,
				"01a240b7-47e2-731d-b66b-257defcbec3a": 1,
				"01a240b7-47e5-77c2-a41e-bd507ff1c007": 1,
				"01a240b7-47ed-75a1-8cd2-aed9b4c566f0": 1,
				"01a240b7-47f2-70bd-999a-85b4609c7cfb": 1,
			},
			violations: map[Invariant]int{},
		},
		{
			trace:         "key-memory-lost.jsonl",
			activeVersion: onAllHosts,
			runs: map[string]int{
				"01a240b7-5f4f-7ee8-831b-8a6fc599e9c4": 1,
				"01a240b7-5f54-738d-b580-6afaa37b72e0": 1,
				"01a240b7-5f58-7116-9c4d-b5fb0f43e0f2": 1,
				"01a240b7-5f5b-769b-b85d-0516ba1ee6de": 1,
				"01a240b7-5f60-7b89-a3c9-cbca04d4d2d1": 2,
				"01a240b7-5f66-7d07-a25f-73ec9365f85d": 2,
				"01a240b7-5f6f-7d7f-841f-3d61b6a8bde1": 2,
			},
			violations: map[Invariant]int{KeysAtMostOnce: 3},
		},
	} {
		t.Run(want.trace, func(t *testing.T) {
			events := readTrace(t, want.trace)
			got := outcome{
				trace:         want.trace,
				activeVersion: map[string]uint64{},
				runs:          map[string]int{},
				violations:    map[Invariant]int{},
			}
			for _, event := range events {
				switch {
				case event.Kind == InForce:
					got.activeVersion[event.Host] = event.Version
				case event.Kind == Ran && event.Key != "":
					got.runs[event.Key]++
				}
			}
			for _, violation := range Check(events) {
				got.violations[violation.Invariant]++
			}
			assert.DeepEqual(t, got.activeVersion, want.activeVersion)
			assert.DeepEqual(t, got.runs, want.runs)
			assert.DeepEqual(t, got.violations, want.violations)
		})
	}
}

// TestMergeRestoresRecordedTrace guards against a merged order that differs from
// the recorded one: it splits a trace into one list per host and merges them.
func TestMergeRestoresRecordedTrace(t *testing.T) {
	events := readTrace(t, "drain-outage-restart.jsonl")
	byHost := map[string][]Event{}
	for _, event := range events {
		byHost[event.Host] = append(byHost[event.Host], event)
	}
	var lists [][]Event
	for _, list := range byHost {
		lists = append(lists, list)
	}
	assert.DeepEqual(t, Merge(lists), events)
}

func readTrace(t *testing.T, name string) []Event {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	assert.NilError(t, err)
	defer file.Close()
	events, err := ReadJSON(file)
	assert.NilError(t, err)
	return Merge([][]Event{events})
}
