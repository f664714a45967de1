package demo

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/inprocess"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	idleZones = 5
	// idleSettleTime lets the mesh become idle after the first publication.
	idleSettleTime = 8 * time.Second
	// idleDuration is how long the idle cost is measured.
	idleDuration = 10 * time.Second
)

// idleSpecs distributes hosts over idleZones zones in two regions.
func idleSpecs(count int) []inprocess.HostSpec {
	services := []string{"railway/heater-status", "railway/inspection-ledger"}
	var specs []inprocess.HostSpec
	for i := range count {
		zone := i % idleZones
		specs = append(specs, inprocess.HostSpec{
			Host:    fmt.Sprintf("host-%d", i),
			Zone:    fmt.Sprintf("zone-%d", zone),
			Region:  fmt.Sprintf("region-%d", zone/3),
			Service: services[i/idleZones%len(services)],
		})
	}
	return specs
}

// usage is what a mesh has used so far: CPU time of the process, and bytes sent
// and received by scope and by kind.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes map[peer.Scope]uint64
	kinds map[string]uint64
}

func usageOf(b *testing.B, m *inprocess.Mesh) usage {
	var rusage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &rusage))
	u := usage{
		at:    time.Now(),
		cpu:   time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		bytes: map[peer.Scope]uint64{},
		kinds: map[string]uint64{},
	}
	for _, h := range m.Hosts {
		for class, bytes := range h.Daemon.Traffic() {
			u.bytes[class.Scope] += bytes.Sent + bytes.Received
			u.kinds[class.Kind] += bytes.Sent + bytes.Received
		}
	}
	return u
}

// BenchmarkIdle measures the cost of daemons and their stand-in targets while
// there are no publications and no calls: bytes sent and received per daemon by
// scope and kind, CPU time, memory and goroutines.
func BenchmarkIdle(b *testing.B) {
	for _, count := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("daemons=%d", count), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, count)
			}
		})
	}
}

func measureIdle(b *testing.B, count int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	m, err := inprocess.Start(ctx, idleSpecs(count))
	assert.NilError(b, err)
	defer m.Stop()
	assert.NilError(b, newRunner(m, io.Discard).firstPublication(ctx))
	wait.For(ctx, idleSettleTime)

	before := usageOf(b, m)
	wait.For(ctx, idleDuration)
	after := usageOf(b, m)

	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	daemons := float64(count)
	seconds := after.at.Sub(before.at).Seconds()
	perSecond := func(now, earlier uint64) float64 { return float64(now-earlier) / daemons / seconds }
	for _, scope := range []peer.Scope{peer.WithinZone, peer.BetweenZones, peer.BetweenRegions} {
		b.ReportMetric(perSecond(after.bytes[scope], before.bytes[scope]), "B/s-"+scope.String())
	}
	for kind, bytes := range after.kinds {
		b.ReportMetric(perSecond(bytes, before.kinds[kind]), "B/s-"+kind)
	}
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/daemons/seconds, "%core")
	b.ReportMetric(float64(memory.HeapAlloc+memory.StackInuse)/daemons/(1<<20), "MiB")
	b.ReportMetric(float64(runtime.NumGoroutine())/daemons, "goroutines")
	b.ReportMetric(0, "ns/op")
}
