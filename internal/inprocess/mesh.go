// Package inprocess runs a whole mesh in one process, for the demo, for tests
// of failures and for measurements: a stand-in of the log, daemons and targets.
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

// anyPort lets the system choose a port of the loopback interface.
const anyPort = "127.0.0.1:0"

// Sizes of a mesh.
const (
	targetSlots   = 20
	targetDelay   = 2 * time.Millisecond
	eventCapacity = 1 << 16
	maxBody       = 1 << 20
	maxPeers      = 6
	stopTimeout   = 5 * time.Second
)

// Place is where one host stands and what its target runs.
type Place struct {
	Host   string
	Zone   string
	Region string
	// Service is the full name of the target's service.
	Service string
}

// Host is one daemon with its target.
type Host struct {
	Place  Place
	Daemon *daemon.Daemon
	Target *target.Target

	stop     context.CancelFunc
	finished *conc.WaitGroup
}

// Mesh is the stand-in of the log and all hosts.
type Mesh struct {
	Log     *logservice.Service
	Network *Network
	Hosts   []*Host

	mu sync.Mutex
	// ended holds the events of daemons that have stopped.
	ended [][]timeline.Event
}

// Start starts a daemon and a target at each place.
func Start(ctx context.Context, places []Place) (*Mesh, error) {
	m := &Mesh{Log: logservice.New(logservice.Options{}), Network: newNetwork()}
	for _, place := range places {
		started, err := m.startHost(ctx, place)
		if err != nil {
			m.Stop()
			return nil, err
		}
		m.Hosts = append(m.Hosts, started)
	}
	return m, nil
}

// startHost starts the daemon and the target of one host.
func (m *Mesh) startHost(ctx context.Context, place Place) (*Host, error) {
	process, err := daemon.New(daemon.Options{
		Settings: m.settings(place),
		Log:      m.Network.log(place.Zone, m.Log),
		Dial:     m.Network.dial(place.Zone),
	})
	if err != nil {
		return nil, err
	}
	m.Network.place(process.Addresses(), place.Zone)
	stand, err := target.New(target.Options{
		Service:       place.Service,
		Listen:        anyPort,
		DaemonAddress: process.Addresses().Target,
		Slots:         targetSlots,
		Behaviour:     target.Behaviour{State: target.StateReady, Delay: settings.Duration(targetDelay)},
	})
	if err != nil {
		return nil, fmt.Errorf("target of %s: %w", place.Host, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	started := &Host{Place: place, Daemon: process, Target: stand, stop: cancel, finished: conc.NewWaitGroup()}
	started.finished.Go(func() { _ = process.Run(ctx) })
	started.finished.Go(func() { _ = stand.Run(ctx) })
	return started, nil
}

// settings returns the settings of a host with a few others as peers.
func (m *Mesh) settings(place Place) *settings.Settings {
	var peers []string
	for _, other := range m.Hosts[:min(len(m.Hosts), maxPeers)] {
		peers = append(peers, other.Daemon.Addresses().Control)
	}
	return &settings.Settings{
		Host:   place.Host,
		Zone:   place.Zone,
		Region: place.Region,
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

// Restart stops the hosts at some indexes in order, all at once, and starts
// them again.
func (m *Mesh) Restart(ctx context.Context, indexes ...int) error {
	var stops conc.WaitGroup
	for _, index := range indexes {
		stops.Go(func() { m.end(m.Hosts[index]) })
	}
	stops.Wait()
	for _, index := range indexes {
		started, err := m.startHost(ctx, m.Hosts[index].Place)
		if err != nil {
			return err
		}
		m.Hosts[index] = started
	}
	return nil
}

// end stops one host and keeps its events.
func (m *Mesh) end(h *Host) {
	h.stop()
	h.finished.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = append(m.ended, h.Daemon.Events())
}

// Stop ends every host.
func (m *Mesh) Stop() {
	m.Network.Heal()
	var tasks conc.WaitGroup
	for _, h := range m.Hosts {
		tasks.Go(func() { m.end(h) })
	}
	tasks.Wait()
}

// Events returns the merged time line of all daemons that have ended.
func (m *Mesh) Events() []timeline.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	return timeline.Merge(m.ended)
}
