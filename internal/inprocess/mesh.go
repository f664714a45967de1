// Package inprocess runs a whole mesh in one process for the demo, failure tests
// and benchmarks: a stand-in for the log, daemons and targets.
package inprocess

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/daemon"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// anyPort lets the operating system choose a port on the loopback interface.
const anyPort = "127.0.0.1:0"

// Fixed parameters of every host.
const (
	targetSlots   = 20
	targetDelay   = 2 * time.Millisecond
	eventCapacity = 1 << 16
	maxBody       = 1 << 20
	maxPeers      = 6
	stopTimeout   = 5 * time.Second
)

// HostSpec describes one host.
type HostSpec struct {
	Host   string
	Zone   string
	Region string
	// Service is the full name of the target's service, "workspace/service".
	Service string
}

// Host is one daemon with its target.
type Host struct {
	Spec   HostSpec
	Daemon *daemon.Daemon
	Target *target.Target

	stop     context.CancelFunc
	finished *conc.WaitGroup
	// daemonEnded is closed when Daemon has ended with daemonErr.
	daemonEnded chan struct{}
	daemonErr   error
}

// BeginStop begins a graceful stop of the daemon and the target.
func (h *Host) BeginStop() { h.stop() }

// AwaitDaemon waits until the daemon has ended and returns its error.
func (h *Host) AwaitDaemon() error {
	<-h.daemonEnded
	return h.daemonErr
}

// runDaemon runs the daemon until ctx is cancelled or the daemon fails.
func (h *Host) runDaemon(ctx context.Context) {
	defer close(h.daemonEnded)
	h.daemonErr = h.Daemon.Run(ctx)
}

// Mesh is the hosts and the stand-in for the log that they share.
type Mesh struct {
	Log     *logservice.Service
	Network *Network
	Hosts   []*Host

	mu sync.Mutex
	// stoppedEvents holds the timeline events of stopped daemons.
	stoppedEvents [][]timeline.Event
}

// Start starts a daemon and a target for each spec.
func Start(ctx context.Context, specs []HostSpec) (*Mesh, error) {
	m := &Mesh{Log: logservice.New(logservice.Options{}), Network: newNetwork()}
	for _, spec := range specs {
		host, err := m.startHost(ctx, spec)
		if err != nil {
			m.Stop()
			return nil, err
		}
		m.Hosts = append(m.Hosts, host)
	}
	return m, nil
}

// startHost starts the daemon and the target of one host.
func (m *Mesh) startHost(ctx context.Context, spec HostSpec) (*Host, error) {
	d, err := daemon.New(daemon.Options{
		Settings: m.settings(spec),
		Log:      m.Network.log(spec.Zone, m.Log),
		Dial:     m.Network.dial(spec.Zone),
	})
	if err != nil {
		return nil, err
	}
	m.Network.setZone(d.Addresses(), spec.Zone)
	standin, err := target.New(target.Options{
		Service:       spec.Service,
		Listen:        anyPort,
		DaemonAddress: d.Addresses().Target,
		Slots:         targetSlots,
		Behaviour:     target.Behaviour{State: target.StateReady, Delay: settings.Duration(targetDelay)},
	})
	if err != nil {
		return nil, fmt.Errorf("target of %s: %w", spec.Host, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	host := &Host{
		Spec:        spec,
		Daemon:      d,
		Target:      standin,
		stop:        cancel,
		finished:    conc.NewWaitGroup(),
		daemonEnded: make(chan struct{}),
	}
	host.finished.Go(func() { host.runDaemon(ctx) })
	host.finished.Go(func() { _ = standin.Run(ctx) })
	return host, nil
}

// settings returns the settings of a host. Its peers are up to maxPeers hosts
// that were started before it.
func (m *Mesh) settings(spec HostSpec) *settings.Settings {
	var peers []string
	for _, other := range m.Hosts[:min(len(m.Hosts), maxPeers)] {
		peers = append(peers, other.Daemon.Addresses().Control)
	}
	return &settings.Settings{
		Host:   spec.Host,
		Zone:   spec.Zone,
		Region: spec.Region,
		Listen: settings.Listen{
			Callers: anyPort,
			Calls:   anyPort,
			Control: anyPort,
			Admin:   anyPort,
			Target:  anyPort,
		},
		Peers:       peers,
		TLS:         settings.TLS{Mode: settings.SwitchOff},
		Admin:       settings.Admin{MaxBody: maxBody},
		Timeline:    settings.Timeline{Events: eventCapacity},
		StopTimeout: settings.Duration(stopTimeout),
	}
}

// Restart stops some hosts gracefully at the same time and starts them again.
func (m *Mesh) Restart(ctx context.Context, indexes ...int) error {
	var stops conc.WaitGroup
	for _, index := range indexes {
		stops.Go(func() { m.stopHost(m.Hosts[index]) })
	}
	stops.Wait()
	for _, index := range indexes {
		host, err := m.startHost(ctx, m.Hosts[index].Spec)
		if err != nil {
			return err
		}
		m.Hosts[index] = host
	}
	return nil
}

// stopHost stops one host and keeps its timeline events.
func (m *Mesh) stopHost(h *Host) {
	h.stop()
	h.finished.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stoppedEvents = append(m.stoppedEvents, h.Daemon.Events())
}

// Stop stops all hosts.
func (m *Mesh) Stop() {
	m.Network.Heal()
	var tasks conc.WaitGroup
	for _, h := range m.Hosts {
		tasks.Go(func() { m.stopHost(h) })
	}
	tasks.Wait()
}

// Events returns the merged timeline of all stopped daemons.
func (m *Mesh) Events() []timeline.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	return timeline.Merge(m.stoppedEvents)
}
