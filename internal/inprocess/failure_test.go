package inprocess_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/examples"
	"github.com/mulberrybank/mulberrybank/internal/inprocess"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	statusPath = "/railway/status/heaters/17"
	// testLimit bounds the waits of one test.
	testLimit = 60 * time.Second
	// outageTimeout bounds a publication that cannot succeed.
	outageTimeout = 2 * time.Second
)

// zones are three zones of two regions.
var zones = []struct{ zone, region string }{
	{"greater-accra-a", "greater-accra"},
	{"greater-accra-b", "greater-accra"},
	{"ashanti-a", "ashanti"},
}

// fixture is a mesh with the railway's workspace in force.
type fixture struct {
	*inprocess.Mesh
	t       *testing.T
	ctx     context.Context
	current *publish.Source
	version uint64
}

// start starts so many hosts in each zone and publishes the first version.
func start(t *testing.T, perZone int) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	services := []string{"railway/heater-status", "railway/inspection-ledger"}
	var places []inprocess.Place
	for _, zone := range zones {
		for i := range perZone {
			places = append(places, inprocess.Place{
				Host:    fmt.Sprintf("%s-%d", zone.zone, i),
				Zone:    zone.zone,
				Region:  zone.region,
				Service: services[i%len(services)],
			})
		}
	}
	mesh, err := inprocess.Start(ctx, places)
	assert.NilError(t, err)
	f := &fixture{Mesh: mesh, t: t, ctx: ctx}
	first, err := examples.Load("railway")
	assert.NilError(t, err)
	f.accept(0, first)
	assert.NilError(t, mesh.AwaitOffset(ctx, f.version))
	assert.NilError(t, mesh.AwaitTargets(ctx))
	return f
}

// accept publishes a source through one daemon.
func (f *fixture) accept(index int, next *publish.Source) {
	f.t.Helper()
	verdict, err := f.Publish(f.ctx, index, inprocess.Edition{Author: "test", Base: f.version, Current: f.current, Next: next})
	assert.NilError(f.t, err)
	assert.Equal(f.t, verdict.Outcome, publish.Accepted.String())
	f.current, f.version = next, verdict.Version
}

// change publishes a change of one parameter through one daemon.
func (f *fixture) change(index int, slots string) {
	f.t.Helper()
	next := f.current.Clone()
	next.Parameters["slots"] = slots
	f.accept(index, next)
}

// serves asserts that a look-up through each of some hosts is answered.
func (f *fixture) serves(indexes ...int) {
	f.t.Helper()
	for _, index := range indexes {
		answer, err := f.Call(f.ctx, index, statusPath, "")
		assert.NilError(f.t, err)
		assert.Assert(f.t, !answer.Failed(), "through %s: %s", f.Hosts[index].Place.Host, answer)
	}
}

// awaitReach waits until one daemon is in contact with another, or is not.
func (f *fixture) awaitReach(from, to int, reachable bool) {
	f.t.Helper()
	host := f.Hosts[to].Place.Host
	for f.ctx.Err() == nil {
		members, err := f.Admin(from).Members(f.ctx)
		assert.NilError(f.t, err)
		for _, member := range members.Members {
			if member.Host == host && (member.Reach == "reachable") == reachable {
				return
			}
		}
		wait.For(f.ctx, 20*time.Millisecond)
	}
	f.t.Fatalf("%s does not see %s as reachable=%t", f.Hosts[from].Place.Host, host, reachable)
}

// finish stops the mesh and checks every promise on its time line.
func (f *fixture) finish() {
	f.t.Helper()
	f.Stop()
	bounds := timeline.Bounds{Drain: timeline.DefaultDrainBound, Propagation: testLimit}
	for _, violation := range timeline.CheckWithin(f.Events(), bounds) {
		f.t.Errorf("%s", violation)
	}
}

// TestCutZoneServesAndCatchesUp cuts a zone off from everything, publishes
// elsewhere and heals the cut.
func TestCutZoneServesAndCatchesUp(t *testing.T) {
	f := start(t, 2)
	cut := zones[1].zone
	for _, other := range []string{inprocess.Platform, zones[0].zone, zones[2].zone} {
		f.Network.Cut(cut, other)
	}
	before := f.version
	f.change(0, "24")
	assert.NilError(t, f.AwaitOffsetOn(f.ctx, f.version, 0, 1, 4, 5))
	for _, index := range []int{2, 3} {
		assert.Equal(t, uint64(f.Hosts[index].Daemon.Version()), before)
	}
	f.awaitReach(2, 4, false)
	f.awaitReach(0, 2, false)
	f.serves(0, 2, 3, 4)
	f.Network.Heal()
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.awaitReach(2, 4, true)
	f.awaitReach(0, 2, true)
	f.finish()
}

// TestZoneWithoutPlatformCatchesUpFromPeers cuts two of three zones off from
// the platform only.
func TestZoneWithoutPlatformCatchesUpFromPeers(t *testing.T) {
	f := start(t, 2)
	f.Network.Cut(zones[0].zone, inprocess.Platform)
	f.Network.Cut(zones[2].zone, inprocess.Platform)
	f.change(2, "24")
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.finish()
}

// TestRegionsApart cuts the regions off from each other, with the platform in
// the first, and heals the cut.
func TestRegionsApart(t *testing.T) {
	f := start(t, 2)
	far := zones[2].zone
	for _, other := range []string{inprocess.Platform, zones[0].zone, zones[1].zone} {
		f.Network.Cut(far, other)
	}
	f.change(1, "24")
	f.change(2, "25")
	f.serves(0, 2, 4, 5)

	ctx, cancel := context.WithTimeout(f.ctx, outageTimeout)
	_, err := f.Publish(ctx, 4, inprocess.Edition{Author: "far", Base: f.version, Current: f.current, Next: f.current})
	cancel()
	assert.Assert(t, err != nil)

	f.Network.Heal()
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.finish()
}

// TestZoneReturnsDuringOutage restarts every daemon of a zone at once while
// the platform is out; they have their version from other zones.
func TestZoneReturnsDuringOutage(t *testing.T) {
	f := start(t, 2)
	f.Log.SetFaults(logservice.Faults{Silent: true})
	assert.NilError(t, f.Restart(f.ctx, 2, 3))
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	assert.NilError(t, f.AwaitTargets(f.ctx))
	f.serves(2, 3)
	f.Log.SetFaults(logservice.Faults{})
	f.finish()
}

// TestHerdReturnSparesThePlatform restarts all daemons but those of one zone
// at once and counts what reaches the log.
func TestHerdReturnSparesThePlatform(t *testing.T) {
	const (
		perZone = 16
		// maxRequests is the bound for the whole return, two for each daemon
		// that returns; a daemon that has the log as its only source takes more.
		maxRequests = 2 * 2 * perZone
	)
	f := start(t, perZone)
	var herd []int
	for index := perZone; index < len(f.Hosts); index++ {
		herd = append(herd, index)
	}
	before := f.Log.Counts()
	assert.NilError(t, f.Restart(f.ctx, herd...))
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	assert.NilError(t, f.AwaitTargets(f.ctx))
	after := f.Log.Counts()
	requests := after.Reads + after.Appends - before.Reads - before.Appends
	t.Logf("%d requests", requests)
	assert.Assert(t, requests <= maxRequests, "%d requests", requests)
	f.finish()
}
