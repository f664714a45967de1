package main_test

import (
	"bytes"
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
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/secure/securetest"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Ports of each process; each process has its own IP address.
const (
	callersPort = 7401
	callsPort   = 7402
	controlPort = 7403
	adminPort   = 7404
	targetPort  = 7405
	servicePort = 7406
	logPort     = 7500
	faultsPort  = 7501
)

const (
	// waitTimeout bounds each wait for a condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 10 * time.Second
	// longDeadline exceeds callTimeout, so that only callTimeout ends a call that
	// hangs.
	longDeadline = 3 * callTimeout
	// stopTimeout bounds a graceful stop. It exceeds callTimeout, so that a stop
	// doesn't end a call that hangs before callTimeout does.
	stopTimeout = 3 * callTimeout
	workspace   = "../../examples/railway"
)

// binary is the path of the program under test, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mulberrybank")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "mulberrybank")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Stderr = os.Stderr
	status := 1
	if err := build.Run(); err == nil {
		status = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// host is one host: a daemon process and a target process.
type host struct {
	name     string
	zone     string
	region   string
	service  string
	address  string
	settings string
	// authority is the path of the CA certificate, empty without TLS.
	authority string
	daemon    *exec.Cmd
	target    *exec.Cmd
}

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.address, port) }
func (h *host) url(port int) string  { return "http://" + h.addr(port) }

// admin returns a client of the host's administration API, without TLS.
func (h *host) admin() *admin.Client {
	return admin.NewClient(h.addr(adminPort), "", http.DefaultClient)
}

func (h *host) runs(t *testing.T) []target.Run {
	t.Helper()
	var runs []target.Run
	getJSON(t, h.url(servicePort)+"/runs", &runs)
	return runs
}

// mesh is a log and several hosts as separate processes.
type mesh struct {
	t     *testing.T
	log   string
	hosts []*host
	// authority signs the daemons' certificates; nil means no TLS.
	authority *securetest.Authority
	// stoppedEvents holds the timeline events of daemons that a test stopped.
	stoppedEvents [][]timeline.Event
}

// newMesh starts a mesh without TLS.
func newMesh(t *testing.T) *mesh { return startMesh(t, nil) }

// startMesh starts the log, two hosts in each of two zones and their targets,
// with TLS if there is an authority.
func startMesh(t *testing.T, authority *securetest.Authority) *mesh {
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))
	m := &mesh{t: t, log: network + ".1", authority: authority}
	m.start("standin", "log",
		"--listen", fmt.Sprintf("%s:%d", m.log, logPort),
		"--admin-listen", fmt.Sprintf("%s:%d", m.log, faultsPort))
	m.await("log stand-in ready", func() bool { return m.trySetFaults(logservice.Faults{}) == nil })
	specs := []host{
		{name: "accra-1", zone: "greater-accra-a", region: "greater-accra", service: "railway/heater-status"},
		{name: "accra-2", zone: "greater-accra-a", region: "greater-accra", service: "railway/inspection-ledger"},
		{name: "ashanti-1", zone: "ashanti-a", region: "ashanti", service: "railway/heater-status"},
		{name: "ashanti-2", zone: "ashanti-a", region: "ashanti", service: "railway/inspection-ledger"},
	}
	for i, spec := range specs {
		spec.address = fmt.Sprintf("%s.%d", network, 10+i)
		m.hosts = append(m.hosts, &spec)
	}
	for _, h := range m.hosts {
		h.settings = m.writeSettings(h)
		m.startDaemon(h)
		h.target = m.start("standin", "target", "--service", h.service, "--daemon", h.addr(targetPort), "--listen", h.addr(servicePort))
	}
	return m
}

// writeSettings writes the settings of a host, with a comment and a trailing
// comma.
func (m *mesh) writeSettings(h *host) string {
	var peers []string
	for _, other := range m.hosts {
		if other != h {
			peers = append(peers, other.addr(controlPort))
		}
	}
	list, err := json.Marshal(peers)
	assert.NilError(m.t, err)
	text := fmt.Sprintf(`{
  // Written by the test.
  "host": %q, "zone": %q, "region": %q,
  "listen": {"callers": %q, "calls": %q, "control": %q, "admin": %q, "target": %q},
  "platform": {"address": "http://%s:%d", "timeout": "1s"},
  "peers": %s,
  "tls": %s,
  "timeline": {"events": 200000},
  "stop_timeout": %q,
}`, h.name, h.zone, h.region,
		h.addr(callersPort), h.addr(callsPort), h.addr(controlPort), h.addr(adminPort), h.addr(targetPort),
		m.log, logPort, list, m.tls(h), stopTimeout)
	path := filepath.Join(m.t.TempDir(), h.name+".json")
	assert.NilError(m.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// tls returns the TLS settings of a host.
func (m *mesh) tls(h *host) string {
	if m.authority == nil {
		return `{"mode": "off"}`
	}
	name := peer.CertificateName(peer.Identity{Host: h.name, Zone: h.zone})
	files := m.authority.Issue(m.t, m.t.TempDir(), int64(len(h.name)), name, net.ParseIP(h.address))
	h.authority = files.Authority
	return fmt.Sprintf(`{"mode": "on", "certificate": %q, "key": %q, "authority": %q}`,
		files.Certificate, files.Key, files.Authority)
}

// start starts a process that is killed when the test ends.
func (m *mesh) start(args ...string) *exec.Cmd {
	m.t.Helper()
	process := exec.Command(binary, args...)
	output, err := os.Create(filepath.Join(m.t.TempDir(), "output"))
	assert.NilError(m.t, err)
	process.Stdout, process.Stderr = output, output
	assert.NilError(m.t, process.Start())
	m.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		_ = output.Close()
		if text, err := os.ReadFile(output.Name()); err == nil && m.t.Failed() {
			m.t.Logf("%v:\n%s", args, tail(text))
		}
	})
	return process
}

// tail returns the end of a process's output.
func tail(text []byte) []byte {
	const limit = 4 << 10
	return text[max(0, len(text)-limit):]
}

func (m *mesh) startDaemon(h *host) {
	m.t.Helper()
	h.daemon = m.start("daemon", "--settings", h.settings)
}

// kill kills a daemon after saving its timeline events.
func (m *mesh) kill(h *host) {
	m.t.Helper()
	m.saveEvents(h)
	assert.NilError(m.t, h.daemon.Process.Kill())
	_ = h.daemon.Wait()
}

// saveEvents saves the timeline events of a daemon that is about to stop.
func (m *mesh) saveEvents(h *host) {
	m.t.Helper()
	events, err := h.admin().Timeline(m.t.Context())
	assert.NilError(m.t, err)
	m.stoppedEvents = append(m.stoppedEvents, events)
}

// await polls until a condition holds.
func (m *mesh) await(what string, holds func() bool) {
	m.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			m.t.Fatalf("%s: condition not met within %s", what, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// setFaults sets the faults of the log stand-in.
func (m *mesh) setFaults(faults logservice.Faults) {
	m.t.Helper()
	assert.NilError(m.t, m.trySetFaults(faults))
}

func (m *mesh) trySetFaults(faults logservice.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	response, err := http.Post(fmt.Sprintf("http://%s:%d/faults", m.log, faultsPort), "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("set faults of the log: %s", response.Status)
	}
	return nil
}

// runCommand runs an operator command and returns its output and exit status.
func (m *mesh) runCommand(args ...string) (string, int) {
	m.t.Helper()
	process := exec.Command(binary, args...)
	output, err := process.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		m.t.Fatalf("run %v: %v", args, err)
	}
	return string(output), process.ProcessState.ExitCode()
}

// publish publishes the example workspace and waits until it is active on all
// daemons, and all targets are ready.
func (m *mesh) publish() uint64 {
	m.t.Helper()
	return m.publishWorkspace(workspace)
}

// publishWithLongDeadline is like publish, but lookups have longDeadline.
func (m *mesh) publishWithLongDeadline() uint64 {
	m.t.Helper()
	dir := filepath.Join(m.t.TempDir(), "railway")
	assert.NilError(m.t, os.CopyFS(dir, os.DirFS(workspace)))
	path := filepath.Join(dir, "parameters.json")
	text, err := os.ReadFile(path)
	assert.NilError(m.t, err)
	const deadline = `"status_deadline": "800ms"`
	assert.Equal(m.t, strings.Count(string(text), deadline), 1)
	replacement := fmt.Sprintf(`"status_deadline": %q`, longDeadline)
	assert.NilError(m.t, os.WriteFile(path, []byte(strings.Replace(string(text), deadline, replacement, 1)), 0o600))
	return m.publishWorkspace(dir)
}

// publishWorkspace publishes a workspace and waits until it is active on all
// daemons, and all targets are ready.
func (m *mesh) publishWorkspace(dir string) uint64 {
	m.t.Helper()
	m.await("publication", func() bool {
		output, status := m.runCommand("publish", dir, "--admin", m.hosts[0].addr(adminPort), "--author", "test", "--wait")
		if status != 0 {
			m.t.Logf("publish: %s", output)
		}
		return status == 0
	})
	status, err := m.hosts[0].admin().Status(m.t.Context())
	assert.NilError(m.t, err)
	for _, h := range m.hosts {
		m.awaitVersion(h, status.Version)
		m.awaitTargets(h, len(m.hosts))
	}
	return status.Version
}

func (m *mesh) awaitVersion(h *host, version uint64) {
	m.t.Helper()
	m.await(fmt.Sprintf("version %d on %s", version, h.name), func() bool {
		status, err := h.admin().Status(m.t.Context())
		return err == nil && status.Version >= version
	})
}

// awaitTargets waits until a daemon sees count targets that are reachable and
// ready.
func (m *mesh) awaitTargets(h *host, count int) {
	m.t.Helper()
	m.await(fmt.Sprintf("%d ready targets on %s", count, h.name), func() bool {
		members, err := h.admin().Members(m.t.Context())
		if err != nil {
			return false
		}
		ready := 0
		for _, member := range members.Members {
			if member.Target == "ready" && member.Reach == "reachable" && member.State == "alive" {
				ready++
			}
		}
		return ready == count
	})
}

// callResult is the response to a call.
type callResult struct {
	status  int
	outcome string
	detail  string
}

// call makes one call through a daemon. A key makes it a keyed call, which may
// not be repeated.
func (m *mesh) call(h *host, path, key string, timeout time.Duration) (callResult, error) {
	ctx, cancel := context.WithTimeout(m.t.Context(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(callersPort)+path, http.NoBody)
	if err != nil {
		return callResult{}, err
	}
	if key != "" {
		request.Header.Set(call.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header.Get(call.HeaderOutcome), string(body)}, err
}

// runCount returns how often targets ran calls with a key.
func (m *mesh) runCount(key string) int {
	m.t.Helper()
	count := 0
	for _, h := range m.hosts {
		for _, run := range h.runs(m.t) {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}

// checkTimeline checks every invariant on the merged timeline of all processes.
func (m *mesh) checkTimeline() {
	m.t.Helper()
	lists := m.stoppedEvents
	for _, h := range m.hosts {
		events, err := h.admin().Timeline(m.t.Context())
		assert.NilError(m.t, err)
		lists = append(lists, events)
	}
	for _, violation := range timeline.Check(timeline.Merge(lists)) {
		m.t.Errorf("%s", violation)
	}
}

// exitStatus waits for a process to exit and returns its status.
func exitStatus(t *testing.T, process *exec.Cmd) int {
	t.Helper()
	_ = process.Wait()
	return process.ProcessState.ExitCode()
}

// assertOrderlyStop checks in the log of a daemon that its stop aborted no call.
func assertOrderlyStop(t *testing.T, daemon *exec.Cmd) {
	t.Helper()
	text, err := os.ReadFile(daemon.Stdout.(*os.File).Name())
	assert.NilError(t, err)
	log := string(text)
	assert.Assert(t, strings.Contains(log, "shutdown completed"))
	assert.Assert(t, !strings.Contains(log, "stop timeout"))
}

func signal(t *testing.T, process *exec.Cmd, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, process.Process.Signal(s))
}

func getJSON(t *testing.T, url string, into any) {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(into))
}
