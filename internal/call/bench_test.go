package call_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/load"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// Paths to one target: without a daemon, through its own, and through another.
const (
	direct = "direct"
	one    = "one daemon"
	two    = "two daemons"
)

// warmup is how long calls are made before they are measured.
const warmup = 500 * time.Millisecond

// pathCallers returns a caller for each path, on a mesh of two hosts.
func pathCallers(b *testing.B) (callers map[string]*load.HTTPCaller) {
	manySlots := func(service *publish.Service, _ *publish.Route) { service.Slots, service.Queue = 100, 100 }
	m := newMesh(b, 2, config(manySlots), withoutSampling)
	m.nodes[1].routeOnlyTo(m.nodes[1])
	m.nodes[0].routeOnlyTo(m.nodes[1])
	caller := func(address, path string) *load.HTTPCaller {
		transport := load.NewTransport()
		b.Cleanup(transport.CloseIdleConnections)
		return &load.HTTPCaller{Addresses: []string{address}, LookupPath: path, Timeout: 5 * time.Second, Transport: transport}
	}
	return map[string]*load.HTTPCaller{
		direct: caller(m.nodes[1].target.Address(), "/points?size=200"),
		one:    caller(m.nodes[1].callers.Listener.Addr().String(), "/"+lookups+"/points?size=200"),
		two:    caller(m.nodes[0].callers.Listener.Addr().String(), "/"+lookups+"/points?size=200"),
	}
}

// BenchmarkCall makes calls one after the other: time and allocations include
// those of the caller and the target.
func BenchmarkCall(b *testing.B) {
	callers := pathCallers(b)
	for _, path := range []string{direct, one, two} {
		b.Run(path, func(b *testing.B) {
			b.ReportAllocs()
			for number := range b.N {
				if _, ending := callers[path].Call(b.Context(), number); ending != load.Answered {
					b.Fatal("call failed")
				}
			}
		})
	}
}

// BenchmarkAddedLatency compares the latencies of the paths at constant rates in
// one run.
func BenchmarkAddedLatency(b *testing.B) {
	callers := pathCallers(b)
	var results []*load.Result
	for _, rate := range []float64{116, 1000} {
		for _, path := range []string{direct, one, two} {
			results = append(results, measure(b, path, callers[path], rate, 8*time.Second))
		}
	}
	assert.NilError(b, load.WriteTable(os.Stdout, results...))
	writePlot(b, "MULBERRYBANK_LATENCY_SVG", results[:3]...)
}

// writePlot writes a plot to the file that an environment variable names.
func writePlot(b *testing.B, variable string, results ...*load.Result) {
	path := os.Getenv(variable)
	if path == "" {
		return
	}
	file, err := os.Create(path)
	assert.NilError(b, err)
	defer file.Close()
	assert.NilError(b, load.WriteSVG(file, results...))
}

func measure(b *testing.B, name string, caller load.Caller, rate float64, duration time.Duration) *load.Result {
	result, err := load.Run(b.Context(), load.Options{
		Name: name, Caller: caller, Rate: rate, Warmup: warmup, Duration: duration,
	})
	assert.NilError(b, err)
	return result
}

// serviceSize is the size of a service with 6 targets: the slots of each target
// and the time that a request takes.
type serviceSize struct {
	slots int
	work  time.Duration
}

const upstreams = 6

// capacity returns the calls per second that a number of targets can serve.
func (s serviceSize) capacity(targets int) float64 {
	return float64(targets*s.slots) / s.work.Seconds()
}

// degraded returns the behaviours of the degraded targets: one is slow, one fails
// requests but reports itself healthy, one is draining.
func degraded(work time.Duration) []target.Behaviour {
	return []target.Behaviour{
		{Delay: settings.Duration(10 * work)},
		{Fail: true, ReportHealthy: true},
		{State: target.StateDraining, Delay: settings.Duration(work)},
	}
}

// BenchmarkGoodput offers 0.5 to 4 times the capacity of the healthy targets to a
// service through its daemons and, as the baseline, directly to its targets.
func BenchmarkGoodput(b *testing.B) {
	for _, size := range []serviceSize{{slots: 6, work: 50 * time.Millisecond}, {slots: 20, work: 100 * time.Millisecond}} {
		for _, first := range [][]target.Behaviour{nil, degraded(size.work)} {
			b.Run(fmt.Sprintf("slots=%d/troubled=%d", size.slots, len(first)), func(b *testing.B) {
				goodput(b, size, first)
			})
		}
	}
}

func goodput(b *testing.B, size serviceSize, first []target.Behaviour) {
	const (
		deadline = 500 * time.Millisecond
		duration = 2 * time.Second
	)
	capacity := size.capacity(upstreams - len(first))
	var results []*load.Result
	for _, factor := range []float64{0.5, 1, 2, 4} {
		mesh, naive := goodputCallers(b, size, first, deadline)
		results = append(results,
			measure(b, fmt.Sprintf("mesh %gx", factor), mesh, factor*capacity, duration),
			measure(b, fmt.Sprintf("naive %gx", factor), naive, factor*capacity, duration))
	}
	assert.NilError(b, load.WriteTable(os.Stdout, results...))
}

func goodputCallers(b *testing.B, size serviceSize, first []target.Behaviour, deadline time.Duration) (mesh, naive load.Caller) {
	return goodputCallersWith(b, size, first, deadline, func(*publish.Service, *publish.Route) {})
}

func goodputCallersWith(b *testing.B, size serviceSize, first []target.Behaviour, deadline time.Duration, change func(*publish.Service, *publish.Route)) (mesh, naive load.Caller) {
	sized := func(service *publish.Service, route *publish.Route) {
		change(service, route)
		service.Slots, service.Queue = size.slots, size.slots
		service.QueueTimeout = deadline / 2
	}
	m := newMesh(b, upstreams, config(sized), withoutSampling)
	var daemons, targets []string
	for i, n := range m.nodes {
		behaviour := target.Behaviour{Delay: settings.Duration(size.work)}
		if i < len(first) {
			behaviour = first[i]
		}
		n.setBehaviour(behaviour)
		n.setState(behaviour.State)
		daemons = append(daemons, n.callers.Listener.Addr().String())
		targets = append(targets, n.target.Address())
	}
	m.shareView()
	transport := func() http.RoundTripper {
		transport := load.NewTransport()
		b.Cleanup(transport.CloseIdleConnections)
		return transport
	}
	mesh = &load.HTTPCaller{Addresses: daemons, LookupPath: "/" + lookups, Timeout: deadline, Transport: transport()}
	naive = &load.NaiveCaller{
		Addresses: targets, Path: "/", Timeout: deadline, AttemptTimeout: deadline / 2,
		Retries: 3, Transport: transport(),
	}
	return mesh, naive
}

// BenchmarkHedge compares look-ups with and without hedging while one target is
// slow, and while each target stalls now and then.
func BenchmarkHedge(b *testing.B) {
	const (
		deadline = 2 * time.Second
		duration = 5 * time.Second
	)
	size := serviceSize{slots: 6, work: 10 * time.Millisecond}
	slow := target.Behaviour{Delay: settings.Duration(20 * size.work)}
	stall := target.Behaviour{Delay: settings.Duration(size.work), Stall: settings.Duration(20 * size.work), StallEvery: 50}
	for name, first := range map[string][]target.Behaviour{
		"slow":   {slow},
		"stalls": {stall, stall, stall, stall, stall, stall},
	} {
		for _, factor := range []float64{0.3, 0.6} {
			b.Run(fmt.Sprintf("%s/load=%g", name, factor), func(b *testing.B) {
				var results []*load.Result
				for _, hedge := range []time.Duration{0, 2 * size.work} {
					mesh, _ := goodputCallersWith(b, size, first, deadline, func(_ *publish.Service, route *publish.Route) {
						route.Hedge = hedge
						route.RetryBudget = 0.2
					})
					results = append(results, measure(b, "hedge "+hedge.String(), mesh, factor*size.capacity(upstreams), duration))
				}
				assert.NilError(b, load.WriteTable(os.Stdout, results...))
			})
		}
	}
}
