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

// fault is what is wrong with a host for the length of one iteration.
type fault struct {
	name      string
	behaviour target.Behaviour
	dead      bool
	draining  bool
	silent    bool
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
	{name: "silent", silent: true},
}

// apply puts a fault on a host.
func (f fault) apply(n *node, network *silence) {
	n.behave(f.behaviour)
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
	if f.silent {
		network.fall()
	}
}

// plan is one call that a caller makes.
type plan struct {
	from   int
	method string
	path   string
	key    string
	body   []byte
	stream bool
}

func drawPlans(t *rapid.T, hosts int) []plan {
	var plans []plan
	for i := range rapid.IntRange(1, 6).Draw(t, "calls") {
		one := plan{
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
		plans = append(plans, one)
	}
	return plans
}

// seen is what one caller learnt.
type seen struct {
	plan plan
	got  result
	err  error
}

func (p plan) run(t testing.TB, n *node) seen {
	var body io.Reader = bytes.NewReader(p.body)
	if p.stream {
		body = io.MultiReader(body)
	}
	header := []string{call.HeaderDeadline, "30ms"}
	if p.key != "" {
		header = append(header, call.HeaderKey, p.key)
	}
	got, err := n.do(t, t.Context(), p.method, p.path, body, header...)
	return seen{plan: p, got: got, err: err}
}

// Over faults and calls of all kinds: a call said not to have run did not, a
// key runs at most once, and an answer is the whole answer to its own call.
func TestOutcomesAreTrue(t *testing.T) {
	network := &silence{}
	generous := func(_ *publish.Service, route *publish.Route) {
		route.RetryBudget = 1
		route.Hedge = 5 * time.Millisecond
	}
	m := newMesh(t, 3, config(generous), func(_ int, o *call.Options) { o.Dial = network.dial })
	shared := m.nodes[0].keys
	for _, n := range m.nodes {
		n.keys.host = shared.host
	}
	var all []seen
	rapid.Check(t, func(rt *rapid.T) {
		keys := map[string]string{"": "", "first": newKey(t), "second": newKey(t)}
		for _, n := range m.nodes {
			rapid.SampledFrom(faults).Draw(rt, "fault").apply(n, network)
		}
		plans := drawPlans(rt, len(m.nodes))
		results := make([]seen, len(plans))
		var tasks conc.WaitGroup
		for i, one := range plans {
			one.key = keys[one.key]
			tasks.Go(func() { results[i] = one.run(t, m.nodes[one.from]) })
		}
		tasks.Wait()
		m.check(rt, results)
		all = append(all, results...)
	})
	m.check(t, all)
}

// check compares what callers learnt with what the targets recorded.
func (m *mesh) check(t assert.TestingT, results []seen) {
	byCall, byKey := map[string]int{}, map[string]int{}
	for _, run := range m.runs(func(target.Run) bool { return true }) {
		byCall[run.Call]++
		byKey[run.Key]++
	}
	bodies := map[string][][]byte{}
	for _, one := range results {
		bodies[one.plan.key] = append(bodies[one.plan.key], one.plan.body)
	}
	for _, one := range results {
		if one.plan.key != "" {
			assert.Assert(t, byKey[one.plan.key] <= 1, "key %s ran %d times", one.plan.key, byKey[one.plan.key])
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
		if one.plan.key == "" {
			assert.Assert(t, bytes.Equal(one.got.body, one.plan.body), "another answer, or not whole")
			assert.Equal(t, one.got.trailer.Get(target.CallIDTrailer), id)
			continue
		}
		assert.Assert(t, isOneOf(one.got.body, bodies[one.plan.key]), "not an answer to this key")
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

// The transport never sends a request a second time by itself, not even a GET
// on a reused connection that the target closed.
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
	m := newMesh(t, 1, config(single), nil)
	address := strings.TrimPrefix(closing.URL, "http://")
	m.nodes[0].address.Store(&address)
	assert.Equal(t, m.nodes[0].get(t, lookups).status, http.StatusOK)
	got := m.nodes[0].get(t, lookups)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.outcome(), string(call.Unknown))
	assert.Equal(t, requests.Load(), int64(2))
}

// A second attempt with a key waits for the first one's answer and gets it.
func TestSecondAttemptGetsTheFirstOnesAnswer(t *testing.T) {
	keeper := once.NewDeduplicator(once.Options{Host: "a", Started: time.Now().Add(-time.Hour)})
	grants := once.Grants{&once.Grant{
		FromMs: 0, UntilMs: time.Now().Add(time.Hour).UnixMilli(),
		Services: []*once.ServiceHomes{{Service: "railway/status", Hosts: []string{"a"}}},
	}}
	m := newMesh(t, 1, config(nil), func(_ int, o *call.Options) { o.Keys = keeperKeys{keeper, grants} })
	n := m.nodes[0]
	n.behave(target.Behaviour{Delay: settings.Duration(50 * time.Millisecond)})
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

// keeperKeys are the keys of a keeper.
type keeperKeys struct {
	keeper *once.Deduplicator
	grants once.Grants
}

func (k keeperKeys) Home(_ *publish.Configuration, service, key string) (string, error) {
	return k.keeper.Home(k.grants, service, key)
}

func (k keeperKeys) Claim(_ *publish.Configuration, service, key string) (call.KeyClaim, error) {
	run, err := k.keeper.Claim(k.grants, service, key)
	if err != nil {
		return nil, err
	}
	return keeperRun{run}, nil
}

type keeperRun struct{ *once.Claim }

func (r keeperRun) Replay() (*call.StoredResponse, bool) {
	answer, ok := r.Claim.Replay()
	if !ok {
		return nil, false
	}
	return &call.StoredResponse{Status: answer.Status, Header: answer.Header, Body: answer.Body}, true
}

func (r keeperRun) Complete(answer *call.StoredResponse) {
	if answer == nil {
		r.Claim.Complete(nil)
		return
	}
	r.Claim.Complete(&once.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body})
}
