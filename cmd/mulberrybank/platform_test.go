package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

// Ports of a machine of the users' platform.
const (
	outboundPort = 7411
	inboundPort  = 7412
	readyPort    = 7413
	beatPort     = 7414
	firstPort    = 7415
	secondPort   = 7416
)

// machine is one machine of the users' platform: a daemon process beside an
// upstream.
type machine struct {
	name     string
	zone     string
	region   string
	service  string
	ip       string
	daemon   *exec.Cmd
	upstream *upstream.Upstream
	settings string
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is the users' platform: the store in this process, daemons as processes
// of their own with settings rendered from the template that is deployed.
type fleet struct {
	t        *testing.T
	store    *metastore.Service
	address  string
	machines []*machine
	tasks    conc.WaitGroup
	requests int
	version  int
}

// startFleet starts two machines of each of two services, in three zones.
func startFleet(t *testing.T) *fleet {
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))
	f := &fleet{t: t, store: metastore.New()}
	listener, err := net.Listen("tcp", network+".1:0")
	assert.NilError(t, err)
	f.address = listener.Addr().String()
	server := &http.Server{Handler: f.store.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	f.tasks.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		f.tasks.Wait()
	})
	f.configure("huts")
	places := []machine{
		{name: "side-1", zone: "za", region: "ra", service: "huts"},
		{name: "side-2", zone: "zb", region: "ra", service: "ledger"},
		{name: "side-3", zone: "zc", region: "rb", service: "huts"},
		{name: "side-4", zone: "zc", region: "rb", service: "ledger"},
	}
	for i, place := range places {
		place.ip = fmt.Sprintf("%s.%d", network, 10+i)
		f.add(ctx, &place)
	}
	for _, each := range f.machines {
		f.await(each.name+" is ready", func() bool { return f.ready(each) })
	}
	return f
}

func (f *fleet) add(ctx context.Context, m *machine) {
	var err error
	m.upstream, err = upstream.New(upstream.Options{
		ID: "i-" + m.name, Service: m.service, Slots: 4, DaemonAddress: m.at(beatPort), StartedUnixMs: 1, Listen: m.ip + ":0",
	})
	assert.NilError(f.t, err)
	m.settings = filepath.Join(f.t.TempDir(), m.name+".json")
	assert.NilError(f.t, os.WriteFile(m.settings, []byte(f.render(m)), 0o600))
	f.machines = append(f.machines, m)
	f.startDaemon(m)
	f.tasks.Go(func() { m.upstream.Run(ctx) })
}

// placePattern matches a place of the template.
var placePattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// sectionPattern and invertedPattern match what the template has for a first
// start and for any other.
var (
	sectionPattern  = regexp.MustCompile(`\{\{#bootstrap\}\}.*?\{\{/bootstrap\}\}`)
	invertedPattern = regexp.MustCompile(`\{\{\^bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
)

// render fills in the template that is deployed.
func (f *fleet) render(m *machine) string {
	template, err := os.ReadFile("../../deploy/settings.json")
	assert.NilError(f.t, err)
	values := map[string]string{
		"node_name": m.name, "zone": m.zone, "region": m.region, "ip": m.ip, "service": m.service,
		"listen_addrs.outbound": m.at(outboundPort), "listen_addrs.inbound": m.at(inboundPort),
		"listen_addrs.ready": m.at(readyPort), "listen_addrs.control": m.at(beatPort),
		"port_range.0": strconv.Itoa(firstPort), "port_range.1": strconv.Itoa(secondPort),
		"cloud_platform.address": f.address, "bounds.budget_slack": "40", "bounds.retry_budget_ratio": "0.2", "limits.memory_mb": "284",
	}
	// A daemon of these tests never starts together with all others.
	template = sectionPattern.ReplaceAll(template, nil)
	template = invertedPattern.ReplaceAll(template, []byte("$1"))
	return placePattern.ReplaceAllStringFunc(string(template), func(place string) string {
		value, ok := values[strings.Trim(place, "{}")]
		assert.Assert(f.t, ok, "the test does not know %s", place)
		return value
	})
}

func (f *fleet) startDaemon(m *machine) {
	m.daemon = exec.Command(binary, "daemon")
	m.daemon.Env = append(os.Environ(), "MULBERRYBANK_CONFIG="+m.settings)
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	m.daemon.Stdout, m.daemon.Stderr = log, log
	assert.NilError(f.t, m.daemon.Start())
	daemon := m.daemon
	f.t.Cleanup(func() {
		_ = daemon.Process.Kill()
		_ = daemon.Wait()
		_ = log.Close()
	})
}

// configure publishes a version whose route /lookup/ leads to a service.
func (f *fleet) configure(lookup string) {
	f.version += 3
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "huts.example", "path_prefix": prefix, "route_kind": kind, "service": service,
			"timeout_s": 2, "target_latency_s": 0.4, "priority": 1, "max_attempts": 2,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": f.version,
		"routes": []any{
			route("lookup", "/lookup/", "idempotent", lookup),
			route("nested", "/lookup/ledger/", "idempotent", "ledger"),
			route("charge", "/charge/", "non_idempotent", "ledger"),
		},
		"services": []any{
			map[string]any{"name": "huts", "max_conns": 100},
			map[string]any{"name": "ledger", "max_conns": 100},
		},
		"limits":                    map[string]any{"max_header_bytes": 4096, "max_body_bytes": 1000},
		"a field that nobody knows": true,
	})
	assert.NilError(f.t, err)
	f.store.PutConfiguration(value)
}

func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.dumpLogs()
			f.t.Fatalf("%s: not within %s", what, waitLimit)
		}
	}
}

func (f *fleet) dumpLogs() {
	for _, m := range f.machines {
		if text, err := os.ReadFile(m.settings + ".log"); err == nil {
			f.t.Logf("log of %s:\n%s", m.name, text)
		}
	}
}

func (f *fleet) ready(m *machine) bool {
	response, err := http.Get("http://" + m.at(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// reply is the answer to one request.
type reply struct {
	id     string
	status int
	body   string
	header http.Header
}

// ask sends one request through a machine on a connection of its own.
func (f *fleet) ask(m *machine, method, path, body string) (reply, error) {
	f.requests++
	id := fmt.Sprintf("%016x", f.requests)
	request, err := http.NewRequest(method, "http://"+m.at(outboundPort)+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Host = "huts.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	request.Header.Set("Caller-Service", "forged")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return reply{id: id}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{id: id, status: response.StatusCode, body: string(text), header: response.Header}, err
}

// mustAsk is ask for a request that must be answered by its upstream.
func (f *fleet) mustAsk(m *machine, method, path, body string) reply {
	f.t.Helper()
	got, err := f.ask(m, method, path, body)
	assert.NilError(f.t, err)
	if got.status != http.StatusOK {
		f.dumpLogs()
	}
	assert.Equal(f.t, got.status, http.StatusOK, "%s through %s", path, m.name)
	assert.Equal(f.t, got.body, "answer to "+got.id+" "+body)
	assert.Equal(f.t, got.header.Get("Request-Id"), got.id)
	assert.Assert(f.t, got.header.Get("Response-Signature") != "")
	return got
}

// runsOf returns how often a request was run, and where.
func (f *fleet) runsOf(id string) (runs []upstream.Run, services []string) {
	for _, m := range f.machines {
		for _, run := range m.upstream.Runs() {
			if run.ID == id {
				runs = append(runs, run)
				services = append(services, m.service)
			}
		}
	}
	return runs, services
}

func TestPlatformWholePath(t *testing.T) {
	f := startFleet(t)
	first := f.machines[0]
	f.await("the ledger is found from side-1", func() bool {
		got, err := f.ask(first, http.MethodGet, "/lookup/ledger/1", "")
		return err == nil && got.status == http.StatusOK
	})
	for _, m := range f.machines {
		f.await("all is found from "+m.name, func() bool {
			a, errA := f.ask(m, http.MethodGet, "/lookup/7", "")
			b, errB := f.ask(m, http.MethodGet, "/lookup/ledger/1", "")
			return errA == nil && errB == nil && a.status == http.StatusOK && b.status == http.StatusOK
		})
		got := f.mustAsk(m, http.MethodPost, "/charge/9?x=%2F&y", "quetzal")
		runs, services := f.runsOf(got.id)
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, services[0], "ledger")
		assert.Equal(t, runs[0].Path, "/charge/9?x=%2F&y")
		assert.Equal(t, runs[0].Header.Get("Caller-Service"), m.service)
		left, err := strconv.Atoi(runs[0].Header.Get("Deadline-Ms"))
		assert.NilError(t, err)
		assert.Assert(t, left > 0 && left <= 2000, "%d ms left", left)
		for name := range runs[0].Header {
			assert.Assert(t, !strings.HasPrefix(name, "Mulberry-"), name)
		}
	}
	got, err := f.ask(first, http.MethodGet, "/unknown/", "")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusNotFound)
	got, err = f.ask(first, http.MethodPost, "/charge/9", strings.Repeat("x", 1001))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusRequestEntityTooLarge)
	f.mustAsk(first, http.MethodPost, "/charge/9", strings.Repeat("x", 1000))

	f.configure("ledger")
	for _, m := range f.machines {
		f.await("the new version is in force on "+m.name, func() bool {
			got, err := f.ask(m, http.MethodGet, "/lookup/7", "")
			_, services := f.runsOf(got.id)
			return err == nil && len(services) == 1 && services[0] == "ledger"
		})
	}
}

// TestPlatformKeepsServing takes the store and one upstream away, then a daemon.
func TestPlatformKeepsServing(t *testing.T) {
	f := startFleet(t)
	first, second, third := f.machines[0], f.machines[1], f.machines[2]
	for _, m := range f.machines {
		f.await("the ledger is found from "+m.name, func() bool {
			got, err := f.ask(m, http.MethodGet, "/lookup/ledger/1", "")
			return err == nil && got.status == http.StatusOK
		})
	}
	f.store.SetFaultFunc(func(string, string) metastore.Fault { return metastore.Fault{Status: http.StatusServiceUnavailable} })
	f.mustAsk(first, http.MethodGet, "/lookup/1", "")

	// An upstream that has said that it leaves gets nothing more, whatever
	// arrives late.
	ctx := t.Context()
	assert.NilError(t, second.upstream.Drain(ctx))
	before := len(second.upstream.Runs())
	assert.NilError(t, second.upstream.SendStaleHeartbeat(ctx, "ready", 1))
	f.await("side-2 knows of the other ledger", func() bool {
		got, err := f.ask(second, http.MethodPost, "/charge/1", "x")
		return err == nil && got.status == http.StatusOK
	})
	for range 10 {
		f.mustAsk(second, http.MethodPost, "/charge/1", "x")
	}
	assert.Equal(t, len(second.upstream.Runs()), before)

	// A planned stop answers what it took.
	third.upstream.SetBehaviour(upstream.Behaviour{Delay: 300 * time.Millisecond})
	var tasks conc.WaitGroup
	asked := make(chan reply, 1)
	tasks.Go(func() {
		got, _ := f.ask(third, http.MethodGet, "/lookup/5", "")
		asked <- got
	})
	f.await("the request runs", func() bool { return len(third.upstream.Runs()) > 0 })
	assert.NilError(t, third.daemon.Process.Signal(syscall.SIGTERM))
	got := <-asked
	tasks.Wait()
	assert.Equal(t, got.status, http.StatusOK)
	f.await("side-3 is not ready", func() bool { return !f.ready(third) })

	// The store comes back with its history gone.
	f.store.SetFaultFunc(nil)
	f.store.Truncate(metastore.OperatorTopic)
	f.configure("ledger")
	f.await("the new version is in force", func() bool {
		got, err := f.ask(first, http.MethodGet, "/lookup/7", "")
		_, services := f.runsOf(got.id)
		return err == nil && len(services) == 1 && services[0] == "ledger"
	})
}

// TestPlatformAnswersThatDoNotFit plays upstreams that lose, cut and mix answers.
func TestPlatformAnswersThatDoNotFit(t *testing.T) {
	f := startFleet(t)
	fourth := f.machines[3]
	f.await("the ledger is found", func() bool {
		got, err := f.ask(fourth, http.MethodGet, "/lookup/ledger/1", "")
		return err == nil && got.status == http.StatusOK
	})
	for _, behaviour := range []upstream.Behaviour{{DropResponse: true}, {TruncateResponse: true}} {
		f.behaveLedger(behaviour)
		got, err := f.ask(fourth, http.MethodPost, "/charge/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusBadGateway, "%+v", behaviour)
		assert.Equal(t, got.header.Get("Response-Signature"), "")
		runs, _ := f.runsOf(got.id)
		assert.Equal(t, len(runs), 1, "%+v", behaviour)
	}
	f.behaveLedger(upstream.Behaviour{Shed: true})
	got, err := f.ask(fourth, http.MethodPost, "/charge/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	runs, _ := f.runsOf(got.id)
	assert.Equal(t, len(runs), 0)

	f.behaveLedger(upstream.Behaviour{Status: http.StatusInternalServerError})
	got, err = f.ask(fourth, http.MethodPost, "/charge/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Assert(t, got.header.Get("Response-Signature") != "", "the upstream's own failure passes")

	for _, behaviour := range []upstream.Behaviour{{CloseDelimited: true}, {DuplicateResponse: true}} {
		f.behaveLedger(behaviour)
		for range 6 {
			got, err := f.ask(fourth, http.MethodPost, "/charge/1", "x")
			assert.NilError(t, err)
			if got.status == http.StatusOK {
				assert.Equal(t, got.body, "answer to "+got.id+" x")
			} else {
				assert.Equal(t, got.status, http.StatusBadGateway)
			}
			runs, _ := f.runsOf(got.id)
			assert.Assert(t, len(runs) <= 1)
		}
	}
}

func (f *fleet) behaveLedger(behaviour upstream.Behaviour) {
	for _, m := range f.machines {
		if m.service == "ledger" {
			m.upstream.SetBehaviour(behaviour)
		}
	}
}

// TestPlatformStopKeepsCapacity stops the daemon of a target that goes on: while
// callers move away the target still serves others, and no request fails.
func TestPlatformStopKeepsCapacity(t *testing.T) {
	f := startFleet(t)
	third, fourth := f.machines[2], f.machines[3]
	f.await("side-4 sends to the target of its zone", func() bool {
		before := len(third.upstream.Runs())
		_, err := f.ask(fourth, http.MethodGet, "/lookup/1", "")
		return err == nil && len(third.upstream.Runs()) > before
	})
	assert.NilError(t, third.daemon.Process.Signal(syscall.SIGTERM))
	f.await("side-3 is not ready", func() bool { return !f.ready(third) })
	before := len(third.upstream.Runs())
	got, err := f.ask(third, http.MethodGet, "/lookup/2", "")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, "a stopping daemon goes on taking calls")
	f.mustAsk(fourth, http.MethodGet, "/lookup/3", "")
	assert.Equal(t, len(third.upstream.Runs()), before+2)
	ended := make(chan error, 1)
	go func() { ended <- third.daemon.Wait() }()
	for running := true; running; {
		f.mustAsk(fourth, http.MethodGet, "/lookup/4", "")
		select {
		case err := <-ended:
			assert.NilError(t, err)
			running = false
		default:
		}
	}
}

// TestHangupDuringAStopEndsNothing sends SIGHUP to a daemon that is stopping: it
// finishes what it took and ends in order.
func TestHangupDuringAStopEndsNothing(t *testing.T) {
	f := startFleet(t)
	third := f.machines[2]
	f.await("side-3 serves", func() bool {
		got, err := f.ask(third, http.MethodGet, "/lookup/1", "")
		return err == nil && got.status == http.StatusOK
	})
	third.upstream.SetBehaviour(upstream.Behaviour{Delay: 500 * time.Millisecond})
	before := len(third.upstream.Runs())
	var tasks conc.WaitGroup
	asked := make(chan reply, 1)
	tasks.Go(func() {
		got, _ := f.ask(third, http.MethodGet, "/lookup/2", "")
		asked <- got
	})
	f.await("the request runs", func() bool { return len(third.upstream.Runs()) > before })
	assert.NilError(t, third.daemon.Process.Signal(syscall.SIGTERM))
	f.await("side-3 is not ready", func() bool { return !f.ready(third) })
	assert.NilError(t, third.daemon.Process.Signal(syscall.SIGHUP))
	got := <-asked
	tasks.Wait()
	assert.Equal(t, got.status, http.StatusOK)
	assert.NilError(t, third.daemon.Wait())
}
