// Package demo runs the system in one process and shows what it does in
// ordinary work and under a few failures.
package demo

import (
	"context"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/examples"
	"github.com/mulberrybank/mulberrybank/internal/daemon"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// anyPort lets the system choose a port of the loopback interface.
const anyPort = "127.0.0.1:0"

// place is where one host of the demo stands and what its target runs.
type place struct {
	host    string
	zone    string
	region  string
	service string
}

// host is one daemon with its target.
type host struct {
	place    place
	daemon   *daemon.Daemon
	target   *target.Target
	stop     context.CancelFunc
	finished *conc.WaitGroup
}

// mesh is the stand-in platform and all hosts.
type mesh struct {
	log   *logservice.Service
	hosts []*host

	mu sync.Mutex
	// ended holds the events of daemons that have stopped.
	ended [][]timeline.Event
}

// startMesh starts a daemon and a target at each place.
func startMesh(ctx context.Context, places []place) (*mesh, error) {
	m := &mesh{log: logservice.New(logservice.Options{})}
	for _, place := range places {
		started, err := m.startHost(ctx, place)
		if err != nil {
			m.stop()
			return nil, err
		}
		m.hosts = append(m.hosts, started)
	}
	return m, nil
}

// startHost starts the daemon and the target of one host.
func (m *mesh) startHost(ctx context.Context, place place) (*host, error) {
	process, err := daemon.New(daemon.Options{Settings: m.settings(place), Log: m.log})
	if err != nil {
		return nil, err
	}
	stand, err := target.New(target.Options{
		Service:   place.service,
		Listen:    anyPort,
		Daemon:    process.Addresses().Target,
		Slots:     targetSlots,
		Behaviour: target.Behaviour{State: target.StateReady, Delay: settings.Duration(targetDelay)},
	})
	if err != nil {
		return nil, fmt.Errorf("target of %s: %w", place.host, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	started := &host{place: place, daemon: process, target: stand, stop: cancel, finished: conc.NewWaitGroup()}
	started.finished.Go(func() { _ = process.Run(ctx) })
	started.finished.Go(func() { _ = stand.Run(ctx) })
	return started, nil
}

// settings returns the settings of a host with the others as peers.
func (m *mesh) settings(place place) *settings.Settings {
	var peers []string
	for _, other := range m.hosts {
		peers = append(peers, other.daemon.Addresses().Control)
	}
	return &settings.Settings{
		Host:   place.host,
		Zone:   place.zone,
		Region: place.region,
		Listen: settings.Listen{
			Callers: anyPort,
			Calls:   anyPort,
			Control: anyPort,
			Admin:   anyPort,
			Target:  anyPort,
		},
		Peers:       peers,
		Admin:       settings.Admin{MaxBody: maxBody},
		Timeline:    settings.Timeline{Events: eventCapacity},
		StopTimeout: settings.Duration(stopTimeout),
	}
}

// restart stops a host in order and starts its daemon and target again.
func (m *mesh) restart(ctx context.Context, index int) error {
	m.end(m.hosts[index])
	started, err := m.startHost(ctx, m.hosts[index].place)
	if err != nil {
		return err
	}
	m.hosts[index] = started
	return nil
}

// end stops one host and keeps its events.
func (m *mesh) end(h *host) {
	h.stop()
	h.finished.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = append(m.ended, h.daemon.Events())
}

// stop ends every host.
func (m *mesh) stop() {
	var tasks conc.WaitGroup
	for _, h := range m.hosts {
		tasks.Go(func() { m.end(h) })
	}
	tasks.Wait()
}

// events returns the merged time line of all daemons that have ended.
func (m *mesh) events() []timeline.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	return timeline.Merge(m.ended)
}

// source loads one of the example workspaces.
func source(workspace string) (*publish.Source, error) {
	files, err := fs.Sub(examples.Files, workspace)
	if err != nil {
		return nil, fmt.Errorf("example %s: %w", workspace, err)
	}
	return publish.LoadFS(files)
}

// Sizes of the demo.
const (
	targetSlots   = 20
	targetDelay   = 2 * time.Millisecond
	eventCapacity = 1 << 16
	maxBody       = 1 << 20
	stopTimeout   = 5 * time.Second
)
