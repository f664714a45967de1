package distribute

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// latencies are the simulated one-way latencies.
var latencies = map[peer.Scope]time.Duration{
	peer.WithinZone:     100 * time.Microsecond,
	peer.BetweenZones:   500 * time.Microsecond,
	peer.BetweenRegions: 20 * time.Millisecond,
}

// logHost is the location of the log service.
var logHost = peer.Identity{Host: "store", Zone: "greater-accra-a", Region: "greater-accra"}

// delayedConn delays the data in each direction.
type delayedConn struct {
	net.Conn
	delay time.Duration
	in    chan chunk
	out   chan chunk
	rest  []byte
	once  sync.Once
	done  chan struct{}
}

type chunk struct {
	due   time.Time
	bytes []byte
	err   error
}

func delayed(conn net.Conn, delay time.Duration) net.Conn {
	c := &delayedConn{Conn: conn, delay: delay, in: make(chan chunk, 256), out: make(chan chunk, 256), done: make(chan struct{})}
	go c.receive()
	go c.send()
	return c
}

func (c *delayedConn) receive() {
	for {
		buffer := make([]byte, 16<<10)
		n, err := c.Conn.Read(buffer)
		select {
		case c.in <- chunk{due: time.Now().Add(c.delay), bytes: buffer[:n], err: err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *delayedConn) send() {
	for {
		select {
		case next := <-c.out:
			time.Sleep(time.Until(next.due))
			if _, err := c.Conn.Write(next.bytes); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case next := <-c.in:
			time.Sleep(time.Until(next.due))
			if next.err != nil {
				return 0, next.err
			}
			c.rest = next.bytes
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *delayedConn) Write(p []byte) (int, error) {
	select {
	case c.out <- chunk{due: time.Now().Add(c.delay), bytes: append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Deadlines of the remote end are not simulated: they limit only the hello and
// writes.
func (c *delayedConn) SetDeadline(time.Time) error      { return nil }
func (c *delayedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// loopbackMesh is a set of daemons in this process that communicate over TCP.
type loopbackMesh struct {
	t       testing.TB
	service *logservice.Service
	server  *httptest.Server
	members map[string]membership.Member
	// standalone gives each daemon a view that contains only itself, so that it
	// reads the log.
	standalone bool

	mu        sync.Mutex
	addresses map[string]peer.Identity
	listeners map[string]net.Listener
	traffic   *peer.TrafficCounter
	nodes     map[string]*loopbackNode
}

type loopbackNode struct {
	enforcer *enforce.Enforcer
	dist     *Distributor
	cancel   context.CancelFunc
	tasks    *conc.WaitGroup
}

// newLoopback places daemons in three regions of two zones each and starts the
// log service.
func newLoopback(t testing.TB, count int, standalone bool) *loopbackMesh {
	l := &loopbackMesh{
		t: t, standalone: standalone,
		service:   logservice.New(logservice.Options{}),
		members:   make(map[string]membership.Member),
		addresses: make(map[string]peer.Identity),
		listeners: make(map[string]net.Listener),
		traffic:   peer.NewTrafficCounter(),
		nodes:     make(map[string]*loopbackNode),
	}
	l.server = httptest.NewServer(l.service.Handler())
	regions := []string{"greater-accra", "ashanti", "northern"}
	for i := range count {
		region := regions[i%3]
		zone := region + "-" + string("ab"[i/3%2])
		l.addHost(fmt.Sprintf("%s-%03d", zone, i), zone, region)
	}
	return l
}

func (l *loopbackMesh) addHost(host, zone, region string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(l.t, err)
	address := listener.Addr().String()
	l.listeners[host] = listener
	l.addresses[address] = peer.Identity{Host: host, Zone: zone, Region: region}
	l.members[host] = membership.Member{Host: host, Zone: zone, Region: region, ControlAddress: address, State: membership.Alive}
}

// dialer adds the latency to the daemon at an address.
func (l *loopbackMesh) dialer(self peer.Identity) peer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mu.Lock()
		remote := l.addresses[address]
		l.mu.Unlock()
		return dialDelayed(ctx, address, latencies[peer.ScopeOf(self, remote)])
	}
}

func dialDelayed(ctx context.Context, address string, delay time.Duration) (net.Conn, error) {
	time.Sleep(2 * delay)
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return delayed(conn, delay), nil
}

// client returns the log as seen by a daemon; its traffic is counted as kind
// "log".
func (l *loopbackMesh) client(self peer.Identity) platform.Log {
	scope := peer.ScopeOf(self, logHost)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dialDelayed(ctx, address, latencies[scope])
		if err != nil {
			return nil, err
		}
		return l.traffic.WrapConn(conn, peer.TrafficClass{Kind: "log", Scope: scope}), nil
	}}
	return platform.NewClient(l.server.URL, 5*time.Second, transport)
}

func (l *loopbackMesh) start(host string) {
	member := l.members[host]
	self := peer.Identity{Host: host, Zone: member.Zone, Region: member.Region, Incarnation: 1}
	directory := &fakeDirectory{}
	directory.set(host, l.members)
	if l.standalone {
		directory.set(host, map[string]membership.Member{host: member})
	}
	node := &loopbackNode{enforcer: enforce.New(publish.NewStateMachine(), timeline.Discard{}), tasks: &conc.WaitGroup{}}
	node.dist = New(Options{
		Self: self, Log: l.client(self), Enforcer: node.enforcer, Directory: directory,
		// The dialling daemon counts the bytes of both directions.
		Dialer: peer.NewDialer(self, l.traffic, l.dialer(self)),
	})
	server := peer.NewServer(self, peer.NewTrafficCounter(), logging.ForComponent(logging.Discard(), "peer"))
	assert.NilError(l.t, node.dist.Register(server.Mux()))
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	listener := l.listenAgain(host)
	node.tasks.Go(func() { _ = server.Serve(ctx, listener) })
	node.tasks.Go(func() { _ = node.dist.Run(ctx) })
	l.mu.Lock()
	l.nodes[host] = node
	l.mu.Unlock()
}

// listenAgain reopens the listener of a host that was stopped.
func (l *loopbackMesh) listenAgain(host string) net.Listener {
	if listener, ok := l.listeners[host]; ok {
		delete(l.listeners, host)
		return listener
	}
	listener, err := net.Listen("tcp", l.members[host].ControlAddress)
	assert.NilError(l.t, err)
	return listener
}

func (l *loopbackMesh) stop(host string) {
	l.mu.Lock()
	node := l.nodes[host]
	delete(l.nodes, host)
	l.mu.Unlock()
	node.cancel()
	node.tasks.Wait()
}

func (l *loopbackMesh) stopAll() {
	for _, node := range l.nodes {
		node.cancel()
	}
	for _, node := range l.nodes {
		node.tasks.Wait()
	}
	l.server.CloseClientConnections()
	l.server.Close()
}

// logReaderCount returns the number of daemons that read the log.
func (l *loopbackMesh) logReaderCount() int {
	count := 0
	for _, node := range l.nodes {
		if node.dist.state.isLogReader() {
			count++
		}
	}
	return count
}
