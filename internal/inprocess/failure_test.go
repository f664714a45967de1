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
	// testTimeout bounds each test.
	testTimeout = 60 * time.Second
	// outageTimeout bounds a publication that is expected to fail.
	outageTimeout = 2 * time.Second
)

var zones = []struct{ zone, region string }{
	{"greater-accra-a", "greater-accra"},
	{"greater-accra-b", "greater-accra"},
	{"ashanti-a", "ashanti"},
}

// fixture is a mesh with an active configuration of the railway workspace.
type fixture struct {
	*inprocess.Mesh
	t       *testing.T
	ctx     context.Context
	current *publish.Source
	version uint64
}

// startMesh starts hostsPerZone hosts in each zone and publishes the first
// version.
func startMesh(t *testing.T, hostsPerZone int) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	services := []string{"railway/heater-status", "railway/inspection-ledger"}
	var specs []inprocess.HostSpec
	for _, zone := range zones {
		for i := range hostsPerZone {
			specs = append(specs, inprocess.HostSpec{
				Host:    fmt.Sprintf("%s-%d", zone.zone, i),
				Zone:    zone.zone,
				Region:  zone.region,
				Service: services[i%len(services)],
			})
		}
	}
	mesh, err := inprocess.Start(ctx, specs)
	assert.NilError(t, err)
	f := &fixture{Mesh: mesh, t: t, ctx: ctx}
	first, err := examples.Load("railway")
	assert.NilError(t, err)
	f.mustPublish(0, first)
	assert.NilError(t, mesh.AwaitOffset(ctx, f.version))
	assert.NilError(t, mesh.AwaitReadyTargets(ctx))
	return f
}

// mustPublish publishes a source through one daemon and asserts that it is
// accepted.
func (f *fixture) mustPublish(index int, next *publish.Source) {
	f.t.Helper()
	verdict, err := f.Publish(f.ctx, index, inprocess.PublishRequest{Author: "test", Base: f.version, Current: f.current, Next: next})
	assert.NilError(f.t, err)
	assert.Equal(f.t, verdict.Outcome, publish.Accepted.String())
	f.current, f.version = next, verdict.Version
}

// publishSlots publishes a new value of the parameter slots through one daemon.
func (f *fixture) publishSlots(index int, slots string) {
	f.t.Helper()
	next := f.current.Clone()
	next.Parameters["slots"] = slots
	f.mustPublish(index, next)
}

// assertServes asserts that a lookup through each given host succeeds.
func (f *fixture) assertServes(indexes ...int) {
	f.t.Helper()
	for _, index := range indexes {
		response, err := f.Call(f.ctx, index, statusPath, "")
		assert.NilError(f.t, err)
		assert.Assert(f.t, !response.Failed(), "through %s: %s", f.Hosts[index].Spec.Host, response)
	}
}

// awaitReachability waits until one daemon sees another as reachable, or as not
// reachable.
func (f *fixture) awaitReachability(from, to int, reachable bool) {
	f.t.Helper()
	host := f.Hosts[to].Spec.Host
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
	f.t.Fatalf("%s does not see %s as reachable=%t", f.Hosts[from].Spec.Host, host, reachable)
}

// stopAndCheckTimeline stops the mesh and checks every invariant on the merged
// timeline.
func (f *fixture) stopAndCheckTimeline() {
	f.t.Helper()
	f.Stop()
	bounds := timeline.Bounds{Drain: timeline.DefaultDrainBound, Propagation: testTimeout}
	for _, violation := range timeline.CheckWithin(f.Events(), bounds) {
		f.t.Errorf("%s", violation)
	}
}

// TestPartitionedZoneServesAndCatchesUp isolates a zone from the other zones and
// the platform, publishes elsewhere and heals the partition.
func TestPartitionedZoneServesAndCatchesUp(t *testing.T) {
	f := startMesh(t, 2)
	isolated := zones[1].zone
	for _, other := range []string{inprocess.Platform, zones[0].zone, zones[2].zone} {
		f.Network.Partition(isolated, other)
	}
	before := f.version
	f.publishSlots(0, "24")
	assert.NilError(t, f.AwaitOffsetOn(f.ctx, f.version, 0, 1, 4, 5))
	for _, index := range []int{2, 3} {
		assert.Equal(t, uint64(f.Hosts[index].Daemon.Version()), before)
	}
	f.awaitReachability(2, 4, false)
	f.awaitReachability(0, 2, false)
	f.assertServes(0, 2, 3, 4)
	f.Network.Heal()
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.awaitReachability(2, 4, true)
	f.awaitReachability(0, 2, true)
	f.stopAndCheckTimeline()
}

// TestZonesWithoutPlatformCatchUpFromPeers partitions two of three zones from the
// platform only.
func TestZonesWithoutPlatformCatchUpFromPeers(t *testing.T) {
	f := startMesh(t, 2)
	f.Network.Partition(zones[0].zone, inprocess.Platform)
	f.Network.Partition(zones[2].zone, inprocess.Platform)
	f.publishSlots(2, "24")
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.stopAndCheckTimeline()
}

// TestRegionPartition partitions the regions from each other, with the platform
// in the first region, and heals the partition.
func TestRegionPartition(t *testing.T) {
	f := startMesh(t, 2)
	remote := zones[2].zone
	for _, other := range []string{inprocess.Platform, zones[0].zone, zones[1].zone} {
		f.Network.Partition(remote, other)
	}
	f.publishSlots(1, "24")
	f.publishSlots(2, "25")
	f.assertServes(0, 2, 4, 5)

	ctx, cancel := context.WithTimeout(f.ctx, outageTimeout)
	_, err := f.Publish(ctx, 4, inprocess.PublishRequest{Author: "far", Base: f.version, Current: f.current, Next: f.current})
	cancel()
	assert.Assert(t, err != nil)

	f.Network.Heal()
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	f.stopAndCheckTimeline()
}

// TestZoneRestartDuringPlatformOutage restarts all daemons of a zone at once
// during a platform outage. They must get their version from other zones.
func TestZoneRestartDuringPlatformOutage(t *testing.T) {
	f := startMesh(t, 2)
	f.Log.SetFaults(logservice.Faults{Silent: true})
	assert.NilError(t, f.Restart(f.ctx, 2, 3))
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	assert.NilError(t, f.AwaitReadyTargets(f.ctx))
	f.assertServes(2, 3)
	f.Log.SetFaults(logservice.Faults{})
	f.stopAndCheckTimeline()
}

// TestMassRestartLimitsLogRequests restarts the daemons of all zones but one at
// once and counts the requests to the log.
func TestMassRestartLimitsLogRequests(t *testing.T) {
	const (
		hostsPerZone = 16
		// maxRequests allows two requests for each restarted daemon; a daemon
		// that has the log as its only source needs more.
		maxRequests = 2 * 2 * hostsPerZone
	)
	f := startMesh(t, hostsPerZone)
	var restarted []int
	for index := hostsPerZone; index < len(f.Hosts); index++ {
		restarted = append(restarted, index)
	}
	before := f.Log.Counts()
	assert.NilError(t, f.Restart(f.ctx, restarted...))
	assert.NilError(t, f.AwaitOffset(f.ctx, f.version))
	assert.NilError(t, f.AwaitReadyTargets(f.ctx))
	after := f.Log.Counts()
	requests := after.Reads + after.Appends - before.Reads - before.Appends
	t.Logf("%d requests", requests)
	assert.Assert(t, requests <= maxRequests, "%d requests", requests)
	f.stopAndCheckTimeline()
}
