package story_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/story"
)

// logs are the logs of three daemons whose clocks differ by minutes.
var logs = map[string]string{
	"side-1": `time="2026-12-04T10:00:02Z" level=info msg="call: attempt failed" again=true attempt=1 call=abc cause="queue is full" entry=2 host=side-2 left=1 outcome=not-run part=call refusals=1 step=admit
time="2026-12-04T10:00:02Z" level=info msg="call: attempt failed" again=true attempt=1 call=abcd cause="queue is full" host=side-2 outcome=not-run step=admit
time="2026-12-04T10:00:02Z" level=info msg="call: attempt failed" again=false attempt=2 call=abc cause="read tcp: reset by \"peer\"" host=side-3 left=1 outcome=unknown reason="no retries left" step=target
time="2026-12-04T10:00:03Z" level=info msg="call: call failed" call=abc cause="read tcp: reset by \"peer\"" outcome=unknown peer=side-3 status=502 step=target
a line of something else about abc
`,
	"side-2": `time="2026-12-04T10:07:00Z" level=debug msg="call: request refused" attempt=1 busy=6 call=abc cause="queue is full" queued=6 slots=6 step=admit` + "\n",
	"side-3": `time="2026-12-04T09:55:00Z" level=info msg="call: request failed" attempt=2 busy=5 call=abc cause="read tcp: reset" outcome=unknown queued=0 slots=6 step=target
time="2026-12-04T09:55:00Z" level=info msg="call: request ran" attempt=2 call=abc instance=i-9 status=0 took=12ms
`,
}

// TestSortOrdersLinesByHops guards against an order that depends on the clocks of
// the daemons or on the order of the logs.
func TestSortOrdersLinesByHops(t *testing.T) {
	var lines []story.Line
	for name, text := range logs {
		found, err := story.Read(strings.NewReader(text), name, "abc")
		assert.NilError(t, err)
		lines = append(lines, found...)
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	story.Sort(lines)
	var descriptions []string
	for _, line := range lines {
		descriptions = append(descriptions, line.Describe())
	}
	assert.DeepEqual(t, descriptions, []string{
		"attempt 1: side-2 refuses it at admit: queue is full (6 of 6 slots busy, 6 queued)",
		"attempt 1: side-1 sent it to side-2: not-run at admit: queue is full; another follows",
		"attempt 2: side-3 hands it to i-9, status 0 after 12ms",
		"attempt 2: side-3 gets no response at target: read tcp: reset",
		`attempt 2: side-1 sent it to side-3: unknown at target: read tcp: reset by "peer"; none follows: no retries left`,
		`end: side-1 answers 502, unknown: read tcp: reset by "peer" at target of side-3`,
	})
}

// TestReadTakesDaemonFromLine guards against lines attributed to the name of the
// log: in the log of several daemons each line begins with a time and the name of
// its daemon.
func TestReadTakesDaemonFromLine(t *testing.T) {
	text := `  19.3502 side-7 ` + logs["side-2"]
	lines, err := story.Read(strings.NewReader(text), "all", "abc")
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].Daemon, "side-7")
}

// FuzzRead guards against crashes of Read, Sort and Describe and against empty
// descriptions on arbitrary text.
func FuzzRead(f *testing.F) {
	f.Add(logs["side-1"], "abc")
	f.Add(`time="x call=`, "x")
	f.Fuzz(func(t *testing.T, text, call string) {
		lines, err := story.Read(strings.NewReader(text), "n", call)
		assert.Assert(t, err == nil || lines == nil)
		story.Sort(lines)
		for _, line := range lines {
			assert.Assert(t, line.Describe() != "")
		}
	})
}
