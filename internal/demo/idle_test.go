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
	// idleSettle lets what a start causes come to rest.
	idleSettle = 8 * time.Second
	// idleSpan is how long idle cost is measured.
	idleSpan = 10 * time.Second
)

// idlePlaces spreads hosts over five zones of two regions.
func idlePlaces(count int) []inprocess.Place {
	services := []string{"railway/heater-status", "railway/inspection-ledger"}
	var places []inprocess.Place
	for i := range count {
		zone := i % idleZones
		places = append(places, inprocess.Place{
			Host:    fmt.Sprintf("host-%d", i),
			Zone:    fmt.Sprintf("zone-%d", zone),
			Region:  fmt.Sprintf("region-%d", zone/3),
			Service: services[i/idleZones%len(services)],
		})
	}
	return places
}

// cost is what a mesh has spent.
type cost struct {
	at    time.Time
	cpu   time.Duration
	bytes map[peer.Scope]uint64
	kinds map[string]uint64
}

func costOf(b *testing.B, m *inprocess.Mesh) cost {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	c := cost{
		at:    time.Now(),
		cpu:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		bytes: map[peer.Scope]uint64{},
		kinds: map[string]uint64{},
	}
	for _, h := range m.Hosts {
		for class, bytes := range h.Daemon.Traffic() {
			c.bytes[class.Scope] += bytes.Sent + bytes.Received
			c.kinds[class.Kind] += bytes.Sent + bytes.Received
		}
	}
	return c
}

// BenchmarkIdle measures what whole daemons and their stand-in targets spend
// while nothing is published or called: bytes sent and received for each
// daemon by scope and kind, processor time, memory and goroutines.
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
	m, err := inprocess.Start(ctx, idlePlaces(count))
	assert.NilError(b, err)
	defer m.Stop()
	assert.NilError(b, newShow(m, io.Discard).publication(ctx))
	wait.For(ctx, idleSettle)

	before := costOf(b, m)
	wait.For(ctx, idleSpan)
	after := costOf(b, m)

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
