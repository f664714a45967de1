package publish_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// fullConfig returns a full configuration with one route for each prefix.
func fullConfig(edition uint64, prefixes ...string) *publish.Whole {
	full := &publish.Whole{
		Workspace: "fleet", Edition: edition,
		Services: []*publish.WholeService{{Name: "huts", Connections: 10}},
	}
	for _, prefix := range prefixes {
		full.Routes = append(full.Routes, &publish.WholeRoute{
			Name: "r" + strings.ReplaceAll(prefix, "/", "-"), Host: "huts.example", Prefix: prefix, DeadlineUs: 1e6,
			Split: []*publish.WholeShare{{Service: "huts", Weight: 1}}, Attempts: 2,
		})
	}
	return full
}

func applyFullConfig(t testing.TB, machine *publish.StateMachine, offset uint64, full *publish.Whole) *publish.Verdict {
	t.Helper()
	payload, err := publish.EncodeFullConfig(full)
	assert.NilError(t, err)
	verdict, err := machine.Apply(platform.Record{Offset: offset, Payload: payload})
	assert.NilError(t, err)
	return verdict
}

// TestLongestPrefixWins compares Match with a linear search over all prefixes.
func TestLongestPrefixWins(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "aa", "%2F"})
	rapid.Check(t, func(rt *rapid.T) {
		var prefixes []string
		for _, parts := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 3), 0, 6).Draw(rt, "prefixes") {
			prefix := "/" + strings.Join(append(parts, ""), "/")
			prefixes = append(prefixes, prefix)
		}
		machine := publish.NewStateMachine()
		applyFullConfig(t, machine, 1, fullConfig(1, prefixes...))
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(rt, "path"), "/")
		best := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
				best = prefix
			}
		}
		route := machine.Configuration().Match("huts.example", path)
		assert.Assert(rt, machine.Configuration().Match("other.example", path) == nil)
		if best == "" {
			assert.Assert(rt, route == nil)
			return
		}
		assert.Equal(rt, route.Prefix, best)
	})
}

// TestFullConfigIsSelfContained applies the last of several full configurations with
// and without the earlier ones. The states must be equal, also after a snapshot is
// restored.
func TestFullConfigIsSelfContained(t *testing.T) {
	sequential, direct := publish.NewStateMachine(), publish.NewStateMachine()
	applyFullConfig(t, sequential, 1, fullConfig(3, "/a/"))
	noOp, err := publish.EncodeNoOp()
	assert.NilError(t, err)
	_, err = sequential.Apply(platform.Record{Offset: 2, Payload: noOp})
	assert.NilError(t, err)
	last := fullConfig(9, "/a/", "/b/")
	verdict := applyFullConfig(t, sequential, 3, last)
	assert.Equal(t, verdict.Outcome, publish.Accepted)
	applyFullConfig(t, direct, 3, last)
	assert.DeepEqual(t, sequential.Digest(), direct.Digest())

	snapshot, err := sequential.Snapshot()
	assert.NilError(t, err)
	restored := publish.NewStateMachine()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Digest(), sequential.Digest())
	assert.Equal(t, restored.Configuration().Match("huts.example", "/b/1").Prefix, "/b/")
}

// TestEarlierEditionIsRefused guards against replacing a full configuration by an
// older edition, or by one whose routes name a missing service.
func TestEarlierEditionIsRefused(t *testing.T) {
	machine := publish.NewStateMachine()
	applyFullConfig(t, machine, 1, fullConfig(5, "/a/"))
	assert.Equal(t, applyFullConfig(t, machine, 2, fullConfig(4, "/b/")).Outcome, publish.Refused)
	broken := fullConfig(6, "/c/")
	broken.Services = nil
	assert.Equal(t, applyFullConfig(t, machine, 3, broken).Outcome, publish.Refused)
	assert.Equal(t, machine.Offset(), uint64(3))
	assert.Assert(t, machine.Configuration().Match("huts.example", "/a/") != nil)
	assert.Assert(t, machine.Configuration().Match("huts.example", "/c/") == nil)
}

// TestDifferenceGivesTheSameState forwards random full configurations as differences.
// The follower must reach the same state, and a difference to another base edition
// must not be applied.
func TestDifferenceGivesTheSameState(t *testing.T) {
	prefixes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/a/", "/b/", "/c/", "/d/", "/e/"}), 1, 5, rapid.ID[string])
	rapid.Check(t, func(rt *rapid.T) {
		leader, follower := publish.NewStateMachine(), publish.NewStateMachine()
		for offset := uint64(1); offset <= 6; offset++ {
			next := fullConfig(offset*2, prefixes.Draw(rt, "prefixes")...)
			next.Routes[0].DeadlineUs = rapid.Uint64Range(1e5, 1e6).Draw(rt, "deadline")
			payload, err := publish.EncodeFullConfig(next)
			assert.NilError(rt, err)
			record := platform.Record{Offset: offset, Payload: payload}
			_, err = leader.Apply(record)
			assert.NilError(rt, err)
			compacted := leader.CompactRecord(record)
			assert.Assert(rt, len(compacted.Payload) <= len(payload))
			_, err = follower.Apply(compacted)
			assert.NilError(rt, err)
			assert.DeepEqual(rt, leader.Digest(), follower.Digest())
			_, err = publish.NewStateMachine().Apply(compacted)
			assert.Assert(rt, err != nil || offset == 1 || len(compacted.Payload) == len(payload))
		}
	})
}
