package distribute

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Parameters of one benchmark run.
const (
	benchIdle    = 6 * time.Second
	benchChanges = 12
	benchPause   = 500 * time.Millisecond
	benchTimeout = 60 * time.Second
	// benchRestartStride is the inverse of the share of daemons that restart in
	// a wave.
	benchRestartStride = 5
)

const benchTemplate = `{
  "services": [{{range .services}}
    {"name": "{{.}}", "slots": {{$.slots}}, "connections": 100, "queue_timeout": "50ms", "slow_start": "10s"},{{end}}
  ],
  "routes": [{{range .services}}
    {"name": "read-{{.}}", "service": "{{.}}", "idempotent": true, "deadline": "{{$.deadline}}", "retries": 2},
    {"name": "write-{{.}}", "service": "{{.}}", "idempotent": false, "deadline": "{{$.deadline}}"},{{end}}
  ],
}`

// result is one row of the printed table.
type result struct {
	name      string
	daemons   int
	times     []time.Duration
	change    map[peer.Scope]float64
	idle      map[peer.Scope]float64
	idleCPU   float64
	heapBytes float64
}

func BenchmarkConvergence(b *testing.B) {
	for range b.N {
		var rows []result
		for _, count := range []int{50, 100, 200} {
			rows = append(rows, measure(b, "tree", count, false, false))
			rows = append(rows, measure(b, "tree, restart wave", count, false, true))
			rows = append(rows, measure(b, "every daemon reads the log", count, true, false))
		}
		fmt.Println(table(rows))
	}
}

// measure runs one mesh through an idle phase and a phase of changes.
func measure(b *testing.B, name string, count int, standalone, restart bool) result {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	l := newLoopback(b, count, standalone)
	defer l.stopAll()
	version := l.publishFirst()
	for host := range l.members {
		l.start(host)
	}
	l.waitAll(version)
	l.waitUntilStable(standalone)
	row := result{name: name, daemons: count}
	row.idle, row.idleCPU = l.idle(count)
	row.heapBytes = heapSince(before) / float64(count)
	if restart {
		row.times = l.restartWave(version)
		return row
	}
	start := l.traffic.Snapshot()
	began := time.Now()
	for range benchChanges {
		var times []time.Duration
		version, times = l.change(version)
		row.times = append(row.times, times...)
		time.Sleep(benchPause)
	}
	row.change = perChange(l.bytesSince(start), row.idle, time.Since(began), count)
	return row
}

// perChange subtracts the idle traffic from the bytes of a phase with changes.
func perChange(bytes, idle map[peer.Scope]float64, took time.Duration, daemons int) map[peer.Scope]float64 {
	change := make(map[peer.Scope]float64)
	for scope, sent := range bytes {
		change[scope] = (sent - idle[scope]*float64(daemons)*took.Seconds()) / benchChanges
	}
	return change
}

func heapSince(before runtime.MemStats) float64 {
	runtime.GC()
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	return float64(after.HeapInuse+after.StackInuse) - float64(before.HeapInuse+before.StackInuse)
}

// publishFirst publishes a workspace of twenty services.
func (l *loopbackMesh) publishFirst() uint64 {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf(`"service-%02d"`, i))
	}
	return l.append(&publish.Publication{
		Workspace:    "heaters",
		SetTemplates: map[string]string{"main.tmpl": benchTemplate},
		SetParameters: map[string]string{
			"services": "[" + strings.Join(names, ",") + "]", "slots": "20", "deadline": `"250ms"`,
		},
	})
}

func (l *loopbackMesh) append(publication *publish.Publication) uint64 {
	publication.Id = uuid.NewString()
	publication.Author = "abena.owusu@points-safety.example"
	publication.Reason = "More slots before the harmattan: maintainers at Kumasi depot waited for heater status last night, see the duty log of the region."
	publication.Daemon = "greater-accra-a-003"
	payload, err := publish.EncodePublication(publication)
	assert.NilError(l.t, err)
	offset, err := l.service.Append(context.Background(), platform.ConfigurationStream, payload)
	assert.NilError(l.t, err)
	return offset
}

// change publishes one parameter and returns how long each daemon took to apply
// it, from the start of the append.
func (l *loopbackMesh) change(base uint64) (uint64, []time.Duration) {
	times := make(map[string]time.Duration)
	var mu sync.Mutex
	began := time.Now()
	version := l.append(&publish.Publication{
		Workspace: "heaters", Base: base,
		SetParameters: map[string]string{"slots": fmt.Sprint(20 + base)},
	})
	l.each(func(host string, node *loopbackNode, ctx context.Context) error {
		err := node.enforcer.Wait(ctx, version)
		mu.Lock()
		defer mu.Unlock()
		times[host] = time.Since(began)
		return err
	})
	l.checkAccepted(version)
	all := make([]time.Duration, 0, len(times))
	for _, took := range times {
		all = append(all, took)
	}
	return version, all
}

// checkAccepted checks that the change was accepted and not rejected.
func (l *loopbackMesh) checkAccepted(version uint64) {
	for host, node := range l.nodes {
		if got := uint64(node.enforcer.Table().Config.Version); got != version {
			l.t.Fatalf("%s has version %d active, want %d", host, got, version)
		}
	}
}

// each runs one task for each daemon concurrently.
func (l *loopbackMesh) each(task func(host string, node *loopbackNode, ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	tasks := pool.New().WithContext(ctx)
	for host, node := range l.nodes {
		tasks.Go(func(ctx context.Context) error { return task(host, node, ctx) })
	}
	assert.NilError(l.t, tasks.Wait())
}

func (l *loopbackMesh) waitAll(version uint64) {
	l.each(func(_ string, node *loopbackNode, ctx context.Context) error {
		return node.enforcer.Wait(ctx, version)
	})
}

// waitUntilStable waits until each daemon uses its preferred source.
func (l *loopbackMesh) waitUntilStable(standalone bool) {
	want := 3
	if standalone {
		want = len(l.nodes)
	}
	deadline := time.Now().Add(benchTimeout)
	for l.logReaderCount() != want {
		if time.Now().After(deadline) {
			l.t.Fatalf("%d daemons read the log, want %d", l.logReaderCount(), want)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
}

// idle measures traffic and CPU usage per daemon while nothing changes.
func (l *loopbackMesh) idle(count int) (map[peer.Scope]float64, float64) {
	start, cpu := l.traffic.Snapshot(), cpuTime()
	time.Sleep(benchIdle)
	used := (cpuTime() - cpu).Seconds() / benchIdle.Seconds() / float64(count)
	bytes := l.bytesSince(start)
	for scope := range bytes {
		bytes[scope] /= benchIdle.Seconds() * float64(count)
	}
	return bytes, used
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// restartWave restarts a share of the daemons at once, publishes a change
// during the wave and returns how long each daemon took to apply it.
func (l *loopbackMesh) restartWave(base uint64) []time.Duration {
	hosts := make([]string, 0, len(l.nodes))
	for host := range l.nodes {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for i := 0; i < len(hosts); i += benchRestartStride {
		l.stop(hosts[i])
		l.start(hosts[i])
	}
	_, times := l.change(base)
	return times
}

func (l *loopbackMesh) bytesSince(start map[peer.TrafficClass]peer.ByteCounts) map[peer.Scope]float64 {
	bytes := make(map[peer.Scope]float64)
	for class, now := range l.traffic.Snapshot() {
		bytes[class.Scope] += float64(now.Sent + now.Received - start[class].Sent - start[class].Received)
	}
	return bytes
}

// table formats the rows.
func table(rows []result) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "daemons\tway\tmedian\tp99\tmax\tB/change zone\tregion\tcross-region\tidle B/s zone\tregion\tcross-region\tidle CPU %\tkB\t")
	for _, row := range rows {
		slices.Sort(row.times)
		at := func(share float64) time.Duration {
			return row.times[int(share*float64(len(row.times)-1))].Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t", row.daemons, row.name, at(0.5), at(0.99), at(1))
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t", changeColumns(row.change), row.idle[peer.WithinZone], row.idle[peer.BetweenZones], row.idle[peer.BetweenRegions])
		fmt.Fprintf(w, "%.2f\t%.0f\t\n", 100*row.idleCPU, row.heapBytes/1024)
	}
	_ = w.Flush()
	return text.String()
}

func changeColumns(change map[peer.Scope]float64) string {
	if change == nil {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%.0f\t%.0f\t%.0f", change[peer.WithinZone], change[peer.BetweenZones], change[peer.BetweenRegions])
}
