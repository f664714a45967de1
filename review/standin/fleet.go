package main

import (
	"context"
	"encoding/json"
	"errors"
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
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// Ports of a machine. They are the same on all machines.
const (
	outboundPort = 7411
	inboundPort  = 7412
	readyPort    = 7413
	controlPort  = 7414
	appPort      = 7418
	meshPort     = 7420
	adminPort    = 7435
)

// machine is one sidecar machine: a daemon process and its upstream.
type machine struct {
	fleet    *fleet
	name     string
	zone     string
	region   string
	service  string
	ip       string
	settings string
	upstream *upstream

	mu     sync.Mutex
	daemon *exec.Cmd
	// startedAt is when the running daemon process was started.
	startedAt time.Time
	exited    chan struct{}
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	root     string
	folder   string
	network  string
	store    *store
	storeAt  string
	machines []*machine
	version  int
	ids      int
	idMu     sync.Mutex
	stopOnce sync.Once
}

// newFleet starts the store. root is the folder of the repository.
func newFleet(rec *record, root string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, root: root, folder: folder, network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))}
	f.store, err = newStore(f.network + ".1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = f.store.address()
	return f, nil
}

func (f *fleet) newID() string {
	f.idMu.Lock()
	defer f.idMu.Unlock()
	f.ids++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), f.ids)
}

func newRoute(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "path_prefix": prefix, "route_kind": kind, "service": service,
		"timeout_s": 1.2, "target_latency_s": 0.4, "priority": 1, "max_attempts": 2,
	}
}

// configure writes the next version as the operator does.
func (f *fleet) configure(routes []any, services ...string) {
	f.version += 3
	defined := []any{}
	for _, name := range services {
		defined = append(defined, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": defined,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	f.store.put("keyed.op", "config", value)
	f.record.printf("operator: version %d is acknowledged: %s", f.version, value)
}

var (
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
	firstOnly   = regexp.MustCompile(`\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
	laterOnly   = regexp.MustCompile(`\{\{\^bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
)

// writeSettings fills in deploy/settings.json as the platform does.
func (m *machine) writeSettings(first bool) error {
	template, err := os.ReadFile(filepath.Join(m.fleet.root, "deploy", "settings.json"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": m.name, "zone": m.zone, "region": m.region, "ip": m.ip, "service": m.service,
		"listen_addrs.outbound": m.addr(outboundPort), "listen_addrs.inbound": m.addr(inboundPort),
		"listen_addrs.ready": m.addr(readyPort), "listen_addrs.control": m.addr(controlPort),
		"port_range.0": strconv.Itoa(meshPort), "port_range.1": strconv.Itoa(adminPort),
		"cloud_platform.address": m.fleet.storeAt, "bounds.budget_slack": "56", "bounds.retry_budget_ratio": "0.2",
		"limits.memory_mb": "284", "limits.link_mbps": "1000.0", "bounds.grace_s": "6",
	}
	text := string(template)
	if first {
		text = laterOnly.ReplaceAllString(firstOnly.ReplaceAllString(text, "$1"), "")
	} else {
		text = laterOnly.ReplaceAllString(firstOnly.ReplaceAllString(text, ""), "$1")
	}
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(place string) string {
		value, ok := values[strings.Trim(place, "{}")]
		if !ok {
			missing = place
		}
		return value
	})
	if missing != "" {
		return errors.New("no value for " + missing)
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// addMachine adds a machine and starts its daemon and then its upstream.
func (f *fleet) addMachine(name, zone, region, service string, work time.Duration) (*machine, error) {
	m := &machine{fleet: f, name: name, zone: zone, region: region, service: service, ip: fmt.Sprintf("%s.%d", f.network, 10+len(f.machines))}
	m.settings = filepath.Join(f.folder, name+".json")
	f.machines = append(f.machines, m)
	if err := m.start(true); err != nil {
		return nil, err
	}
	var err error
	m.upstream, err = newUpstream(f.record, "i-"+name, service, zone, m.addr(appPort), m.addr(controlPort), work)
	return m, err
}

// start starts the daemon with the command of deploy/system.toml.
func (m *machine) start(first bool) error {
	if err := m.writeSettings(first); err != nil {
		return err
	}
	daemon := exec.Command(filepath.Join(m.fleet.root, "target", "mulberrybank"), "daemon")
	daemon.Dir = m.fleet.root
	daemon.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULBERRYBANK_CONFIG=" + m.settings}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	daemon.Stdout, daemon.Stderr = log, log
	if err := daemon.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		state := daemon.Wait()
		_ = log.Close()
		m.fleet.record.printf("daemon %s: process %d has ended: %v", m.name, daemon.Process.Pid, state)
		close(exited)
	}()
	m.mu.Lock()
	m.daemon, m.exited, m.startedAt = daemon, exited, time.Now()
	m.mu.Unlock()
	m.fleet.record.printf("daemon %s: process %d is started", m.name, daemon.Process.Pid)
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(sig syscall.Signal) {
	m.fleet.record.printf("daemon %s: signal %s", m.name, sig)
	_ = m.daemon.Process.Signal(sig)
}

// kill kills the daemon and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// ready asks the daemon as the platform does.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.addr(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder. Only its first call does
// anything; further ones wait for that.
func (f *fleet) stop() { f.stopOnce.Do(f.endAll) }

func (f *fleet) endAll() {
	for _, m := range f.machines {
		if m.upstream != nil {
			m.upstream.end()
		}
		if m.daemon != nil {
			_ = m.daemon.Process.Signal(syscall.SIGCONT)
			_ = m.daemon.Process.Kill()
			<-m.exited
		}
	}
	_ = os.RemoveAll(f.folder)
}

// answer is what a client got for one request.
type answer struct {
	id        string
	status    int
	signature string
	body      string
	err       error
	sent      time.Time
	took      time.Duration
}

// send sends one request of a client to the daemon of its machine, on a new connection.
func (m *machine) send(ctx context.Context, method, path, body string, deadline time.Duration) answer {
	id := m.fleet.newID()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(outboundPort)+path, strings.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	got := answer{id: id, sent: time.Now()}
	m.fleet.record.printf("client at %s: sends %s %s %s", m.name, id, method, path)
	response, err := client.Do(request)
	if err == nil {
		got.status, got.signature = response.StatusCode, response.Header.Get("Response-Signature")
		var content []byte
		content, err = io.ReadAll(response.Body)
		got.body = string(content)
		_ = response.Body.Close()
	}
	got.err, got.took = err, time.Since(got.sent)
	m.fleet.record.printf("client at %s: gets for %s: status %d, signature %q, body %q, error %v, after %s", m.name, id, got.status, got.signature, got.body, got.err, got.took.Round(time.Millisecond))
	return got
}
