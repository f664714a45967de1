package inprocess_test

import (
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/inprocess"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

// TestRaceWithLostAnswers lets operators publish from one base through
// different daemons while the log loses the answer of every append.
func TestRaceWithLostAnswers(t *testing.T) {
	f := start(t, 2)
	f.Log.SetFaults(logservice.Faults{DropResponses: true})
	next := f.current.Clone()
	next.Parameters["slots"] = "24"
	authors := []string{"yaa", "kofi", "ama"}
	verdicts := make([]*admin.Verdict, len(authors))
	failures := make([]error, len(authors))
	var operators conc.WaitGroup
	for i, author := range authors {
		operators.Go(func() {
			edition := inprocess.Edition{Author: author, Base: f.version, Current: f.current, Next: next}
			verdicts[i], failures[i] = f.Publish(f.ctx, 2*i, edition)
		})
	}
	operators.Wait()
	f.Log.SetFaults(logservice.Faults{})
	var winner *admin.Verdict
	for i := range authors {
		assert.NilError(t, failures[i])
		if verdicts[i].Outcome == publish.Accepted.String() {
			assert.Assert(t, winner == nil, "two publications were accepted")
			winner = verdicts[i]
		}
	}
	assert.Assert(t, winner != nil, "no publication was accepted")
	for _, verdict := range verdicts {
		if verdict != winner {
			assert.Equal(t, verdict.Outcome, publish.Conflict.String())
			assert.Equal(t, verdict.ConflictVersion, winner.Version)
		}
	}
	assert.NilError(t, f.AwaitOffset(f.ctx, winner.Version))
	f.finish()
}

// TestHerdReturnsToASlowPlatform restarts all daemons at once while each
// request to the log takes long; nothing is left to catch up from but the log.
func TestHerdReturnsToASlowPlatform(t *testing.T) {
	const delayMillis = 300
	f := start(t, 4)
	f.Log.SetFaults(logservice.Faults{DelayMillis: delayMillis})
	var all []int
	for index := range f.Hosts {
		all = append(all, index)
	}
	assert.NilError(t, f.Restart(f.ctx, all...))
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	assert.NilError(t, f.AwaitTargets(f.ctx))
	f.change(5, "24")
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.serves(0, 4, 8)
	f.Log.SetFaults(logservice.Faults{})
	f.finish()
}

// TestDrainWhileAZoneIsCut drains a target while another zone cannot hear of
// it; the target's own daemon refuses until the cut has healed.
func TestDrainWhileAZoneIsCut(t *testing.T) {
	f := start(t, 2)
	f.Network.Cut(zones[0].zone, zones[1].zone)
	f.Network.Cut(zones[0].zone, zones[2].zone)
	_, err := f.Admin(0).Drain(f.ctx, true)
	assert.NilError(t, err)
	before := len(f.Hosts[0].Target.Runs())
	f.serves(2, 3, 4, 5)
	answer, err := f.Call(f.ctx, 1, statusPath, "")
	assert.NilError(t, err)
	if answer.Failed() {
		assert.Equal(t, answer.Outcome, "not-run")
	}
	assert.Equal(t, len(f.Hosts[0].Target.Runs()), before)
	f.Network.Heal()
	f.awaitReach(2, 0, true)
	f.serves(0, 1, 2, 3, 4, 5)
	assert.Equal(t, len(f.Hosts[0].Target.Runs()), before)
	f.finish()
}
