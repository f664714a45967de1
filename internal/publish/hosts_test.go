package publish_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// whole returns a configuration with a route of each prefix.
func whole(edition uint64, prefixes ...string) *publish.Whole {
	w := &publish.Whole{
		Workspace: "fleet", Edition: edition,
		Services: []*publish.WholeService{{Name: "huts", Connections: 10}},
	}
	for _, prefix := range prefixes {
		w.Routes = append(w.Routes, &publish.WholeRoute{
			Name: "r" + strings.ReplaceAll(prefix, "/", "-"), Host: "huts.example", Prefix: prefix, DeadlineUs: 1e6,
			Split: []*publish.WholeShare{{Service: "huts", Weight: 1}}, Attempts: 2,
		})
	}
	return w
}

func applyWhole(t testing.TB, fold *publish.StateMachine, offset uint64, w *publish.Whole) *publish.Verdict {
	t.Helper()
	payload, err := publish.EncodeFullConfig(w)
	assert.NilError(t, err)
	verdict, err := fold.Apply(platform.Record{Offset: offset, Payload: payload})
	assert.NilError(t, err)
	return verdict
}

// TestLongestPrefixWins compares Match with a search over all prefixes.
func TestLongestPrefixWins(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "aa", "%2F"})
	rapid.Check(t, func(rt *rapid.T) {
		var prefixes []string
		for _, parts := range rapid.SliceOfN(rapid.SliceOfN(segment, 0, 3), 0, 6).Draw(rt, "prefixes") {
			prefix := "/" + strings.Join(append(parts, ""), "/")
			prefixes = append(prefixes, prefix)
		}
		fold := publish.NewStateMachine()
		applyWhole(t, fold, 1, whole(1, prefixes...))
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(rt, "path"), "/")
		best := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
				best = prefix
			}
		}
		route := fold.Configuration().Match("huts.example", path)
		assert.Assert(rt, fold.Configuration().Match("other.example", path) == nil)
		if best == "" {
			assert.Assert(rt, route == nil)
			return
		}
		assert.Equal(rt, route.Prefix, best)
	})
}

// TestWholeStandsAlone folds the newest of several wholes alone and after the
// others: the states are equal, also after a snapshot.
func TestWholeStandsAlone(t *testing.T) {
	all, newest := publish.NewStateMachine(), publish.NewStateMachine()
	applyWhole(t, all, 1, whole(3, "/a/"))
	skip, err := publish.EncodeNoOp()
	assert.NilError(t, err)
	_, err = all.Apply(platform.Record{Offset: 2, Payload: skip})
	assert.NilError(t, err)
	last := whole(9, "/a/", "/b/")
	verdict := applyWhole(t, all, 3, last)
	assert.Equal(t, verdict.Outcome, publish.Accepted)
	applyWhole(t, newest, 3, last)
	assert.DeepEqual(t, all.Digest(), newest.Digest())

	snapshot, err := all.Snapshot()
	assert.NilError(t, err)
	restored := publish.NewStateMachine()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Digest(), all.Digest())
	assert.Equal(t, restored.Configuration().Match("huts.example", "/b/1").Prefix, "/b/")
}

// TestEarlierEditionIsRefused keeps an operator's older whole from coming back,
// and one that names a service it lacks from coming into force.
func TestEarlierEditionIsRefused(t *testing.T) {
	fold := publish.NewStateMachine()
	applyWhole(t, fold, 1, whole(5, "/a/"))
	assert.Equal(t, applyWhole(t, fold, 2, whole(4, "/b/")).Outcome, publish.Refused)
	broken := whole(6, "/c/")
	broken.Services = nil
	assert.Equal(t, applyWhole(t, fold, 3, broken).Outcome, publish.Refused)
	assert.Equal(t, fold.Offset(), uint64(3))
	assert.Assert(t, fold.Configuration().Match("huts.example", "/a/") != nil)
	assert.Assert(t, fold.Configuration().Match("huts.example", "/c/") == nil)
}

// TestChangeGivesTheSameState passes each whole on as the change that it made,
// over random configurations: the follower's state equals the first one's, and a
// change to another edition is not folded.
func TestChangeGivesTheSameState(t *testing.T) {
	prefixes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/a/", "/b/", "/c/", "/d/", "/e/"}), 1, 5, rapid.ID[string])
	rapid.Check(t, func(rt *rapid.T) {
		first, follower := publish.NewStateMachine(), publish.NewStateMachine()
		for offset := uint64(1); offset <= 6; offset++ {
			next := whole(offset*2, prefixes.Draw(rt, "prefixes")...)
			next.Routes[0].DeadlineUs = rapid.Uint64Range(1e5, 1e6).Draw(rt, "deadline")
			payload, err := publish.EncodeFullConfig(next)
			assert.NilError(rt, err)
			record := platform.Record{Offset: offset, Payload: payload}
			_, err = first.Apply(record)
			assert.NilError(rt, err)
			short := first.CompactRecord(record)
			assert.Assert(rt, len(short.Payload) <= len(payload))
			_, err = follower.Apply(short)
			assert.NilError(rt, err)
			assert.DeepEqual(rt, first.Digest(), follower.Digest())
			_, err = publish.NewStateMachine().Apply(short)
			assert.Assert(rt, err != nil || offset == 1 || len(short.Payload) == len(payload))
		}
	})
}
