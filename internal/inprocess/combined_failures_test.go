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

// TestConcurrentPublicationsWithLostResponses has operators publish from the same
// base through different daemons while the log drops the response of every
// append. Exactly one publication may be accepted.
func TestConcurrentPublicationsWithLostResponses(t *testing.T) {
	f := startMesh(t, 2)
	f.Log.SetFaults(logservice.Faults{DropResponses: true})
	next := f.current.Clone()
	next.Parameters["slots"] = "24"
	authors := []string{"yaa", "kofi", "ama"}
	verdicts := make([]*admin.Verdict, len(authors))
	failures := make([]error, len(authors))
	var operators conc.WaitGroup
	for i, author := range authors {
		operators.Go(func() {
			request := inprocess.PublishRequest{Author: author, Base: f.version, Current: f.current, Next: next}
			verdicts[i], failures[i] = f.Publish(f.ctx, 2*i, request)
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
	f.stopAndCheckTimeline()
}

// TestMassRestartWithSlowLog restarts all daemons at once while the log responds
// slowly. No daemon is left to catch up from, so all must catch up from the log.
func TestMassRestartWithSlowLog(t *testing.T) {
	const delayMillis = 300
	f := startMesh(t, 4)
	f.Log.SetFaults(logservice.Faults{DelayMillis: delayMillis})
	var all []int
	for index := range f.Hosts {
		all = append(all, index)
	}
	assert.NilError(t, f.Restart(f.ctx, all...))
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	assert.NilError(t, f.AwaitReadyTargets(f.ctx))
	f.publishSlots(5, "24")
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.assertServes(0, 4, 8)
	f.Log.SetFaults(logservice.Faults{})
	f.stopAndCheckTimeline()
}

// TestDrainDuringZonePartition drains a target while its zone is partitioned from
// the others, which therefore don't learn of it. The target's own daemon refuses
// calls to it until the partition heals.
func TestDrainDuringZonePartition(t *testing.T) {
	f := startMesh(t, 2)
	f.Network.Partition(zones[0].zone, zones[1].zone)
	f.Network.Partition(zones[0].zone, zones[2].zone)
	_, err := f.Admin(0).Drain(f.ctx, true)
	assert.NilError(t, err)
	before := len(f.Hosts[0].Target.Runs())
	f.assertServes(2, 3, 4, 5)
	response, err := f.Call(f.ctx, 1, statusPath, "")
	assert.NilError(t, err)
	if response.Failed() {
		assert.Equal(t, response.Outcome, "not-run")
	}
	assert.Equal(t, len(f.Hosts[0].Target.Runs()), before)
	f.Network.Heal()
	f.awaitReachability(2, 0, true)
	f.assertServes(0, 1, 2, 3, 4, 5)
	assert.Equal(t, len(f.Hosts[0].Target.Runs()), before)
	f.stopAndCheckTimeline()
}
