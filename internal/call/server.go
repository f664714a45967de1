package call

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Defaults of Options.
const (
	// DefaultTargetConnections bounds the connections to the own target.
	DefaultTargetConnections = 100
	// DefaultPeerConnections bounds the connections to one other daemon.
	DefaultPeerConnections = 100
	// DefaultMaxCalls bounds the calls of callers in progress.
	DefaultMaxCalls = 4096
)

// ConfigurationSource gives the configuration in force.
type ConfigurationSource interface {
	// Table returns the table in force, nil when there is none yet.
	Table() *enforce.Table
}

// TargetResolver knows where the target of this host serves.
type TargetResolver interface {
	// TargetAddress returns "IP:port", empty when no target has announced
	// itself, and the name of its start if it gave one.
	TargetAddress() (address, instance string)
}

// Options of a server.
type Options struct {
	Self      peer.Identity
	Config    ConfigurationSource
	Directory membership.Directory
	Target    TargetResolver
	// Dialect is how the target is spoken to, nil for the mesh's own headers.
	Dialect Dialect
	// Keys is nil where calls that may not be repeated are not served.
	Keys   IdempotencyKeys
	Router *route.Router
	Events timeline.Recorder
	// Clock stamps events and travels with calls; nil for none.
	Clock   *timeline.Clock
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Now is the clock, time.Now when nil.
	Now func() time.Time
	// Dial opens connections to targets and daemons, TCP when nil.
	Dial DialFunc
	// DialPeers opens connections to daemons in place of Dial, for TLS.
	DialPeers DialFunc
	// SampleRatio is the share of calls, from 0 to 1, whose events are
	// recorded. Calls that fail, are retried or carry a key always are.
	SampleRatio float64
	// RetrySlack is how many retries of one service all daemons together may
	// save up, 0 for a fixed number on each.
	RetrySlack float64
	// RetryRatio bounds the share of its calls that the retries of one service
	// may be over all daemons, 0 for the routes' own shares.
	RetryRatio float64
	// TargetConnections, PeerConnections and MaxCalls are bounds; 0 means
	// the default.
	TargetConnections int
	PeerConnections   int
	MaxCalls          int
}

// Server carries the calls of one daemon.
type Server struct {
	self      peer.Identity
	tables    ConfigurationSource
	directory membership.Directory
	target    TargetResolver
	dialect   Dialect
	splits    *route.Splits
	patiences *patiences
	keys      IdempotencyKeys
	router    *route.Router
	budgets   *route.Budgets
	events    timeline.Recorder
	clock     *timeline.Clock
	log       *logrus.Entry
	counters  counters
	now       func() time.Time
	sample    uint64

	gate     *gate
	inflight *inflight
	shares   *shares
	targets  *targetLink
	peers    *http.Transport
}

// New returns a server for one daemon.
func New(options Options) *Server {
	options = options.withDefaults()
	return &Server{
		self:      options.Self,
		tables:    options.Config,
		directory: options.Directory,
		target:    options.Target,
		dialect:   options.Dialect,
		splits:    route.NewSplits(),
		patiences: newPatiences(),
		keys:      options.Keys,
		router:    options.Router,
		budgets:   route.NewBudgets(options.RetrySlack, options.RetryRatio, options.Directory),
		events:    options.Events,
		clock:     options.Clock,
		log:       logging.Part(options.Logger, "call"),
		counters:  newCounters(options.Metrics),
		now:       options.Now,
		sample:    sampleLimit(options.SampleRatio),
		gate:      newGate(options.Now),
		inflight:  newInflight(),
		shares:    newShares(options.MaxCalls),
		targets:   newTargetLink(options.Dial, options.TargetConnections, options.Now),
		peers:     newTransport(options.DialPeers, options.PeerConnections),
	}
}

func (o Options) withDefaults() Options {
	if o.DialPeers == nil {
		o.DialPeers = o.Dial
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.TargetConnections <= 0 {
		o.TargetConnections = DefaultTargetConnections
	}
	if o.PeerConnections <= 0 {
		o.PeerConnections = DefaultPeerConnections
	}
	if o.MaxCalls <= 0 {
		o.MaxCalls = DefaultMaxCalls
	}
	return o
}

// CallerHandler serves callers at "/{workspace}/{route}/{rest}", any method.
func (s *Server) CallerHandler() http.Handler { return http.HandlerFunc(s.serveCaller) }

// PeerHandler serves other daemons on behalf of the target of this host.
func (s *Server) PeerHandler() http.Handler { return http.HandlerFunc(s.servePeer) }

// Drain makes the server refuse new work for its target, truthfully as not
// run, and returns once the calls that had begun before have ended. Calls of
// callers that come later are passed on to other hosts. The error says how
// many calls were left when ctx ended.
func (s *Server) Drain(ctx context.Context) error {
	s.log.Info("drain began")
	if err := s.inflight.drain(ctx); err != nil {
		s.log.WithError(err).Warn("drain ended early")
		return err
	}
	s.log.Info("drain ended")
	return nil
}

// DisableKeepAlives makes the server ask callers to open their next connection
// elsewhere. It goes on taking calls.
func (s *Server) DisableKeepAlives() { s.inflight.setClosing() }

// Shutdown makes the server refuse every later call as not run, and returns once
// none is in progress. The error says how many were left when ctx ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.inflight.finish(ctx) }

// Load is the present load of the own target.
func (s *Server) Load() route.Load { return s.gate.load() }

// Close closes idle connections.
func (s *Server) Close() {
	s.targets.close()
	s.peers.CloseIdleConnections()
}

// fail returns an error of this host.
func (s *Server) fail(outcome Outcome, step string, status int, err error) *Error {
	return &Error{Outcome: outcome, Step: step, Peer: s.self.Host, Status: status, Err: err}
}

// limitsOf returns the limits of the gate for a service.
func limitsOf(service *publish.Service, announced int) limits {
	slots := service.Slots
	if announced > 0 && (slots <= 0 || announced < slots || service.SlotsOverridable) {
		slots = announced
	}
	if service.Connections > 0 && slots > service.Connections {
		slots = service.Connections
	}
	return limits{slots: max(slots, 1), queue: service.Queue, timeout: service.QueueTimeout}
}
