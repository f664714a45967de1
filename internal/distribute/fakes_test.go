package distribute

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// fakeStateMachine hashes the payloads of the records.
type fakeStateMachine struct {
	offset uint64
	sum    uint64
	// skew makes the digest differ from that of other state machines.
	skew byte
	// failPayload is the payload that this state machine cannot apply.
	failPayload atomic.Pointer[string]
}

func (f *fakeStateMachine) failOn(payload string) { f.failPayload.Store(&payload) }

func (f *fakeStateMachine) Apply(record platform.Record) (*publish.Verdict, error) {
	if failing := f.failPayload.Load(); failing != nil && string(record.Payload) == *failing {
		return nil, errors.New("unknown schema")
	}
	f.offset = record.Offset
	f.sum = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, f.sum), record.Payload...))
	return nil, nil
}

// HasConfiguration implements enforce.StateMachine.
func (*fakeStateMachine) HasConfiguration() bool { return true }

func (f *fakeStateMachine) Configuration() *publish.Configuration {
	return &publish.Configuration{Version: publish.Version(f.offset)}
}
func (f *fakeStateMachine) Offset() uint64                                       { return f.offset }
func (f *fakeStateMachine) IsSelfContained(platform.Record) bool                 { return false }
func (f *fakeStateMachine) CompactRecord(record platform.Record) platform.Record { return record }
func (f *fakeStateMachine) Verdicts() []publish.Verdict                          { return nil }

func (f *fakeStateMachine) Source(string) (*publish.Source, publish.Version, bool) {
	return nil, 0, false
}
func (f *fakeStateMachine) Digest() []byte {
	return binary.BigEndian.AppendUint64(nil, f.sum^uint64(f.skew))
}

func (f *fakeStateMachine) Snapshot() ([]byte, error) {
	state := binary.BigEndian.AppendUint64(nil, f.offset)
	state = binary.BigEndian.AppendUint64(state, f.sum)
	return binary.BigEndian.AppendUint64(state, xxhash.Sum64(state)), nil
}

func (f *fakeStateMachine) Restore(state []byte) error {
	if len(state) != 24 || xxhash.Sum64(state[:16]) != binary.BigEndian.Uint64(state[16:]) {
		return errors.New("damaged")
	}
	f.offset = binary.BigEndian.Uint64(state)
	f.sum = binary.BigEndian.Uint64(state[8:])
	return nil
}

// fakeLog is an in-memory log that can be unavailable or slow.
type fakeLog struct {
	mu          sync.Mutex
	streams     map[string][]platform.Record
	oldest      map[string]uint64
	changed     chan struct{}
	unavailable map[string]bool
	slow        time.Duration
	// batch limits the records of one response, 0 for no limit.
	batch int
	reads int
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		streams:     make(map[string][]platform.Record),
		oldest:      make(map[string]uint64),
		changed:     make(chan struct{}),
		unavailable: make(map[string]bool),
	}
}

// clientFor returns the log as seen by one host.
func (l *fakeLog) clientFor(host string, net *fakeNet) platform.Log {
	return &hostLog{fakeLog: l, host: host, net: net}
}

type hostLog struct {
	*fakeLog
	host string
	net  *fakeNet
}

var errLogUnavailable = errors.New("connection refused")

// setUnavailable cuts hosts off from the log or reconnects them; no hosts means
// all.
func (l *fakeLog) setUnavailable(unavailable bool, hosts ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, host := range hosts {
		l.unavailable[host] = unavailable
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// setSlow delays every response.
func (l *fakeLog) setSlow(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = delay
}

func (l *fakeLog) add(payloads ...string) uint64 {
	var last uint64
	for _, payload := range payloads {
		last = l.put(platform.ConfigurationStream, []byte(payload))
	}
	return last
}

func (l *fakeLog) put(stream string, payload []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.streams[stream])) + 1
	l.streams[stream] = append(l.streams[stream], platform.Record{Offset: offset, Appended: time.Now(), Payload: payload})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// expire drops the records before an offset.
func (l *fakeLog) expire(stream string, oldest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest[stream] = oldest
}

func (l *fakeLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *hostLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	if l.isUnavailable() {
		return 0, errLogUnavailable
	}
	return l.put(stream, payload), nil
}

func (l *hostLog) isUnavailable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unavailable[l.host] || l.unavailable[""]
}

func (l *hostLog) Read(ctx context.Context, stream string, from uint64, hold time.Duration) (platform.ReadResult, error) {
	defer l.net.gate(l.host)
	l.mu.Lock()
	l.reads++
	slow := l.slow
	l.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
	deadline := time.After(hold)
	for {
		result, changed, err := l.readNow(stream, from)
		if err == nil {
			err = l.transfer(ctx, result.Records)
		}
		if err != nil || len(result.Records) > 0 || hold == 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-deadline:
			return result, nil
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
}

// transfer takes as long as the link of the host takes for records.
func (l *hostLog) transfer(ctx context.Context, records []platform.Record) error {
	for _, record := range records {
		for segment := range slices.Chunk(record.Payload, segmentBytes) {
			if !wait.For(ctx, l.net.transferTime(len(segment))) {
				return idle.Error(ctx, ctx.Err())
			}
			idle.Progress(ctx)
		}
	}
	return nil
}

func (l *hostLog) readNow(stream string, from uint64) (platform.ReadResult, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable[l.host] || l.unavailable[""] {
		return platform.ReadResult{}, nil, errLogUnavailable
	}
	records := l.streams[stream]
	oldest := max(1, l.oldest[stream])
	if from < oldest {
		result := platform.ReadResult{Oldest: oldest, Next: uint64(len(records)) + 1}
		return result, nil, &platform.ExpiredError{Stream: stream, From: from, Oldest: oldest}
	}
	result := platform.ReadResult{Oldest: oldest, Next: uint64(len(records)) + 1}
	if from <= uint64(len(records)) {
		result.Records = records[from-1:]
	}
	if l.batch > 0 {
		result.Records = result.Records[:min(l.batch, len(result.Records))]
	}
	return result, l.changed, nil
}

// fakeNet connects daemons by in-memory pipes that can be cut or drop all data.
type fakeNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cut       map[string]bool
	conns     map[*pipeConn]struct{}
	paused    map[string]chan struct{}
	// rate is how many bytes a second each host sends, 0 for no limit.
	rate  int
	links map[string]*fakeLink
}

func newFakeNet() *fakeNet {
	return &fakeNet{
		listeners: make(map[string]*pipeListener),
		cut:       make(map[string]bool),
		conns:     make(map[*pipeConn]struct{}),
		paused:    make(map[string]chan struct{}),
		links:     make(map[string]*fakeLink),
	}
}

// setRate limits how many bytes a second each host sends and reads from the log.
func (n *fakeNet) setRate(bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = bytesPerSecond
}

// transferTime returns how long a number of bytes take over a link.
func (n *fakeNet) transferTime(bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rate == 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(n.rate)
}

// segmentBytes is how much arrives at a time over a link with a rate.
const segmentBytes = 1400

// fakeLink is the link of one host. It sends a segment of each connection in turn.
type fakeLink struct {
	net   *fakeNet
	mu    sync.Mutex
	turns []*pipeBuffer
	left  map[*pipeBuffer][]byte
}

// send delivers what a host writes to a connection.
func (n *fakeNet) send(host string, out *pipeBuffer, p []byte) {
	if n.transferTime(1) == 0 {
		out.change(func() { out.data = append(out.data, p...) })
		return
	}
	n.mu.Lock()
	link := n.links[host]
	if link == nil {
		link = &fakeLink{net: n, left: make(map[*pipeBuffer][]byte)}
		n.links[host] = link
	}
	n.mu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	idle := len(link.turns) == 0
	if len(link.left[out]) == 0 {
		link.turns = append(link.turns, out)
	}
	link.left[out] = append(link.left[out], p...)
	if idle {
		link.sendNext()
	}
}

// sendNext sends the next segment. The caller holds mu.
func (l *fakeLink) sendNext() {
	out := l.turns[0]
	segment := l.left[out][:min(segmentBytes, len(l.left[out]))]
	time.AfterFunc(l.net.transferTime(len(segment)), func() {
		out.change(func() { out.data = append(out.data, segment...) })
		l.mu.Lock()
		defer l.mu.Unlock()
		l.turns = l.turns[1:]
		l.left[out] = l.left[out][len(segment):]
		if len(l.left[out]) > 0 {
			l.turns = append(l.turns, out)
		}
		if len(l.turns) > 0 {
			l.sendNext()
		}
	})
}

// pause stops a host from reading and writing until resume is called.
func (n *fakeNet) pause(host string) (resume func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	resumed := make(chan struct{})
	n.paused[host] = resumed
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.paused, host)
		close(resumed)
	}
}

// gate blocks while a host is paused.
func (n *fakeNet) gate(host string) {
	n.mu.Lock()
	resumed := n.paused[host]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// partition cuts or restores the network between two groups of hosts. Open
// connections across the cut stay open but drop all data.
func (n *fakeNet) partition(cut bool, one, other []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range one {
		for _, b := range other {
			n.cut[a+"|"+b] = cut
			n.cut[b+"|"+a] = cut
		}
	}
	if !cut {
		return
	}
	for conn := range n.conns {
		if n.cut[conn.from+"|"+conn.to] {
			conn.blackhole()
		}
	}
}

// blackhole makes the open connections between two hosts drop all data; new
// connections work.
func (n *fakeNet) blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.from == a && conn.to == b || conn.from == b && conn.to == a {
			conn.blackhole()
		}
	}
}

func (n *fakeNet) dialer(from string) peer.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.gate(from)
		n.mu.Lock()
		defer n.mu.Unlock()
		listener := n.listeners[address]
		if listener == nil || n.cut[from+"|"+address] {
			return nil, errors.New("unreachable")
		}
		near, far := newPipe(n, from, address)
		n.conns[near] = struct{}{}
		n.conns[far] = struct{}{}
		select {
		case listener.accepted <- far:
			return near, nil
		case <-listener.closed:
			return nil, errors.New("refused")
		}
	}
}

func (n *fakeNet) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &pipeListener{accepted: make(chan net.Conn, 1000), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

// pipeBuffer is one direction of a pipe. Writes never block, so that no library
// holds a lock while a test waits for time to pass.
type pipeBuffer struct {
	mu     sync.Mutex
	data   []byte
	closed bool
	wake   chan struct{}
}

func newPipeBuffer() *pipeBuffer { return &pipeBuffer{wake: make(chan struct{})} }

func (b *pipeBuffer) change(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	close(b.wake)
	b.wake = make(chan struct{})
}

func (b *pipeBuffer) take(p []byte) (n int, closed bool, wake chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = copy(p, b.data)
	b.data = b.data[n:]
	return n, b.closed, b.wake
}

// pipeConn is one end of a pipe. A blackholed end discards what is written.
type pipeConn struct {
	net        *fakeNet
	from, to   string
	in, out    *pipeBuffer
	once       sync.Once
	blackholed chan struct{}
	closed     chan struct{}
	closing    sync.Once
	deadline   atomic.Pointer[time.Time]
}

// newPipe returns the two ends of a connection between hosts.
func newPipe(n *fakeNet, from, to string) (near, far *pipeConn) {
	outbound, inbound := newPipeBuffer(), newPipeBuffer()
	near = &pipeConn{net: n, from: from, to: to, in: inbound, out: outbound, blackholed: make(chan struct{}), closed: make(chan struct{})}
	far = &pipeConn{net: n, from: to, to: from, in: outbound, out: inbound, blackholed: make(chan struct{}), closed: make(chan struct{})}
	return near, far
}

func (c *pipeConn) blackhole() { c.once.Do(func() { close(c.blackholed) }) }

func (c *pipeConn) Read(p []byte) (int, error) {
	for {
		c.net.gate(c.from)
		c.net.gate(c.to)
		n, ended, wake := c.in.take(p)
		if n > 0 {
			return n, nil
		}
		if ended {
			return 0, io.EOF
		}
		if err := c.await(wake); err != nil {
			return 0, err
		}
	}
}

// await waits for data, the end of the connection or the deadline.
func (c *pipeConn) await(wake chan struct{}) error {
	var expired <-chan time.Time
	if deadline := c.deadline.Load(); deadline != nil && !deadline.IsZero() {
		timer := time.NewTimer(time.Until(*deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-wake:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

func (c *pipeConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.blackholed:
		return len(p), nil
	default:
	}
	c.net.send(c.from, c.out, p)
	return len(p), nil
}

func (c *pipeConn) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return nil
}

func (c *pipeConn) SetWriteDeadline(time.Time) error  { return nil }
func (c *pipeConn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }
func (c *pipeConn) LocalAddr() net.Addr               { return &net.UnixAddr{Name: c.from} }
func (c *pipeConn) RemoteAddr() net.Addr              { return &net.UnixAddr{Name: c.to} }

func (c *pipeConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	c.closing.Do(func() { close(c.closed) })
	select {
	case <-c.blackholed:
		// The other end is not notified of the close.
	default:
		c.out.change(func() { c.out.closed = true })
	}
	return nil
}

type pipeListener struct {
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// fakeDirectory returns a view that tests set.
type fakeDirectory struct {
	mu   sync.Mutex
	view *membership.View
}

func (d *fakeDirectory) View() *membership.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

func (d *fakeDirectory) Changed() <-chan struct{} { return make(chan struct{}) }

func (d *fakeDirectory) set(self string, members map[string]membership.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = &membership.View{Self: members[self], Members: membership.NewMap(members)}
}

// eventLog records the events of a daemon.
type eventLog struct {
	mu     sync.Mutex
	events []timeline.Event
}

func (l *eventLog) Record(event timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *eventLog) count(kind timeline.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, event := range l.events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// node is one daemon of a test.
type node struct {
	member       membership.Member
	stateMachine *fakeStateMachine
	enforcer     *enforce.Enforcer
	dist         *Distributor
	directory    *fakeDirectory
	events       *eventLog
	metrics      *metrics.Set
	traffic      *peer.TrafficCounter
	cancel       context.CancelFunc
	tasks        *conc.WaitGroup
}

// mesh is a set of daemons that share one fake network and one fake log.
type mesh struct {
	t       *testing.T
	net     *fakeNet
	log     *fakeLog
	members map[string]membership.Member
	nodes   map[string]*node
	options Options
	// failure is the first invariant violation that was observed.
	failure error
}

func newMesh(t *testing.T) *mesh {
	m := &mesh{t: t, net: newFakeNet(), log: newFakeLog(), members: make(map[string]membership.Member), nodes: make(map[string]*node)}
	t.Cleanup(m.stopAll)
	return m
}

// zone adds members named "<zone>-0" and so on without starting them.
func (m *mesh) zone(region, zone string, count int) []string {
	var hosts []string
	for i := range count {
		host := fmt.Sprintf("%s-%d", zone, i)
		m.members[host] = membership.Member{Host: host, Zone: zone, Region: region, ControlAddress: host, State: membership.Alive}
		hosts = append(hosts, host)
	}
	return hosts
}

// start starts daemons that know all members.
func (m *mesh) start(hosts ...string) {
	for _, host := range hosts {
		m.startNode(host, &fakeStateMachine{})
	}
}

func (m *mesh) startAll() {
	for host := range m.members {
		m.start(host)
	}
}

func (m *mesh) startNode(host string, stateMachine *fakeStateMachine) *node {
	member := m.members[host]
	n := &node{member: member, stateMachine: stateMachine, events: &eventLog{}, directory: &fakeDirectory{}, metrics: metrics.NewSet(), traffic: peer.NewTrafficCounter(), tasks: &conc.WaitGroup{}}
	n.enforcer = enforce.New(stateMachine, n.events)
	n.directory.set(host, m.members)
	self := peer.Identity{Host: host, Zone: member.Zone, Region: member.Region, Incarnation: 1}
	options := m.options
	options.Self = self
	options.Log = m.log.clientFor(host, m.net)
	options.Enforcer = n.enforcer
	options.Directory = n.directory
	options.Dialer = peer.NewDialer(self, n.traffic, m.net.dialer(host))
	options.Events = n.events
	options.Metrics = n.metrics
	n.dist = New(options)
	server := peer.NewServer(self, n.traffic, logging.ForComponent(logging.Discard(), "peer"))
	assert.NilError(m.t, n.dist.Register(server.Mux()))
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	listener := m.net.listen(member.ControlAddress)
	n.tasks.Go(func() { _ = server.Serve(ctx, listener) })
	n.tasks.Go(func() { _ = n.dist.Run(ctx) })
	m.nodes[host] = n
	return n
}

// kill stops a daemon and its connections.
func (m *mesh) kill(host string) {
	n := m.nodes[host]
	delete(m.nodes, host)
	n.cancel()
	n.tasks.Wait()
	m.net.mu.Lock()
	delete(m.net.listeners, host)
	m.net.mu.Unlock()
}

func (m *mesh) stopAll() {
	for _, n := range m.nodes {
		n.cancel()
	}
	for _, n := range m.nodes {
		n.tasks.Wait()
	}
}

// setReachability sets the reachability of members in the view of every daemon.
func (m *mesh) setReachability(reach membership.Reachability, hosts ...string) {
	members := make(map[string]membership.Member, len(m.members))
	for host, member := range m.members {
		members[host] = member
	}
	for _, host := range hosts {
		member := members[host]
		member.Reachability = reach
		members[host] = member
	}
	m.members = members
	for host, n := range m.nodes {
		n.directory.set(host, members)
	}
}

// waitFor returns when every daemon has reached an offset.
func (m *mesh) waitFor(offset uint64, within time.Duration) {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for host, n := range m.nodes {
		err := n.enforcer.Wait(ctx, offset)
		have, _ := n.enforcer.Position()
		assert.NilError(m.t, err, "%s is at offset %d", host, have)
	}
}

// logReaders returns the hosts that currently read the log.
func (m *mesh) logReaders() []string {
	var hosts []string
	for host, n := range m.nodes {
		if n.dist.state.isLogReader() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
