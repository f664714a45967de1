package call_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const (
	lookups = "railway/heater-status"
	orders  = "railway/work-orders"
)

// config returns a service with an idempotent route and one that is not.
func config(change func(*publish.Service, *publish.Route)) *publish.Configuration {
	service := &publish.Service{
		Name: "railway/status", Slots: 4, Queue: 4, Connections: 100,
		QueueTimeout: 50 * time.Millisecond,
	}
	read := &publish.Route{
		Name: lookups, Service: service.Name, Idempotent: true,
		Deadline: 5 * time.Second, Retries: 2, RetryBudget: 0.2,
	}
	if change != nil {
		change(service, read)
	}
	write := *read
	write.Name = orders
	write.Idempotent = false
	return &publish.Configuration{
		Version:  7,
		Services: map[string]*publish.Service{service.Name: service},
		Routes:   map[string]*publish.Route{lookups: read, orders: &write},
	}
}

type tables struct{ table atomic.Pointer[enforce.Table] }

func (t *tables) Table() *enforce.Table { return t.table.Load() }

// directory is the view of one daemon.
type directory struct {
	view atomic.Pointer[membership.View]
}

func (d *directory) View() *membership.View   { return d.view.Load() }
func (d *directory) Changed() <-chan struct{} { return nil }

// events keeps what a daemon recorded.
type events struct {
	mu   sync.Mutex
	list []timeline.Event
}

func (e *events) Record(event timeline.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, event)
}

func (e *events) of(kind timeline.Kind, id string) []timeline.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []timeline.Event
	for _, event := range e.list {
		if event.Kind == kind && event.Call == id {
			found = append(found, event)
		}
	}
	return found
}

// keys runs each key once on one host, as the home of all.
type keys struct {
	host string
	mu   sync.Mutex
	runs map[string]*keyRun
	// refusal is the answer to every key, nil to run them.
	refusal *once.Refusal
}

type keyRun struct {
	keys   *keys
	key    string
	answer *call.StoredResponse
}

func (k *keys) Home(*publish.Configuration, string, string) (string, error) { return k.host, nil }

func (k *keys) Claim(_ *publish.Configuration, _, key string) (call.KeyClaim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.refusal != nil {
		return nil, k.refusal
	}
	if run, found := k.runs[key]; found {
		if run.answer == nil {
			return nil, &once.Refusal{Reason: once.AlreadyRan, EarlierMayHaveRun: true}
		}
		return run, nil
	}
	run := &keyRun{keys: k, key: key}
	k.runs[key] = run
	return run, nil
}

func (r *keyRun) Replay() (*call.StoredResponse, bool) {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	return r.answer, r.answer != nil
}

func (r *keyRun) Complete(answer *call.StoredResponse) {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	r.answer = answer
}

func (r *keyRun) Release() {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	delete(r.keys.runs, r.key)
}

// node is one host: a daemon and its target.
type node struct {
	name    string
	target  *target.Target
	server  *call.Server
	callers *httptest.Server
	peers   *httptest.Server
	events  *events
	tables  *tables
	dir     *directory
	keys    *keys
	member  membership.Member
	// address replaces that of the target.
	address atomic.Pointer[string]
}

func (n *node) TargetAddress() (address, instance string) {
	if address := n.address.Load(); address != nil {
		return *address, ""
	}
	return n.target.Address(), ""
}

// behave changes the behaviour of the host's target.
func (n *node) behave(behaviour target.Behaviour) {
	if err := n.target.SetBehaviour(behaviour); err != nil {
		panic(err)
	}
}

// setState changes what membership knows of the host's target, once shared.
func (n *node) setState(state string) {
	n.member.TargetState = membership.Ready
	if state == target.StateDraining {
		n.member.TargetState = membership.Draining
	}
}

func sampleNothing(_ int, o *call.Options) { o.SampleRatio = 0 }

// silence is a network whose open connections can go silent for good: writes
// seem to work, nothing ever arrives. New connections work.
type silence struct {
	mu    sync.Mutex
	conns []*silentConn
}

func (s *silence) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wrapped := &silentConn{Conn: conn, closed: make(chan struct{})}
	s.conns = append(s.conns, wrapped)
	return wrapped, nil
}

// fall silences all connections that are open now and returns their number.
func (s *silence) fall() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.silent.Store(true)
	}
	return len(s.conns)
}

func (s *silence) dialled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

type silentConn struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// mesh is a few hosts on the loopback interface.
type mesh struct {
	t     testing.TB
	nodes []*node
}

// newMesh starts hosts, the first one as the home of all keys.
func newMesh(t testing.TB, count int, config *publish.Configuration, change func(i int, o *call.Options)) *mesh {
	m := &mesh{t: t}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for i := range count {
		m.nodes = append(m.nodes, newNode(t, i, config, change))
	}
	m.share()
	for _, n := range m.nodes {
		tasks.Go(func() { _ = n.target.Run(ctx) })
	}
	t.Cleanup(func() {
		for _, n := range m.nodes {
			n.callers.CloseClientConnections()
			n.peers.CloseClientConnections()
			n.callers.Close()
			n.peers.Close()
			n.server.Close()
		}
		cancel()
		tasks.Wait()
	})
	return m
}

func newNode(t testing.TB, i int, config *publish.Configuration, change func(int, *call.Options)) *node {
	n := &node{name: string(rune('a' + i)), events: &events{}, tables: &tables{}, dir: &directory{}}
	var err error
	slots := config.Services["railway/status"].Slots
	n.target, err = target.New(target.Options{Service: "railway/status", Listen: "127.0.0.1:0", Slots: slots, Workers: slots})
	assert.NilError(t, err)
	n.tables.table.Store(&enforce.Table{Offset: 7, Config: config})
	n.keys = &keys{host: "a", runs: make(map[string]*keyRun)}
	self := peer.Identity{Host: n.name, Zone: "zone-1", Region: "ashanti", Incarnation: 1}
	options := call.Options{
		Self: self, Config: n.tables, Directory: n.dir, Target: n, Keys: n.keys,
		Events: n.events, SampleRatio: 1,
		Router: route.New(route.Options{Directory: n.dir, Self: self, Rand: rand.New(rand.NewPCG(1, uint64(i)))}),
	}
	if change != nil {
		change(i, &options)
	}
	n.server = call.New(options)
	n.callers = httptest.NewServer(n.server.CallerHandler())
	n.peers = httptest.NewServer(n.server.PeerHandler())
	n.member = membership.Member{
		Host: n.name, Zone: self.Zone, Region: self.Region, State: membership.Alive,
		CallsAddress: strings.TrimPrefix(n.peers.URL, "http://"),
		Service:      "railway/status", Slots: slots, TargetState: membership.Ready,
	}
	return n
}

// share gives every daemon the same view of all hosts.
func (m *mesh) share() {
	for _, n := range m.nodes {
		view := &membership.View{Self: n.member, Members: map[string]membership.Member{}, ByService: map[string][]membership.Member{}}
		for _, other := range m.nodes {
			view.Members[other.name] = other.member
			view.ByService["railway/status"] = append(view.ByService["railway/status"], other.member)
		}
		n.dir.view.Store(view)
	}
}

// only makes a daemon know no other target than that of a host.
func (n *node) only(other *node) {
	n.dir.view.Store(&membership.View{
		Self:      n.member,
		Members:   map[string]membership.Member{n.name: n.member, other.name: other.member},
		ByService: map[string][]membership.Member{"railway/status": {other.member}},
	})
}

// result is what a caller saw.
type result struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
	bodyErr error
}

func (r result) id() string      { return r.header.Get(call.HeaderCall) }
func (r result) outcome() string { return r.header.Get(call.HeaderOutcome) }
func (r result) step() string    { return r.header.Get(call.HeaderStep) }

// do sends one call to a daemon's caller port.
func (n *node) do(t testing.TB, ctx context.Context, method, path string, body io.Reader, header ...string) (result, error) {
	request, err := http.NewRequestWithContext(ctx, method, n.callers.URL+"/"+path, body)
	assert.NilError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := n.callers.Client().Do(request)
	if err != nil {
		return result{}, err
	}
	defer response.Body.Close()
	whole, bodyErr := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, response.Trailer, whole, bodyErr}, nil
}

func (n *node) get(t testing.TB, path string, header ...string) result {
	t.Helper()
	got, err := n.do(t, t.Context(), http.MethodGet, path, nil, header...)
	assert.NilError(t, err)
	return got
}

func (n *node) post(t testing.TB, path, body string, header ...string) result {
	t.Helper()
	got, err := n.do(t, t.Context(), http.MethodPost, path, strings.NewReader(body), header...)
	assert.NilError(t, err)
	return got
}

// runs returns the runs of a call over all targets: the ground truth.
func (m *mesh) runs(match func(target.Run) bool) []target.Run {
	var found []target.Run
	for _, n := range m.nodes {
		for _, run := range n.target.Runs() {
			if match(run) {
				found = append(found, run)
			}
		}
	}
	return found
}

func (m *mesh) runsOf(id string) []target.Run {
	return m.runs(func(run target.Run) bool { return run.Call == id })
}

func (m *mesh) runsOfKey(key string) []target.Run {
	return m.runs(func(run target.Run) bool { return run.Key == key })
}

func newKey(t testing.TB) string {
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// eventually waits for a condition that other tasks bring about.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("never came about: %s", what)
}
