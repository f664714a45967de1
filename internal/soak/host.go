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

// host is a daemon process with its target and the proxies for its
// connections.
type host struct {
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
	// pausedAt is when the process was last suspended or resumed.
	pausedAt time.Time
	// incarnation is the number of processes started so far.
	incarnation  int
	target       *upstream.Upstream
	cancelTarget context.CancelFunc
	instance     string
	targetCount  int
}

// firstPort is the first port of every daemon; each host has its own IP
// address.
const firstPort = 7411

func (h *host) settingsPath() string { return filepath.Join(h.fleet.dir, h.name+".json") }

func (h *host) logPath() string { return filepath.Join(h.fleet.dir, h.name+".log") }

// settings returns the daemon's settings. They are those of the users' platform,
// except that other daemons are given the addresses of the proxies.
func (h *host) settings() []byte {
	text, err := json.MarshalIndent(map[string]any{
		"host": h.name, "zone": h.zone, "region": h.region,
		"listen":       h.listen,
		"advertise":    map[string]string{"calls": h.callsProxy.address(), "control": h.controlProxy.address()},
		"adapter":      "platform",
		"platform":     map[string]string{"address": "http://" + h.storeProxy.address(), "timeout": "1s"},
		"target":       map[string]string{"service": h.service, "lease": "10s"},
		"retries":      map[string]float64{"slack": 40, "ratio": 0.2},
		"pace":         "brisk",
		"quota":        map[string]any{"window": quotaWindow.String(), "overage": quotaOverage, "slack": quotaSlack},
		"keys":         "off",
		"snapshots":    "off",
		"tls":          map[string]string{"mode": "off"},
		"stop_linger":  "2700ms",
		"stop_timeout": "6s",
	}, "", "  ")
	if err != nil {
		// Marshalling maps of strings and numbers cannot fail.
		panic(err)
	}
	return text
}

// superviseDaemon runs the daemon and restarts it whenever it exits, until ctx
// ends.
func (h *host) superviseDaemon(ctx context.Context) {
	for ctx.Err() == nil {
		if err := h.runDaemon(ctx); err != nil && ctx.Err() == nil {
			h.fleet.checker.addViolation(UnexpectedExit, "", "%s: %v", h.name, err)
		}
		wait.For(ctx, restartDelay)
	}
}

// runDaemon runs one daemon process until it exits. The error reports an exit
// that was not requested, or a failed graceful stop.
func (h *host) runDaemon(ctx context.Context) error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(h.fleet.options.Binary, "daemon", "--settings", h.settingsPath())
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited, h.stopRequested, h.killed = process, exited, false, false
	h.incarnation++
	h.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = process.Process.Kill() })
	defer stop()
	err = process.Wait()
	close(exited)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = nil
	switch {
	case h.killed, h.stopRequested && err == nil:
		return nil
	case h.stopRequested:
		return fmt.Errorf("a stop did not end in order: %w", err)
	default:
		return fmt.Errorf("the daemon ended by itself: %w", err)
	}
}

// signal sends a signal to the running process. terminates says that the process
// is expected to exit.
func (h *host) signal(signal syscall.Signal, terminates bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	switch {
	case signal == syscall.SIGTERM && !h.stopRequested:
		h.fleet.checker.stopSent(h)
	case signal == syscall.SIGSTOP, signal == syscall.SIGCONT:
		h.pausedAt = time.Now()
	}
	h.stopRequested = h.stopRequested || terminates
	h.killed = h.killed || signal == syscall.SIGKILL
	_ = h.process.Process.Signal(signal)
}

// stop stops the process gracefully and kills it after stopGrace.
func (h *host) stop(ctx context.Context) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	start := time.Now()
	h.signal(syscall.SIGTERM, true)
	timer := time.NewTimer(stopGrace)
	defer timer.Stop()
	select {
	case <-exited:
	case <-ctx.Done():
	case <-timer.C:
		if !h.pausedSince(start) {
			h.fleet.checker.addViolation(UnexpectedExit, "", "%s: a stop did not end within %s", h.name, stopGrace)
		}
		h.signal(syscall.SIGKILL, true)
	}
}

// pausedSince reports whether the process was suspended for some time after start.
func (h *host) pausedSince(start time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pausedAt.After(start)
}

// isStopping reports whether the running process was told to exit.
func (h *host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.stopRequested
}

// runningIncarnation returns the incarnation of the running process, or 0 if none
// runs or it was told to exit.
func (h *host) runningIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || h.stopRequested {
		return 0
	}
	return h.incarnation
}

// startTarget starts a new target instance, which replaces the previous one.
func (h *host) startTarget(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targetCount++
	instance := fmt.Sprintf("i-%s-%d", h.name, h.targetCount)
	service := h.service
	target, err := upstream.New(upstream.Options{
		ID: instance, Service: service, Slots: targetSlots, DaemonAddress: h.listen["target"],
		StartedUnixMs: time.Now().UnixMilli(), Listen: h.ip + ":0",
		OnRun: func(run upstream.Run) { h.fleet.checker.requestRan(h, instance, service, run) },
		OnRunEnd: func(run upstream.Run, completed bool) {
			h.fleet.checker.runEnded(instance, run, completed)
		},
		ExecutionTime: executionTime,
	})
	if err != nil {
		return err
	}
	target.SetBehaviour(normalBehaviour)
	targetCtx, cancel := context.WithCancel(ctx)
	h.target, h.instance, h.cancelTarget = target, instance, cancel
	h.fleet.tasks.Go(func() { target.Run(targetCtx) })
	return nil
}

// normalBehaviour is the behaviour of a target without a fault.
var normalBehaviour = upstream.Behaviour{Delay: targetDelay}

// applyBehaviour gives the target a behaviour for a duration.
func (h *host) applyBehaviour(ctx context.Context, behaviour upstream.Behaviour, duration time.Duration) {
	h.mu.Lock()
	target := h.target
	h.mu.Unlock()
	target.SetBehaviour(behaviour)
	wait.For(ctx, duration)
	target.SetBehaviour(normalBehaviour)
}

// replaceTarget drains and deregisters the target and starts a new one.
func (h *host) replaceTarget(ctx context.Context) {
	h.mu.Lock()
	target, instance, cancel := h.target, h.instance, h.cancelTarget
	h.mu.Unlock()
	for target.Drain(ctx) != nil {
		if !wait.For(ctx, restartDelay) {
			return
		}
	}
	h.fleet.checker.drainAcknowledged(instance)
	if !wait.For(ctx, drainGrace+time.Second) {
		return
	}
	// A target whose deregistration is not acknowledged exits all the same.
	_ = target.Deregister(ctx)
	h.fleet.checker.targetExits(instance)
	cancel()
	if err := h.startTarget(ctx); err != nil {
		h.fleet.checker.addViolation(UnexpectedExit, "", "target of %s: %v", h.name, err)
	}
}

// ready reports whether the daemon's readiness check succeeds.
func (h *host) ready() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + h.listen["ready"] + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
