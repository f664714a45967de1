package membership

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/peer"
)

const (
	zoneLatency   = 500 * time.Microsecond
	regionLatency = 20 * time.Millisecond
)

// mesh runs daemons in memory.
type mesh struct {
	t       *testing.T
	net     *fakeNetwork
	daemons map[string]*daemon
}

// daemon is one process of a mesh.
type daemon struct {
	*Membership
	identity peer.Identity
	traffic  *peer.TrafficCounter
	stop     context.CancelFunc
	tasks    conc.WaitGroup
	// open counts the accepted connections that are not closed.
	open *atomic.Int64
}

func newMesh(t *testing.T) *mesh {
	return &mesh{t: t, net: newFakeNetwork(), daemons: make(map[string]*daemon)}
}

// start starts a daemon on a host.
func (m *mesh) start(region, zone, host string, incarnation uint64, seeds ...string) *daemon {
	return m.startWith(Options{
		Identity: peer.Identity{Host: host, Zone: zone, Region: region, Incarnation: incarnation},
		Seeds:    seeds,
	})
}

func (m *mesh) startWith(options Options) *daemon {
	id := options.Identity
	options.Self = Member{Host: id.Host, Zone: id.Zone, Region: id.Region, ControlAddress: id.Host, CallsAddress: id.Host}
	traffic := peer.NewTrafficCounter()
	options.Dialer = peer.NewDialer(id, traffic, m.net.dialFrom(id))
	d := &daemon{Membership: New(options), identity: id, traffic: traffic}
	log := logging.ForComponent(logrus.New(), "peer")
	server := peer.NewServer(id, traffic, log)
	if err := d.Register(server.Mux()); err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(m.t.Context())
	d.stop = cancel
	listener := m.net.listen(id)
	d.open = &listener.open
	d.tasks.Go(func() { _ = server.Serve(ctx, listener) })
	d.tasks.Go(func() { _ = d.Run(ctx) })
	m.daemons[id.Host] = d
	return d
}

// kill stops a daemon without notice to its peers.
func (m *mesh) kill(host string) {
	d := m.daemons[host]
	delete(m.daemons, host)
	d.stop()
	d.tasks.Wait()
}

func (m *mesh) killAll() {
	for host := range m.daemons {
		m.daemons[host].stop()
	}
	for host := range m.daemons {
		m.kill(host)
	}
	m.net.tasks.Wait()
}

// waitUntil waits in virtual time until a condition holds on all daemons.
func (m *mesh) waitUntil(limit time.Duration, what string, holds func(d *daemon) bool) time.Duration {
	m.t.Helper()
	start := time.Now()
	for time.Since(start) <= limit {
		synctest.Wait()
		if m.all(holds) {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for host, d := range m.daemons {
		if !holds(d) {
			m.t.Fatalf("%s: not %s after %s: %s", host, what, limit, formatView(d.View()))
		}
	}
	m.t.Fatalf("not all %s at one time within %s", what, limit)
	return 0
}

func (m *mesh) all(holds func(d *daemon) bool) bool {
	for _, d := range m.daemons {
		if !holds(d) {
			return false
		}
	}
	return true
}

func formatView(view *View) string {
	text := fmt.Sprintf("stale=%t", view.Stale)
	for host, member := range view.Members.All() {
		text += fmt.Sprintf(" %s:state=%d,target=%d,reachability=%d,version=%v", host, member.State, member.TargetState, member.Reachability, member.Version)
	}
	return text
}

// knowsAll returns a condition that a view holds count hosts, all reachable.
func knowsAll(count int) func(d *daemon) bool {
	return func(d *daemon) bool {
		return d.View().Members.Len() == count && d.View().reachable() == count
	}
}

// fakeNetwork connects daemons through pipes with latency and faults.
type fakeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*fakeListener
	// partitioned reports whether traffic from one daemon to another is lost.
	partitioned func(from, to peer.Identity) bool
	// blackholed reports whether bytes are lost on connections opened up to
	// blackholedUntil.
	blackholed      func(from, to peer.Identity) bool
	blackholedUntil time.Time
	// paused holds the time until which a host neither sends nor receives.
	paused map[string]time.Time
	tasks  conc.WaitGroup
}

func newFakeNetwork() *fakeNetwork {
	never := func(peer.Identity, peer.Identity) bool { return false }
	return &fakeNetwork{listeners: make(map[string]*fakeListener), paused: make(map[string]time.Time), partitioned: never, blackholed: never}
}

func (f *fakeNetwork) setPartition(partitioned func(from, to peer.Identity) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

// blackhole makes open connections lose bytes. New ones work.
func (f *fakeNetwork) blackhole(blackholed func(from, to peer.Identity) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholed = blackholed
	f.blackholedUntil = time.Now()
}

// pause delays all traffic of a host for a time, as if its process was stopped.
func (f *fakeNetwork) pause(host string, span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[host] = time.Now().Add(span)
}

// waitWhilePaused waits until neither of two hosts is paused.
func (f *fakeNetwork) waitWhilePaused(a, b string) {
	f.mu.Lock()
	until := f.paused[a]
	if f.paused[b].After(until) {
		until = f.paused[b]
	}
	f.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (f *fakeNetwork) heal() {
	never := func(peer.Identity, peer.Identity) bool { return false }
	f.setPartition(never)
	f.blackhole(never)
}

func (f *fakeNetwork) isPartitioned(from, to peer.Identity) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned(from, to)
}

func (f *fakeNetwork) isBlackholed(from, to peer.Identity, opened time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned(from, to) || !opened.After(f.blackholedUntil) && f.blackholed(from, to)
}

func (f *fakeNetwork) listen(id peer.Identity) *fakeListener {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener := &fakeListener{id: id, conns: make(chan net.Conn), closed: make(chan struct{}), network: f}
	f.listeners[id.Host] = listener
	return listener
}

func (f *fakeNetwork) dialFrom(from peer.Identity) peer.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		f.mu.Lock()
		listener, ok := f.listeners[address]
		f.mu.Unlock()
		if !ok {
			return nil, syscall.ECONNREFUSED
		}
		if f.isPartitioned(from, listener.id) || f.isPartitioned(listener.id, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := f.pipe(from, listener.id)
		select {
		case listener.conns <- far:
			return near, nil
		case <-listener.closed:
		case <-ctx.Done():
		}
		_ = near.Close()
		_ = far.Close()
		return nil, syscall.ECONNREFUSED
	}
}

// pipe returns both ends of a connection with latency.
func (f *fakeNetwork) pipe(from, to peer.Identity) (near, far net.Conn) {
	near, nearWire := net.Pipe()
	far, farWire := net.Pipe()
	f.tasks.Go(func() { f.relay(nearWire, farWire, from, to) })
	f.tasks.Go(func() { f.relay(farWire, nearWire, to, from) })
	return near, far
}

// relay copies one direction of a connection with latency and faults.
func (f *fakeNetwork) relay(in, out net.Conn, from, to peer.Identity) {
	type chunk struct {
		data []byte
		due  time.Time
	}
	opened := time.Now()
	chunks := make(chan chunk, 64)
	f.tasks.Go(func() {
		for c := range chunks {
			time.Sleep(time.Until(c.due))
			f.waitWhilePaused(from.Host, to.Host)
			if f.isBlackholed(from, to, opened) {
				continue
			}
			if _, err := out.Write(c.data); err != nil {
				_ = in.Close()
			}
		}
		if !f.isBlackholed(from, to, opened) {
			_ = out.Close()
		}
	})
	defer close(chunks)
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(latency(from, to))}
		}
		if err != nil {
			return
		}
	}
}

func latency(from, to peer.Identity) time.Duration {
	if from.Region != to.Region {
		return regionLatency
	}
	return zoneLatency
}

type fakeListener struct {
	id      peer.Identity
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
	network *fakeNetwork
	open    atomic.Int64
}

// openConn is counted as open until it is closed.
type openConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

func (c *openConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		l.open.Add(1)
		return &openConn{Conn: conn, open: &l.open}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.id.Host] == l {
			delete(l.network.listeners, l.id.Host)
		}
	})
	return nil
}

func (l *fakeListener) Addr() net.Addr { return fakeAddr(l.id.Host) }

type fakeAddr string

func (fakeAddr) Network() string  { return "fake" }
func (a fakeAddr) String() string { return string(a) }

// newUnconnected returns a membership without connections.
func newUnconnected(host string) *Membership {
	return New(Options{
		Self:     Member{Host: host, Zone: "z", Region: "r", ControlAddress: host},
		Identity: peer.Identity{Host: host, Zone: "z", Region: "r", Incarnation: 1},
	})
}

// exchangeHeartbeat passes one heartbeat from a to b. A dropped answer ends
// the connection, so that the next heartbeat is the first of another.
func exchangeHeartbeat(a, b *Membership, n *neighbour, dropAnswer bool) {
	conn := &inboundConn{}
	request, progress := a.newRequest(n, b.options.Identity, true)
	b.mergeEntries(request.GetEntries(), a.options.Self.Host)
	answer := b.newAnswer(a.options.Identity, conn, request)
	if dropAnswer {
		a.abandonComparison(request)
		return
	}
	a.handleAnswer(n, b.options.Identity, request, answer, progress)
}
