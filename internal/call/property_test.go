package call_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	_ "github.com/mulberrybank/mulberrybank/internal/testseed"
)

// fault is a fault of a host during one iteration.
type fault struct {
	name       string
	behaviour  target.Behaviour
	dead       bool
	draining   bool
	blackholed bool
}

var faults = []fault{
	{name: "none"},
	{name: "slow", behaviour: target.Behaviour{Delay: settings.Duration(10 * time.Millisecond)}},
	{name: "shed", behaviour: target.Behaviour{Shed: true}},
	{name: "hang", behaviour: target.Behaviour{Hang: true}},
	{name: "fail", behaviour: target.Behaviour{Fail: true}},
	{name: "cut", behaviour: target.Behaviour{TruncateBody: true}},
	{name: "dead", dead: true},
	{name: "draining", draining: true},
	{name: "silent", blackholed: true},
}

// apply sets the fault on a host.
func (f fault) apply(n *node, network *blackholeNetwork) {
	n.setBehaviour(f.behaviour)
	n.address.Store(nil)
	if f.dead {
		dead := "127.0.0.1:1"
		n.address.Store(&dead)
	}
	view := *n.dir.View()
	view.Self.TargetState = membership.Ready
	if f.draining {
		view.Self.TargetState = membership.Draining
	}
	n.dir.view.Store(&view)
	if f.blackholed {
		network.blackholeAll()
	}
}

// plannedCall is one call of a caller.
type plannedCall struct {
	from   int
	method string
	path   string
	key    string
	body   []byte
	stream bool
}

func drawCalls(t *rapid.T, hosts int) []plannedCall {
	var planned []plannedCall
	for i := range rapid.IntRange(1, 6).Draw(t, "calls") {
		one := plannedCall{
			from:   rapid.IntRange(0, hosts-1).Draw(t, "from"),
			method: rapid.SampledFrom([]string{http.MethodGet, http.MethodPost}).Draw(t, "method"),
			path:   lookups,
			stream: rapid.Bool().Draw(t, "stream"),
		}
		if one.method == http.MethodPost {
			size := rapid.SampledFrom([]int{1, 100, 100_000}).Draw(t, "size")
			one.body = bytes.Repeat([]byte(fmt.Sprintf("%d-%p;", i, t)), size)
		}
		if rapid.Bool().Draw(t, "keyed") {
			one.path = orders
			one.key = rapid.SampledFrom([]string{"first", "second"}).Draw(t, "key")
		}
		planned = append(planned, one)
	}
	return planned
}

// observedCall is a call with the result that its caller received.
type observedCall struct {
	call plannedCall
	got  result
	err  error
}

func (p plannedCall) run(t testing.TB, n *node) observedCall {
	var body io.Reader = bytes.NewReader(p.body)
	if p.stream {
		body = io.MultiReader(body)
	}
	header := []string{call.HeaderDeadline, "30ms"}
	if p.key != "" {
		header = append(header, call.HeaderKey, p.key)
	}
	got, err := n.do(t, t.Context(), p.method, p.path, body, header...)
	return observedCall{call: p, got: got, err: err}
}

// Over faults and calls of all kinds: a call reported as not-run did not run, a
// key runs at most once, and a response is the complete response to its own call.
func TestOutcomesMatchRuns(t *testing.T) {
	network := &blackholeNetwork{}
	generous := func(_ *publish.Service, route *publish.Route) {
		route.RetryBudget = 1
		route.Hedge = 5 * time.Millisecond
	}
	m := newMesh(t, 3, config(generous), func(_ int, o *call.Options) { o.Dial = network.dial })
	shared := m.nodes[0].keys
	for _, n := range m.nodes {
		n.keys.host = shared.host
	}
	var all []observedCall
	rapid.Check(t, func(rt *rapid.T) {
		keys := map[string]string{"": "", "first": newKey(t), "second": newKey(t)}
		for _, n := range m.nodes {
			rapid.SampledFrom(faults).Draw(rt, "fault").apply(n, network)
		}
		planned := drawCalls(rt, len(m.nodes))
		results := make([]observedCall, len(planned))
		var tasks conc.WaitGroup
		for i, one := range planned {
			one.key = keys[one.key]
			tasks.Go(func() { results[i] = one.run(t, m.nodes[one.from]) })
		}
		tasks.Wait()
		m.check(rt, results)
		all = append(all, results...)
	})
	m.check(t, all)
}

// check compares the results that callers received with the runs that the targets
// recorded.
func (m *mesh) check(t assert.TestingT, results []observedCall) {
	byCall, byKey := map[string]int{}, map[string]int{}
	for _, run := range m.runs(func(target.Run) bool { return true }) {
		byCall[run.Call]++
		byKey[run.Key]++
	}
	bodies := map[string][][]byte{}
	for _, one := range results {
		bodies[one.call.key] = append(bodies[one.call.key], one.call.body)
	}
	for _, one := range results {
		if one.call.key != "" {
			assert.Assert(t, byKey[one.call.key] <= 1, "key %s ran %d times", one.call.key, byKey[one.call.key])
		}
		if one.err != nil || one.got.bodyErr != nil {
			continue
		}
		id := one.got.id()
		if one.got.outcome() == string(call.NotRun) {
			assert.Equal(t, byCall[id], 0, "%s said not-run at %s", id, one.got.step())
		}
		if one.got.outcome() != "" || one.got.status != http.StatusOK {
			continue
		}
		if one.call.key == "" {
			assert.Assert(t, bytes.Equal(one.got.body, one.call.body), "response of another call, or truncated")
			assert.Equal(t, one.got.trailer.Get(target.CallIDTrailer), id)
			continue
		}
		assert.Assert(t, isOneOf(one.got.body, bodies[one.call.key]), "not a response to this key")
	}
}

func isOneOf(body []byte, bodies [][]byte) bool {
	for _, other := range bodies {
		if bytes.Equal(body, other) {
			return true
		}
	}
	return false
}

// The transport never resends a request by itself, not even a GET on a reused
// connection that the target closed.
func TestTransportDoesNotRepeatRequests(t *testing.T) {
	var requests atomic.Int64
	var once sync.Once
	closing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		first := false
		once.Do(func() { first = true })
		if !first {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_ = conn.Close()
		}
	}))
	defer closing.Close()
	m := newMesh(t, 1, config(withoutRetries), nil)
	address := strings.TrimPrefix(closing.URL, "http://")
	m.nodes[0].address.Store(&address)
	assert.Equal(t, m.nodes[0].get(t, lookups).status, http.StatusOK)
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	assert.Equal(t, requests.Load(), int64(2))
}

// An attempt with a key that another attempt is running waits for that one and
// gets its response.
func TestSecondAttemptWaitsForResponseOfFirst(t *testing.T) {
	deduplicator := once.NewDeduplicator(once.Options{Host: "a", Started: time.Now().Add(-time.Hour)})
	grants := once.Grants{&once.Grant{
		FromMs: 0, UntilMs: time.Now().Add(time.Hour).UnixMilli(),
		Services: []*once.ServiceHomes{{Service: "railway/status", Hosts: []string{"a"}}},
	}}
	m := newMesh(t, 1, config(nil), func(_ int, o *call.Options) { o.Keys = deduplicatorKeys{deduplicator, grants} })
	n := m.nodes[0]
	n.setBehaviour(target.Behaviour{Delay: settings.Duration(50 * time.Millisecond)})
	key := newKey(t)
	var tasks conc.WaitGroup
	for range 5 {
		tasks.Go(func() {
			got := n.post(t, orders, "order", call.HeaderKey, key)
			assert.Check(t, got.status == http.StatusOK && string(got.body) == "order", "%d %s", got.status, got.body)
		})
	}
	tasks.Wait()
	assert.Equal(t, len(m.runsOfKey(key)), 1)
}

// deduplicatorKeys adapts a once.Deduplicator to call.IdempotencyKeys.
type deduplicatorKeys struct {
	deduplicator *once.Deduplicator
	grants       once.Grants
}

func (k deduplicatorKeys) Home(_ *publish.Configuration, service, key string) (string, error) {
	return k.deduplicator.Home(k.grants, service, key)
}

func (k deduplicatorKeys) Claim(_ *publish.Configuration, service, key string) (call.KeyClaim, error) {
	claim, err := k.deduplicator.Claim(k.grants, service, key)
	if err != nil {
		return nil, err
	}
	return deduplicatorClaim{claim}, nil
}

type deduplicatorClaim struct{ *once.Claim }

func (c deduplicatorClaim) Replay() (*call.StoredResponse, bool) {
	response, ok := c.Claim.Replay()
	if !ok {
		return nil, false
	}
	return &call.StoredResponse{Status: response.Status, Header: response.Header, Body: response.Body}, true
}

func (c deduplicatorClaim) Complete(response *call.StoredResponse) {
	if response == nil {
		c.Claim.Complete(nil)
		return
	}
	c.Claim.Complete(&once.Response{Status: response.Status, Header: response.Header, Body: response.Body})
}
