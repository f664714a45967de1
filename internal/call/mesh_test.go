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
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	lookups = "railway/heater-status"
	orders  = "railway/work-orders"
)

// config returns a service with an idempotent route and one that is not
// idempotent.
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

// directory provides the view of one daemon.
type directory struct {
	view    atomic.Pointer[membership.View]
	changed wait.Broadcast
}

func (d *directory) View() *membership.View   { return d.view.Load() }
func (d *directory) Changed() <-chan struct{} { return d.changed.Wait() }

// change replaces a member of the view and announces that.
func (d *directory) change(member membership.Member) {
	view := *d.View()
	view.Members = view.Members.With(member.Host, member)
	d.view.Store(&view)
	d.changed.Notify()
}

// events holds the events that a daemon recorded.
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

// keys runs each key at most once on one host, the home of all keys.
type keys struct {
	host   string
	mu     sync.Mutex
	claims map[string]*fakeClaim
	// refusal is the error for every key, nil to run them.
	refusal *once.Refusal
}

type fakeClaim struct {
	keys     *keys
	key      string
	response *call.StoredResponse
}

func (k *keys) Home(*publish.Configuration, string, string) (string, error) { return k.host, nil }

func (k *keys) Claim(_ *publish.Configuration, _, key string) (call.KeyClaim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.refusal != nil {
		return nil, k.refusal
	}
	if claim, found := k.claims[key]; found {
		if claim.response == nil {
			return nil, &once.Refusal{Reason: once.AlreadyRan, EarlierMayHaveRun: true}
		}
		return claim, nil
	}
	claim := &fakeClaim{keys: k, key: key}
	k.claims[key] = claim
	return claim, nil
}

func (c *fakeClaim) Replay() (*call.StoredResponse, bool) {
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	return c.response, c.response != nil
}

func (c *fakeClaim) Complete(response *call.StoredResponse) {
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	c.response = response
}

func (c *fakeClaim) Release() {
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	delete(c.keys.claims, c.key)
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
	// address overrides the address of the target.
	address atomic.Pointer[string]
}

func (n *node) TargetAddress() (address, instance string) {
	if address := n.address.Load(); address != nil {
		return *address, ""
	}
	return n.target.Address(), ""
}

// setBehaviour changes the behaviour of the host's target.
func (n *node) setBehaviour(behaviour target.Behaviour) {
	if err := n.target.SetBehaviour(behaviour); err != nil {
		panic(err)
	}
}

// setState changes the state of the host's target in the member that shareView
// distributes.
func (n *node) setState(state string) {
	n.member.TargetState = membership.Ready
	if state == target.StateDraining {
		n.member.TargetState = membership.Draining
	}
}

func withoutSampling(_ int, o *call.Options) { o.SampleRatio = 0 }

// blackholeNetwork is a network whose open connections can be blackholed: writes
// appear to succeed and nothing ever arrives. New connections work.
type blackholeNetwork struct {
	mu    sync.Mutex
	conns []*blackholeConn
}

func (n *blackholeNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	wrapped := &blackholeConn{Conn: conn, closed: make(chan struct{})}
	n.conns = append(n.conns, wrapped)
	return wrapped, nil
}

// blackholeAll blackholes all connections that are open now and returns their
// number.
func (n *blackholeNetwork) blackholeAll() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.blackholed.Store(true)
	}
	return len(n.conns)
}

func (n *blackholeNetwork) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
	once       sync.Once
	closed     chan struct{}
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// mesh is a number of hosts on the loopback interface.
type mesh struct {
	t     testing.TB
	nodes []*node
}

// newMesh starts hosts, of which the first is the home of all keys.
func newMesh(t testing.TB, count int, config *publish.Configuration, change func(i int, o *call.Options)) *mesh {
	m := &mesh{t: t}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for i := range count {
		m.nodes = append(m.nodes, newNode(t, i, config, change))
	}
	m.shareView()
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
	n.keys = &keys{host: "a", claims: make(map[string]*fakeClaim)}
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
	n.callers = startHTTPServer(n.server.CallerHandler())
	n.peers = startHTTPServer(n.server.PeerHandler())
	n.member = membership.Member{
		Host: n.name, Zone: self.Zone, Region: self.Region, State: membership.Alive,
		CallsAddress: strings.TrimPrefix(n.peers.URL, "http://"),
		Service:      "railway/status", Slots: slots, TargetState: membership.Ready,
	}
	return n
}

// startHTTPServer serves a handler as a daemon does.
func startHTTPServer(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = call.ConnContext
	server.Start()
	return server
}

// shareView gives every daemon the same view of all hosts.
func (m *mesh) shareView() {
	for _, n := range m.nodes {
		view := &membership.View{Self: n.member}
		for _, other := range m.nodes {
			view.Members = view.Members.With(other.name, other.member)
			view.ByService = view.ByService.With("railway/status", append(view.ByService.At("railway/status"), other.member))
		}
		n.dir.view.Store(view)
	}
}

// routeOnlyTo removes all targets but that of one host from the view of a daemon.
func (n *node) routeOnlyTo(other *node) {
	n.dir.view.Store(&membership.View{
		Self:      n.member,
		Members:   membership.NewMap(map[string]membership.Member{n.name: n.member, other.name: other.member}),
		ByService: membership.NewMap(map[string][]membership.Member{"railway/status": {other.member}}),
	})
}

// result is what a caller received.
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

// do sends one call to the caller port of a daemon.
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
	content, bodyErr := io.ReadAll(response.Body)
	return result{response.StatusCode, response.Header, response.Trailer, content, bodyErr}, nil
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

// runs returns the matching runs that the targets recorded.
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

// eventually waits for a condition that other tasks fulfil.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 20 s: %s", what)
}
