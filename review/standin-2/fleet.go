package main

import (
	"bufio"
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
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of each machine, and the first one of the store. firstPort is chosen so that they
// are free.
const (
	firstPort    = 8140
	portReady    = 1
	portStore    = 20
	portControl  = 4
	portApp      = 5
	portInbound  = 6
	portOutbound = 7
	portRange    = 40
	portCount    = 60
	// portMetrics is fixed in the settings of the deploy file.
	portMetrics = 9464
)

var started = time.Now()

// now is the time since the start of the script.
func now() time.Duration { return time.Since(started) }

func must(err error) {
	if err != nil {
		panic(couldNotRun{err})
	}
}

// couldNotRun says that the case could not run.
type couldNotRun struct{ err error }

// host is one machine: a daemon process and its upstream.
type host struct {
	name, zone, region, service, ip string
	base                            int
	values                          map[string]string
	settings                        string
	daemon                          *exec.Cmd
	exited                          chan struct{}
	upstream                        *upstream
}

func (h *host) addr(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(h.base+port)) }

// fleet is a small deployment.
type fleet struct {
	dir, program, template string
	network                string
	base                   int
	store                  *store
	hosts                  []*host
	record                 *bufio.Writer
	recordMu               sync.Mutex
	version                int
	ids                    atomic.Int64
	bounds                 map[string]string
	tenants                []any
}

// newFleet opens the record and starts the store on a network of its own.
func newFleet(bounds map[string]string) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	root := os.Getenv("REVIEW_ROOT")
	file, err := os.Create(os.Getenv("REVIEW_RECORD"))
	must(err)
	f := &fleet{
		dir: dir, program: filepath.Join(root, "target", "mulberrybank"), record: bufio.NewWriter(file),
		store: newStore(), bounds: bounds,
	}
	if program := os.Getenv("REVIEW_PROGRAM"); program != "" {
		f.program = program
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json"))
	must(err)
	f.template = string(template)
	f.findFreePorts()
	return f
}

// findFreePorts chooses a network and a range of ports that nothing uses.
func (f *fleet) findFreePorts() {
	for try := 0; ; try++ {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		f.base = firstPort + portCount*rand.IntN(300)
		metrics := f.base <= portMetrics && portMetrics < f.base+portCount
		if !metrics && f.rangeIsFree() {
			return
		}
		if try > 50 {
			must(errors.New("no free range of ports"))
		}
	}
}

func (f *fleet) rangeIsFree() bool {
	for port := range portCount {
		listener, err := net.Listen("tcp", net.JoinHostPort(f.network+".20", strconv.Itoa(f.base+port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// note writes a line into the record.
func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%9.3f  %s\n", now().Seconds(), fmt.Sprintf(format, args...))
	_ = f.record.Flush()
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	placePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the template of the deploy file.
func (f *fleet) render(h *host) string {
	text := sectionPattern.ReplaceAllStringFunc(f.template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value := h.values[parts[2]]
		if (value != "" && value != "false") == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return placePattern.ReplaceAllStringFunc(text, func(place string) string { return h.values[strings.Trim(place, "{}")] })
}

// storeAddress is where a machine reaches the store.
func (f *fleet) storeAddress(number int) string {
	return f.network + ".7:" + strconv.Itoa(f.base+portStore+number)
}

func (f *fleet) addHost(name, zone, region, service string) *host {
	h := &host{name: name, zone: zone, region: region, service: service, ip: fmt.Sprintf("%s.%d", f.network, 20+len(f.hosts)), base: f.base}
	h.values = map[string]string{
		"node_name": name, "zone": zone, "region": region, "ip": h.ip, "service": service,
		"listen_addrs.outbound": h.addr(portOutbound), "listen_addrs.inbound": h.addr(portInbound),
		"listen_addrs.ready": h.addr(portReady), "listen_addrs.control": h.addr(portControl),
		"port_range.0": strconv.Itoa(f.base + portRange), "port_range.1": strconv.Itoa(f.base + portRange + 15),
		"cloud_platform.address": f.storeAddress(len(f.hosts)),
		"limits.memory_mb":       "284", "limits.link_mbps": "1000.0", "bootstrap": "true",
		"bounds.strict_revoke": "false",
	}
	for key, value := range f.bounds {
		h.values[key] = value
	}
	h.settings = filepath.Join(f.dir, name+".json")
	f.store.serve(f.storeAddress(len(f.hosts)), name)
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) writeSettings(h *host) {
	must(os.WriteFile(h.settings, []byte(f.render(h)), 0o600))
}

// start starts the daemon of a host with the command of the deploy file.
func (f *fleet) start(h *host) {
	f.writeSettings(h)
	// The whole system starts for the first time only once.
	h.values["bootstrap"] = "false"
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	h.daemon = exec.Command(f.program, "daemon")
	h.daemon.Env = append(os.Environ(), "MULBERRYBANK_CONFIG="+h.settings)
	h.daemon.Stdout, h.daemon.Stderr = log, log
	must(h.daemon.Start())
	exited := make(chan struct{})
	h.exited = exited
	daemon := h.daemon
	go func() {
		_ = daemon.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (h *host) signal(s syscall.Signal) { _ = h.daemon.Process.Signal(s) }

// kill ends a daemon with SIGKILL and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (f *fleet) startUpstream(h *host, id string, slots int) *upstream {
	h.upstream = newUpstream(h.addr(portApp), id, h.service, h.zone, h.addr(portControl), slots)
	return h.upstream
}

// close ends all processes.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.daemon != nil {
			h.kill()
		}
		if h.upstream != nil {
			h.upstream.stop()
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
	_ = f.record.Flush()
}

type routeOptions struct {
	name, prefix, kind, service string
	timeout                     float64
	attempts                    int
}

// configure publishes a version of the configuration.
func (f *fleet) configure(routes ...routeOptions) {
	f.version += 3
	services := map[string]bool{}
	var wireRoutes, wireServices []any
	for _, r := range routes {
		services[r.service] = true
		wireRoutes = append(wireRoutes, map[string]any{
			"name": r.name, "host": "ficu95.example", "path_prefix": r.prefix, "route_kind": r.kind, "service": r.service,
			"timeout_s": r.timeout, "target_latency_s": 0.4, "priority": 1, "max_attempts": max(r.attempts, 1),
		})
	}
	for name := range services {
		wireServices = append(wireServices, map[string]any{"name": name, "max_conns": 110})
	}
	config := map[string]any{
		"version": f.version, "routes": wireRoutes, "services": wireServices,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 5, "idle_timeout_s": 15},
	}
	if f.tenants != nil {
		config["tenants"] = f.tenants
	}
	text, err := json.Marshal(config)
	must(err)
	f.store.put("keyed.op", "config", text)
}

func (f *fleet) ready(h *host) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits for a condition of the set-up.
func (f *fleet) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			must(fmt.Errorf("%s: not within %s", what, limit))
		}
	}
}

type request struct {
	method, path, body string
	headers            map[string]string
	deadline           time.Duration
	// readRate limits how fast the answer is read, in bytes a second, 0 for no limit.
	readRate int
}

type answer struct {
	id           string
	sent, ended  time.Duration
	status       int
	header       http.Header
	body         string
	err          error
	complete     bool
	bytesRead    int
	headReceived time.Duration
}

// newID returns the id of a client attempt.
func (f *fleet) newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), f.ids.Add(1)) }

// send makes one client attempt on a connection of its own.
func (f *fleet) send(h *host, q request) answer {
	a := answer{id: f.newID(), sent: now()}
	r, err := http.NewRequest(q.method, "http://"+h.addr(portOutbound)+q.path, strings.NewReader(q.body))
	must(err)
	r.Host = "ficu95.example"
	r.Header["Request-Id"] = []string{a.id}
	r.Header["Deadline-Ms"] = []string{strconv.FormatInt(q.deadline.Milliseconds(), 10)}
	for name, value := range q.headers {
		r.Header[name] = []string{value}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := http.Client{Transport: transport, Timeout: q.deadline + time.Second}
	response, err := client.Do(r)
	if err != nil {
		a.err, a.ended = err, now()
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.header, a.headReceived = response.StatusCode, response.Header, now()
	text, err := io.ReadAll(response.Body)
	a.body, a.bytesRead, a.err, a.complete, a.ended = string(text), len(text), err, err == nil, now()
	return a
}

// whole reports whether the answer is a success with the whole body of the upstream.
func (a *answer) whole() bool {
	return a.err == nil && a.status == http.StatusOK && a.header.Get("Response-Signature") != "" && a.body == string(answerTo(a.id, len(a.body)))
}

func (a *answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("%s sent %.3f ended %.3f: no answer (%v)", a.id, a.sent.Seconds(), a.ended.Seconds(), a.err)
	}
	return fmt.Sprintf("%s sent %.3f ended %.3f: status %d, signature %q, %d bytes, whole %v (%v)", a.id, a.sent.Seconds(), a.ended.Seconds(), a.status, a.header.Get("Response-Signature"), a.bytesRead, a.whole(), a.err)
}

// runsOf returns all runs of all upstreams given.
func runsOf(upstreams ...*upstream) (all []run) {
	for _, u := range upstreams {
		all = append(all, u.allRuns()...)
	}
	return all
}
