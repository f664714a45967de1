package membership

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

const (
	benchRegions = 2
	benchZones   = 5
	// benchDuration is how long idle daemons are measured.
	benchDuration = 10 * time.Second
	// benchTimeout bounds the wait for a condition.
	benchTimeout = 60 * time.Second
)

// fleet runs daemons in this process over loopback, with latency added to the
// connections between zones and regions.
type fleet struct {
	daemons []*fleetDaemon
	seeds   []string
	// identities maps an address to the peer.Identity that listens there.
	identities sync.Map
	cancel     context.CancelFunc
	tasks      conc.WaitGroup
}

type fleetDaemon struct {
	*Membership
	traffic *peer.TrafficCounter
	stop    context.CancelFunc
}

// startFleet starts daemons spread over the zones, with complete addresses (IP
// and port).
func startFleet(b *testing.B, count int) *fleet {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	f := &fleet{cancel: cancel, daemons: make([]*fleetDaemon, count)}
	for number := range count {
		f.start(ctx, b, number, "127.0.0.1:0")
	}
	return f
}

// start starts or restarts one daemon.
func (f *fleet) start(ctx context.Context, b *testing.B, number int, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	address = listener.Addr().String()
	id := fleetIdentity(number)
	f.identities.Store(address, id)
	ctx, stop := context.WithCancel(ctx)
	traffic := peer.NewTrafficCounter()
	d := &fleetDaemon{traffic: traffic, stop: stop, Membership: New(Options{
		Self:            Member{Host: id.Host, Zone: id.Zone, Region: id.Region, ControlAddress: address, CallsAddress: address},
		Identity:        id,
		Dialer:          peer.NewDialer(id, traffic, f.dialFrom(id)),
		Seeds:           f.seeds,
		AppliedPosition: func() (uint64, []byte) { return 1, make([]byte, 32) },
	})}
	server := peer.NewServer(id, traffic, logging.ForComponent(logging.Discard(), "peer"))
	if err := d.Register(server.Mux()); err != nil {
		b.Fatal(err)
	}
	f.daemons[number] = d
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, address)
	}
	f.tasks.Go(func() { _ = server.Serve(ctx, listener) })
	f.tasks.Go(func() { _ = d.Run(ctx) })
}

func fleetIdentity(number int) peer.Identity {
	zone := number % (benchRegions * benchZones)
	return peer.Identity{
		Host:        fmt.Sprintf("host-%04d", number),
		Region:      fmt.Sprintf("region-%d", zone/benchZones),
		Zone:        fmt.Sprintf("zone-%d-%d", zone/benchZones, zone%benchZones),
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// dialFrom returns a dial function whose connections have latency.
func (f *fleet) dialFrom(from peer.Identity) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		value, _ := f.identities.Load(address)
		to := value.(peer.Identity)
		if to.Zone == from.Zone {
			return raw, nil
		}
		near, far := net.Pipe()
		delay := latency(from, to)
		f.tasks.Go(func() { f.relay(raw, far, delay) })
		f.tasks.Go(func() { f.relay(far, raw, delay) })
		return near, nil
	}
}

// relay copies one direction of a connection with latency.
func (f *fleet) relay(in, out net.Conn, delay time.Duration) {
	type chunk struct {
		data []byte
		due  time.Time
	}
	chunks := make(chan chunk, 256)
	f.tasks.Go(func() {
		defer out.Close()
		for c := range chunks {
			time.Sleep(time.Until(c.due))
			if _, err := out.Write(c.data); err != nil {
				_ = in.Close()
			}
		}
	})
	defer close(chunks)
	buffer := make([]byte, 16<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(delay)}
		}
		if err != nil {
			return
		}
	}
}

func (f *fleet) stop() {
	f.cancel()
	f.tasks.Wait()
}

// waitUntil waits until a condition holds on each daemon in turn.
func (f *fleet) waitUntil(b *testing.B, what string, holds func(*View) bool) time.Duration {
	b.Helper()
	start := time.Now()
	for _, d := range f.daemons {
		for changed := d.Changed(); !holds(d.View()); changed = d.Changed() {
			select {
			case <-changed:
			case <-time.After(benchTimeout):
				b.Fatalf("%s: not %s", d.options.Self.Host, what)
			}
		}
	}
	return time.Since(start)
}

// announceAll announces a target on every daemon, so that entries have their
// full size.
func (f *fleet) announceAll(b *testing.B) {
	for number, d := range f.daemons {
		service := fmt.Sprintf("workspace-%02d/service-%02d", number%16, number%10)
		if err := d.Announce(Announcement{Service: service, Address: "127.0.0.1:1", Slots: 20, State: "ready"}); err != nil {
			b.Fatal(err)
		}
	}
}

// renewAll renews the announcements for the length of span.
func (f *fleet) renewAll(b *testing.B, span time.Duration) {
	for start := time.Now(); time.Since(start) < span; time.Sleep(time.Second) {
		f.announceAll(b)
	}
}

// bytes returns the bytes sent, by daemon and by scope.
func (f *fleet) bytes() (byDaemon []uint64, byScope map[peer.Scope]uint64) {
	byScope = make(map[peer.Scope]uint64)
	for _, d := range f.daemons {
		sum := uint64(0)
		for class, bytes := range d.traffic.Snapshot() {
			sum += bytes.Sent
			byScope[class.Scope] += bytes.Sent
		}
		byDaemon = append(byDaemon, sum)
	}
	return byDaemon, byScope
}

// entryCounts returns how many entries were published, how many of them to
// refute a report, and how many leases expired. All should be zero in an idle
// mesh.
func (f *fleet) entryCounts() (selfUpdates, refutations, expirations uint64) {
	for _, d := range f.daemons {
		selfUpdates += d.metrics.selfUpdates.Get()
		refutations += d.metrics.refutations.Get()
		expirations += d.metrics.leaseExpirations.Get()
	}
	return selfUpdates, refutations, expirations
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkIdle measures the cost of daemons that have no changes to send.
func BenchmarkIdle(b *testing.B) {
	for _, count := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("daemons=%d", count), func(b *testing.B) {
			for range b.N {
				benchIdle(b, count)
			}
		})
	}
}

func benchIdle(b *testing.B, count int) {
	before := memoryInUse()
	f := startFleet(b, count)
	defer f.stop()
	complete := func(v *View) bool { return v.reachable() == count }
	joined := f.waitUntil(b, "complete", complete)
	f.renewAll(b, 10*time.Second)
	bytesBefore, scopesBefore := f.bytes()
	selfUpdatesBefore, refutationsBefore, expirationsBefore := f.entryCounts()
	processorBefore := processorTime()
	f.renewAll(b, benchDuration)
	processor := processorTime() - processorBefore
	bytesAfter, scopesAfter := f.bytes()
	selfUpdates, refutations, expirations := f.entryCounts()
	memory := memoryInUse() - before
	highest, total := uint64(0), uint64(0)
	for i := range bytesAfter {
		sent := bytesAfter[i] - bytesBefore[i]
		highest = max(highest, sent)
		total += sent
	}
	seconds := benchDuration.Seconds()
	daemons := float64(count)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(joined.Seconds(), "join-s")
	b.ReportMetric(float64(selfUpdates-selfUpdatesBefore), "written")
	b.ReportMetric(float64(refutations-refutationsBefore), "disputes")
	b.ReportMetric(float64(expirations-expirationsBefore), "lapses")
	b.ReportMetric(float64(total)/daemons/seconds, "sent-B/s/daemon")
	b.ReportMetric(float64(highest)/seconds, "sent-B/s/highest")
	for scope := range scopesAfter {
		rate := float64(scopesAfter[scope]-scopesBefore[scope]) / seconds
		b.ReportMetric(rate, "sent-B/s/all-"+scope.String())
	}
	b.ReportMetric(100*processor.Seconds()/seconds/daemons, "core-%/daemon")
	b.ReportMetric(float64(memory)/daemons/1024, "KiB/daemon")
}

// BenchmarkChange measures the time until all daemons see a change of a
// target's state, and the bytes sent for it.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("daemons=%d", count), func(b *testing.B) {
			for range b.N {
				benchChange(b, count)
			}
		})
	}
}

func benchChange(b *testing.B, count int) {
	const changes = 20
	f := startFleet(b, count)
	defer f.stop()
	f.waitUntil(b, "complete", func(v *View) bool { return v.reachable() == count })
	f.announceAll(b)
	f.renewAll(b, 5*time.Second)
	idleBefore, _ := f.bytes()
	f.renewAll(b, 5*time.Second)
	idleAfter, _ := f.bytes()
	start := time.Now()
	slowest := time.Duration(0)
	for i := range changes {
		f.announceAll(b)
		d := f.daemons[(i*7)%count]
		host := d.options.Self.Host
		d.Drain()
		took := f.waitUntil(b, "draining", func(v *View) bool { return v.Members.At(host).TargetState == Draining })
		slowest = max(slowest, took)
	}
	f.renewAll(b, 2*time.Second)
	span := time.Since(start)
	after, _ := f.bytes()
	idle := float64(sum(idleAfter)-sum(idleBefore)) / 5
	cost := float64(sum(after)-sum(idleAfter)) - idle*span.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(slowest.Seconds()*1000, "slowest-ms")
	b.ReportMetric(cost/changes/float64(count), "sent-B/change/daemon")
}

// BenchmarkZoneReturn stops all daemons of a zone at once and restarts them.
func BenchmarkZoneReturn(b *testing.B) {
	for _, count := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("daemons=%d", count), func(b *testing.B) {
			for range b.N {
				benchZoneReturn(b, count)
			}
		})
	}
}

func benchZoneReturn(b *testing.B, count int) {
	f := startFleet(b, count)
	defer f.stop()
	complete := func(v *View) bool { return v.reachable() == count }
	f.waitUntil(b, "complete", complete)
	f.renewAll(b, 5*time.Second)
	perZone := count / (benchRegions * benchZones)
	restarted := make(map[string]bool)
	addresses := make(map[int]string)
	for number := 3; number < count; number += benchRegions * benchZones {
		d := f.daemons[number]
		d.stop()
		restarted[d.options.Self.Host] = true
		addresses[number] = d.options.Self.ControlAddress
	}
	survivors := &fleet{}
	for number, d := range f.daemons {
		if _, stopped := addresses[number]; !stopped {
			survivors.daemons = append(survivors.daemons, d)
		}
	}
	gone := survivors.waitUntil(b, "without the zone", func(v *View) bool { return v.reachable() == count-perZone })
	before, _ := survivors.bytes()
	processor := processorTime()
	for number, address := range addresses {
		f.start(b.Context(), b, number, address)
	}
	back := f.waitUntil(b, "complete again", complete)
	processor = processorTime() - processor
	after, _ := survivors.bytes()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(restarted)), "herd")
	b.ReportMetric(gone.Seconds(), "gone-s")
	b.ReportMetric(back.Seconds(), "back-s")
	b.ReportMetric(float64(sum(after)-sum(before))/float64(len(survivors.daemons)), "sent-B/survivor")
	b.ReportMetric(processor.Seconds()*1000/float64(count), "core-ms/daemon")
	for number := range addresses {
		f.daemons[number].stop()
	}
}

func sum(values []uint64) uint64 {
	total := uint64(0)
	for _, value := range values {
		total += value
	}
	return total
}
