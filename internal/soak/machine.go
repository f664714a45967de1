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

// machine is a daemon process with its target and the proxies for its
// connections.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	region  string
	service string
	// listen holds the daemon's listen addresses by their name in the settings.
	listen map[string]string
	// storeProxy leads to the store; callsProxy and controlProxy lead to the
	// daemon.
	storeProxy, callsProxy, controlProxy *proxy

	mu sync.Mutex
	// process is the running daemon, nil while none runs.
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// stopRequested says that the process was told to exit, killed that SIGKILL
	// was sent.
	stopRequested, killed bool
	// incarnation is the number of processes started so far.
	incarnation  int
	target       *upstream.Upstream
	cancelTarget context.CancelFunc
	instance     string
	targetCount  int
}

// firstPort is the first port of every daemon; each machine has its own IP
// address.
const firstPort = 7411

func (m *machine) settingsPath() string { return filepath.Join(m.fleet.dir, m.name+".json") }

func (m *machine) logPath() string { return filepath.Join(m.fleet.dir, m.name+".log") }

// settings returns the daemon's settings. They are those of the users' platform,
// except that other daemons are given the addresses of the proxies.
func (m *machine) settings() []byte {
	text, err := json.MarshalIndent(map[string]any{
		"host": m.name, "zone": m.zone, "region": m.region,
		"listen":       m.listen,
		"advertise":    map[string]string{"calls": m.callsProxy.address(), "control": m.controlProxy.address()},
		"adapter":      "platform",
		"platform":     map[string]string{"address": "http://" + m.storeProxy.address(), "timeout": "1s"},
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
		// Marshalling maps of strings and numbers cannot fail.
		panic(err)
	}
	return text
}

// superviseDaemon runs the daemon and restarts it whenever it exits, until ctx
// ends.
func (m *machine) superviseDaemon(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.runDaemon(ctx); err != nil && ctx.Err() == nil {
			m.fleet.checker.addViolation(UnexpectedExit, "", "%s: %v", m.name, err)
		}
		wait.For(ctx, restartDelay)
	}
}

// runDaemon runs one daemon process until it exits. The error reports an exit
// that was not requested, or a failed graceful stop.
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
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.stopRequested, m.killed = process, exited, false, false
	m.incarnation++
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = process.Process.Kill() })
	defer stop()
	err = process.Wait()
	close(exited)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = nil
	switch {
	case m.killed, m.stopRequested && err == nil:
		return nil
	case m.stopRequested:
		return fmt.Errorf("a stop did not end in order: %w", err)
	default:
		return fmt.Errorf("the daemon ended by itself: %w", err)
	}
}

// signal sends a signal to the running process. terminates says that the process
// is expected to exit.
func (m *machine) signal(signal syscall.Signal, terminates bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.stopRequested = m.stopRequested || terminates
	m.killed = m.killed || signal == syscall.SIGKILL
	_ = m.process.Process.Signal(signal)
}

// stop stops the process gracefully and kills it after stopGrace.
func (m *machine) stop(ctx context.Context) {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	m.signal(syscall.SIGTERM, true)
	timer := time.NewTimer(stopGrace)
	defer timer.Stop()
	select {
	case <-exited:
	case <-ctx.Done():
	case <-timer.C:
		m.signal(syscall.SIGKILL, true)
	}
}

// runningIncarnation returns the incarnation of the running process, or 0 if none
// runs or it was told to exit.
func (m *machine) runningIncarnation() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil || m.stopRequested {
		return 0
	}
	return m.incarnation
}

// startTarget starts a new target instance, which replaces the previous one.
func (m *machine) startTarget(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targetCount++
	instance := fmt.Sprintf("i-%s-%d", m.name, m.targetCount)
	service := m.service
	target, err := upstream.New(upstream.Options{
		ID: instance, Service: service, Slots: targetSlots, DaemonAddress: m.listen["target"],
		StartedUnixMs: time.Now().UnixMilli(), Listen: m.ip + ":0",
		OnRun: func(run upstream.Run) { m.fleet.checker.requestRan(instance, service, run) },
	})
	if err != nil {
		return err
	}
	target.SetBehaviour(normalBehaviour)
	targetCtx, cancel := context.WithCancel(ctx)
	m.target, m.instance, m.cancelTarget = target, instance, cancel
	m.fleet.tasks.Go(func() { target.Run(targetCtx) })
	return nil
}

// normalBehaviour is the behaviour of a target without a fault.
var normalBehaviour = upstream.Behaviour{Delay: targetDelay}

// applyBehaviour gives the target a behaviour for a duration.
func (m *machine) applyBehaviour(ctx context.Context, behaviour upstream.Behaviour, duration time.Duration) {
	m.mu.Lock()
	target := m.target
	m.mu.Unlock()
	target.SetBehaviour(behaviour)
	wait.For(ctx, duration)
	target.SetBehaviour(normalBehaviour)
}

// replaceTarget drains and deregisters the target and starts a new one.
func (m *machine) replaceTarget(ctx context.Context) {
	m.mu.Lock()
	target, instance, cancel := m.target, m.instance, m.cancelTarget
	m.mu.Unlock()
	for target.Drain(ctx) != nil {
		if !wait.For(ctx, restartDelay) {
			return
		}
	}
	m.fleet.checker.drainAcknowledged(instance)
	if !wait.For(ctx, drainGrace+time.Second) {
		return
	}
	// A target whose deregistration is not acknowledged exits all the same.
	_ = target.Deregister(ctx)
	cancel()
	if err := m.startTarget(ctx); err != nil {
		m.fleet.checker.addViolation(UnexpectedExit, "", "target of %s: %v", m.name, err)
	}
}

// ready reports whether the daemon's readiness check succeeds.
func (m *machine) ready() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + m.listen["ready"] + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
