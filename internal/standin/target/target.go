// Package target is a small stand-in for a target of the mesh. It announces
// itself to the daemon of its host, misbehaves on request and records every
// request that it ran.
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
	// stopTimeout bounds how long requests may go on after Run's end.
	stopTimeout = 5 * time.Second
	// readHeaderTimeout bounds the reading of a request's head.
	readHeaderTimeout = 5 * time.Second
)

// Options of a target.
type Options struct {
	// Service is the full name of the service, "workspace/service".
	Service string
	// Listen is the address to serve at, "IP:port"; port 0 picks one.
	Listen string
	// DaemonAddress is the address that takes announcements, empty for none.
	DaemonAddress string
	// Slots is how many requests the target says it runs at once.
	Slots int
	// Workers is how many requests really run at once, the others wait in
	// order; 0 means no bound.
	Workers int
	// Behaviour to begin with; an empty state means ready.
	Behaviour Behaviour
	Logger    *logrus.Logger
}

// Target is one stand-in target.
type Target struct {
	options  Options
	log      *logrus.Entry
	runs     recorder
	listener net.Listener
	// workers holds a token for each request that runs, nil for no bound.
	workers chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	changed   chan struct{}
}

// New returns a target that already listens, so that Address is known, but
// serves only once Run is called.
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
		log:       logging.Part(options.Logger, "target"),
		listener:  listener,
		behaviour: options.Behaviour,
		changed:   make(chan struct{}),
	}, nil
}

// Address is where the target serves, "IP:port".
func (t *Target) Address() string { return t.listener.Addr().String() }

// Runs returns the requests that the target ran, oldest first.
func (t *Target) Runs() []Run { return t.runs.snapshot() }

// PeakActive is the most requests that ran at once.
func (t *Target) PeakActive() int { return t.runs.peakActive() }

// Behaviour returns the behaviour in use.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// SetBehaviour changes the behaviour. A changed state is announced at once.
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

// Run serves and announces until ctx ends, then withdraws the announcement
// and lets requests in progress end.
func (t *Target) Run(ctx context.Context) error {
	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { served <- server.Serve(t.listener) })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if t.options.DaemonAddress != "" {
		tasks.Go(func() { t.announceAll(ctx) })
	}
	select {
	case err := <-served:
		return fmt.Errorf("target: serve: %w", err)
	case <-ctx.Done():
	}
	stopping, stop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer stop()
	err := server.Shutdown(stopping)
	if err != nil {
		_ = server.Close()
	}
	if served := <-served; !errors.Is(served, http.ErrServerClosed) {
		return fmt.Errorf("target: serve: %w", served)
	}
	return nil
}

// announceAll renews the announcement until ctx ends and then withdraws it.
func (t *Target) announceAll(ctx context.Context) {
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
