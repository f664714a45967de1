// Package target is a stand-in for a target of the mesh. It announces itself to the
// daemon of its host, injects faults on demand and records every request that it
// executed.
package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
)

const (
	// shutdownTimeout bounds how long Run waits for requests in progress after its
	// context is done.
	shutdownTimeout = 5 * time.Second
	// readHeaderTimeout bounds the reading of the headers of a request.
	readHeaderTimeout = 5 * time.Second
)

// Options of a target.
type Options struct {
	// Service is the full name of the service, "workspace/service".
	Service string
	// Listen is the address to listen on, "IP:port"; port 0 selects a free port.
	Listen string
	// DaemonAddress is the address to which announcements are sent; empty disables
	// them.
	DaemonAddress string
	// Slots is the announced number of requests that the target executes
	// concurrently.
	Slots int
	// Workers bounds the requests that are actually executed concurrently; the
	// others wait in order. 0 means no bound.
	Workers int
	// Behaviour is the initial behaviour. An empty state means ready.
	Behaviour Behaviour
	Logger    *logrus.Logger
}

// Target is one stand-in target.
type Target struct {
	options  Options
	log      *logrus.Entry
	runs     recorder
	listener net.Listener
	// workers contains a token for each request in execution; nil means no bound.
	workers chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	changed   chan struct{}
}

// New returns a target that already listens, so that Address is known. It serves
// once Run is called.
func New(options Options) (*Target, error) {
	if options.Behaviour.State == "" {
		options.Behaviour.State = StateReady
	}
	if err := options.Behaviour.Validate(); err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("target: listen at %s: %w", options.Listen, err)
	}
	var workers chan struct{}
	if options.Workers > 0 {
		workers = make(chan struct{}, options.Workers)
	}
	return &Target{
		workers:   workers,
		options:   options,
		log:       logging.ForComponent(options.Logger, "target"),
		listener:  listener,
		behaviour: options.Behaviour,
		changed:   make(chan struct{}),
	}, nil
}

// Address returns the address that the target serves on, "IP:port".
func (t *Target) Address() string { return t.listener.Addr().String() }

// Runs returns the requests that the target executed, oldest first.
func (t *Target) Runs() []Run { return t.runs.snapshot() }

// PeakActive returns the largest number of requests that were executed concurrently.
func (t *Target) PeakActive() int { return t.runs.peakActive() }

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// SetBehaviour replaces the behaviour and announces its state at once.
func (t *Target) SetBehaviour(behaviour Behaviour) error {
	if behaviour.State == "" {
		behaviour.State = StateReady
	}
	if err := behaviour.Validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = behaviour
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// Run serves and announces until ctx is done. It then withdraws the announcement and
// waits for requests in progress.
func (t *Target) Run(ctx context.Context) error {
	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { served <- server.Serve(t.listener) })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if t.options.DaemonAddress != "" {
		tasks.Go(func() { t.announceLoop(ctx) })
	}
	select {
	case err := <-served:
		return fmt.Errorf("target: serve: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancelShutdown()
	err := server.Shutdown(shutdownCtx)
	if err != nil {
		_ = server.Close()
	}
	if served := <-served; !errors.Is(served, http.ErrServerClosed) {
		return fmt.Errorf("target: serve: %w", served)
	}
	return nil
}

// announceLoop renews the announcement until ctx is done and then withdraws it.
func (t *Target) announceLoop(ctx context.Context) {
	announcer := newAnnouncer(t.options.DaemonAddress)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		announcement, changed := t.announcement()
		if err := announcer.announce(ctx, announcement); err != nil && ctx.Err() == nil {
			t.log.WithError(err).Warn("announcement failed")
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-ctx.Done():
			t.withdraw(ctx, announcer)
			return
		}
	}
}

func (t *Target) withdraw(ctx context.Context, announcer *announcer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	if err := announcer.withdraw(ctx); err != nil {
		t.log.WithError(err).Warn("withdrawal failed")
	}
}

func (t *Target) announcement() (membership.Announcement, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return membership.Announcement{
		Service: t.options.Service,
		Address: t.Address(),
		Slots:   t.options.Slots,
		State:   t.behaviour.State,
	}, t.changed
}
