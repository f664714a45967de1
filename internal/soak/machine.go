package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// machine is one daemon process, its target and the proxies before them.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	region  string
	service string
	// listen holds the addresses that the daemon serves, by name.
	listen map[string]string
	// storeLink, calls and control stand before the store and the daemon.
	storeLink, calls, control *proxy

	mu sync.Mutex
	// process is the running daemon, nil between two.
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// asked says that the end of the process was asked for, killed that it was
	// asked for with SIGKILL.
	asked, killed bool
	// incarnation counts the processes.
	incarnation int
	target      *upstream.Upstream
	endTarget   context.CancelFunc
	instance    string
	targets     int
}

// firstPort is the first port of a daemon; each machine has an address of its own.
const firstPort = 7411

func (m *machine) settingsPath() string { return filepath.Join(m.fleet.dir, m.name+".json") }

func (m *machine) logPath() string { return filepath.Join(m.fleet.dir, m.name+".log") }

// settings returns the settings of the daemon, as on the users' platform but for
// the addresses that other daemons are told.
func (m *machine) settings() []byte {
	text, err := json.MarshalIndent(map[string]any{
		"host": m.name, "zone": m.zone, "region": m.region,
		"listen":       m.listen,
		"advertise":    map[string]string{"calls": m.calls.address(), "control": m.control.address()},
		"adapter":      "platform",
		"platform":     map[string]string{"address": "http://" + m.storeLink.address(), "timeout": "1s"},
		"target":       map[string]string{"service": m.service, "lease": "10s"},
		"retries":      map[string]float64{"slack": 40, "ratio": 0.2},
		"pace":         "brisk",
		"keys":         "off",
		"snapshots":    "off",
		"tls":          map[string]string{"mode": "off"},
		"stop_linger":  "2700ms",
		"stop_timeout": "5s",
	}, "", "  ")
	if err != nil {
		// A map of texts and numbers can always be encoded.
		panic(err)
	}
	return text
}

// keepDaemon runs one process after the other until ctx ends.
func (m *machine) keepDaemon(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.runDaemon(ctx); err != nil && ctx.Err() == nil {
			m.fleet.ledger.violate(Ended, "", "%s: %v", m.name, err)
		}
		wait.For(ctx, restartDelay)
	}
}

// runDaemon runs one process to its end. The error says that it ended by itself.
func (m *machine) runDaemon(ctx context.Context) error {
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(m.fleet.options.Binary, "daemon", "--settings", m.settingsPath())
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.asked, m.killed = process, ended, false, false
	m.incarnation++
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = process.Process.Kill() })
	defer stop()
	err = process.Wait()
	close(ended)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = nil
	switch {
	case m.killed, m.asked && err == nil:
		return nil
	case m.asked:
		return fmt.Errorf("a stop did not end in order: %w", err)
	default:
		return fmt.Errorf("the daemon ended by itself: %w", err)
	}
}

// signal sends a signal to the running process. last says that it is to end.
func (m *machine) signal(signal syscall.Signal, last bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.asked = m.asked || last
	m.killed = m.killed || signal == syscall.SIGKILL
	_ = m.process.Process.Signal(signal)
}

// stop ends the process in order, and kills it after the grace time.
func (m *machine) stop(ctx context.Context) {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	m.signal(syscall.SIGTERM, true)
	timer := time.NewTimer(stopGrace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-ctx.Done():
	case <-timer.C:
		m.signal(syscall.SIGKILL, true)
	}
}

// present returns the number of the running process, 0 when none runs.
func (m *machine) present() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil || m.asked {
		return 0
	}
	return m.incarnation
}

// startTarget starts a target in place of the one before.
func (m *machine) startTarget(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets++
	instance := fmt.Sprintf("i-%s-%d", m.name, m.targets)
	service := m.service
	target, err := upstream.New(upstream.Options{
		ID: instance, Service: service, Slots: slots, DaemonAddress: m.listen["target"],
		StartedUnixMs: time.Now().UnixMilli(), Listen: m.ip + ":0",
		OnRun: func(run upstream.Run) { m.fleet.ledger.ran(instance, service, run) },
	})
	if err != nil {
		return err
	}
	target.SetBehaviour(usual)
	targetCtx, end := context.WithCancel(ctx)
	m.target, m.instance, m.endTarget = target, instance, end
	m.fleet.tasks.Go(func() { target.Run(targetCtx) })
	return nil
}

// usual is how targets answer without a fault.
var usual = upstream.Behaviour{Delay: workTime}

// behave changes how the target answers for a time.
func (m *machine) behave(ctx context.Context, behaviour upstream.Behaviour, span time.Duration) {
	m.mu.Lock()
	target := m.target
	m.mu.Unlock()
	target.SetBehaviour(behaviour)
	wait.For(ctx, span)
	target.SetBehaviour(usual)
}

// replace has the target leave and starts another one once it has gone.
func (m *machine) replace(ctx context.Context) {
	m.mu.Lock()
	target, instance, end := m.target, m.instance, m.endTarget
	m.mu.Unlock()
	for target.Drain(ctx) != nil {
		if !wait.For(ctx, restartDelay) {
			return
		}
	}
	m.fleet.ledger.leaves(instance)
	if !wait.For(ctx, drainBound+time.Second) {
		return
	}
	// A target that gets no acknowledgement ends all the same.
	_ = target.Deregister(ctx)
	end()
	if err := m.startTarget(ctx); err != nil {
		m.fleet.ledger.violate(Ended, "", "target of %s: %v", m.name, err)
	}
}

// ready reports whether the daemon takes callers.
func (m *machine) ready() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + m.listen["ready"] + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
