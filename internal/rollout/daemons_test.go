package rollout_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/daemon"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/platform"
)

const (
	anyPort       = "127.0.0.1:0"
	meshTimeout   = 40 * time.Second
	orderDuration = 8 * time.Second
	callersRate   = 5 * time.Millisecond
	statusTopic   = "keyed.status"
)

// mesh is a few daemons with upstreams and a stand-in for the store.
type mesh struct {
	t       *testing.T
	store   *metastore.Service
	address string
	hosts   []*meshHost
	logs    safeBuffer
	calls   atomic.Int64
	tasks   conc.WaitGroup
	ctx     context.Context
}

type meshHost struct {
	name, version string
	// callers is the address for callers, the same after a restart.
	callers  string
	index    int
	daemon   *daemon.Daemon
	upstream *upstream.Upstream
	stop     context.CancelFunc
	ended    chan struct{}
	runs     atomic.Int64
}

type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// startMesh starts hosts of the old version and callers at each of them.
func startMesh(t *testing.T, oldHosts int) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{t: t, store: metastore.New(), ctx: ctx}
	server := httptest.NewServer(m.store.Handler())
	m.address = server.URL
	t.Cleanup(func() {
		cancel()
		m.tasks.Wait()
		server.Close()
		if t.Failed() {
			t.Log(m.logs.String())
		}
	})
	config := upstream.Configuration{
		Version: 1, Services: []string{"huts"}, MaxConnections: 100,
		Routes: []upstream.Route{{Name: "look", Host: "huts.example", PathPrefix: "/", Idempotent: true, Service: "huts", Timeout: 2, TargetLatency: 0.4, MaxAttempts: 2}},
	}
	value, err := config.Encode()
	assert.NilError(t, err)
	m.store.PutConfiguration(value)
	for i := range oldHosts {
		m.addHost(fmt.Sprintf("old-%d", i), "v1", upstream.Behaviour{Delay: 5 * time.Millisecond})
	}
	for _, h := range m.hosts {
		m.await("first call through "+h.name, func() bool { return m.call(h) == http.StatusOK })
	}
	for _, h := range m.hosts {
		m.tasks.Go(func() { m.callSteadily(h) })
	}
	return m
}

func (m *mesh) addHost(name, version string, behaviour upstream.Behaviour) *meshHost {
	h := &meshHost{name: name, version: version, index: len(m.hosts)}
	m.startDaemon(h)
	h.callers = h.daemon.Addresses().Callers
	var err error
	h.upstream, err = upstream.New(upstream.Options{
		ID: "i-" + name, Service: "huts", Version: version, Slots: 20, DaemonAddress: h.daemon.Addresses().Target, StartedUnixMs: 1,
		OnRun: func(upstream.Run) { h.runs.Add(1) },
	})
	assert.NilError(m.t, err)
	h.upstream.SetBehaviour(behaviour)
	m.tasks.Go(func() { h.upstream.Run(m.ctx) })
	m.hosts = append(m.hosts, h)
	return h
}

// startDaemon starts the daemon of a host, at its former addresses if it ran before.
func (m *mesh) startDaemon(h *meshHost) {
	listen := settings.Listen{Callers: anyPort, Calls: anyPort, Control: anyPort, Admin: anyPort, Target: anyPort}
	if h.daemon != nil {
		listen = h.daemon.Addresses()
	}
	logger := logrus.New()
	logger.SetOutput(&m.logs)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	s := &settings.Settings{
		Host: h.name, Zone: fmt.Sprintf("z%d", h.index%2), Region: "r", Listen: listen,
		Platform:    settings.Platform{Address: m.address, Timeout: settings.Duration(time.Second)},
		Target:      settings.Target{Service: "huts", Lease: settings.Duration(10 * time.Second)},
		Pace:        settings.PaceFast,
		Keys:        settings.SwitchOff,
		Snapshots:   settings.SwitchOff,
		TLS:         settings.TLS{Mode: settings.SwitchOff},
		Admin:       settings.Admin{MaxBody: 1 << 20},
		Timeline:    settings.Timeline{Events: 64},
		StopTimeout: settings.Duration(time.Second),
		Rollout:     settings.Rollout{CanaryShare: 0.1, CanarySlack: 50},
	}
	var err error
	h.daemon, err = daemon.New(daemon.Options{Settings: s, Adapter: platform.Adapter{}, Logger: logger})
	assert.NilError(m.t, err)
	ctx, cancel := context.WithCancel(m.ctx)
	ended := make(chan struct{})
	h.stop, h.ended = cancel, ended
	running := h.daemon
	m.tasks.Go(func() {
		defer close(ended)
		_ = running.Run(ctx)
	})
}

func (m *mesh) await(what string, condition func() bool) {
	m.t.Helper()
	for deadline := time.Now().Add(meshTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			m.t.Fatalf("%s: condition not met within %s", what, meshTimeout)
		}
	}
}

// call sends one request and returns the status, 0 for none.
func (m *mesh) call(h *meshHost) int {
	request, err := http.NewRequestWithContext(m.ctx, http.MethodGet, "http://"+h.callers+"/x", http.NoBody)
	assert.NilError(m.t, err)
	request.Host = "huts.example"
	request.Header.Set("Request-Id", fmt.Sprintf("%s-%d", h.name, m.calls.Add(1)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (m *mesh) callSteadily(h *meshHost) {
	ticker := time.NewTicker(callersRate)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.call(h)
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *mesh) order(version string) {
	value, err := json.Marshal(map[string]any{"service": "huts", "target_version": version, "duration_s": orderDuration.Seconds()})
	assert.NilError(m.t, err)
	m.store.Put(metastore.OperatorTopic, "rollout/huts", value)
}

// state returns the state and version of the status record.
func (m *mesh) state() (state, version string) {
	var status struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	_ = json.Unmarshal(m.store.Newest(statusTopic, "rollout/huts"), &status)
	return status.State, status.Version
}

func (m *mesh) awaitState(want string) {
	m.t.Helper()
	m.await("state "+want, func() bool {
		state, version := m.state()
		assert.Assert(m.t, state == "" || state == "serving" || state == want, "state is %s", state)
		return state == want && version == "v2"
	})
}

// Guards against a bad version that is kept or that a restarted daemon sends calls to,
// with daemons, reports and the status record as in production.
func TestDaemonsRevertABadVersion(t *testing.T) {
	m := startMesh(t, 4)
	first := m.calls.Load()
	m.order("v2")
	tested := m.addHost("new-0", "v2", upstream.Behaviour{Delay: 5 * time.Millisecond, Status: http.StatusInternalServerError})
	m.awaitState("reverted")
	runs := tested.runs.Load()
	assert.Assert(t, runs > 0)
	assert.Assert(t, float64(runs) <= 0.1*float64(m.calls.Load()-first)+50, "%d runs of %d calls", runs, m.calls.Load()-first)
	restarted := m.hosts[0]
	restarted.stop()
	<-restarted.ended
	time.Sleep(reportsSettle)
	runs = tested.runs.Load()
	m.startDaemon(restarted)
	m.await("call through the restarted daemon", func() bool { return m.call(restarted) == http.StatusOK })
	for range 300 {
		m.call(restarted)
	}
	assert.Equal(t, tested.runs.Load(), runs, "no call to a reverted version")
	state, _ := m.state()
	assert.Equal(t, state, "reverted")
}

// reportsSettle is more than two reports of a daemon take, after which all know a verdict.
const reportsSettle = 700 * time.Millisecond

// Guards against a good version that is not completed, and against calls to old targets
// after the record that says so, at which these are stopped.
func TestDaemonsCompleteAGoodVersion(t *testing.T) {
	m := startMesh(t, 4)
	began := time.Now()
	m.order("v2")
	for i := range 2 {
		m.addHost(fmt.Sprintf("new-%d", i), "v2", upstream.Behaviour{Delay: 5 * time.Millisecond})
	}
	m.awaitState("completed")
	t.Logf("completed after %s", time.Since(began))
	oldRuns := func() (runs int64) {
		for _, h := range m.hosts[:4] {
			runs += h.runs.Load()
		}
		return runs
	}
	before, at := oldRuns(), m.calls.Load()
	m.await("further calls", func() bool { return m.calls.Load() > at+300 })
	assert.Equal(t, oldRuns(), before, "no call to an old target after the completion")
}

// Guards against calls to a version that no order allows: one that appears beside the
// version that is served waits for an order.
func TestDaemonsHoldAVersionWithoutOrder(t *testing.T) {
	m := startMesh(t, 2)
	tested := m.addHost("new-0", "v2", upstream.Behaviour{Delay: 5 * time.Millisecond})
	time.Sleep(1200 * time.Millisecond)
	assert.Equal(t, tested.runs.Load(), int64(0))
	m.await("calls without an order", func() bool { return tested.runs.Load() > 0 })
	state, _ := m.state()
	assert.Equal(t, state, "")
}
