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
	// DefaultTargetConnections is the limit on connections to the local target.
	DefaultTargetConnections = 100
	// DefaultPeerConnections is the limit on connections to one other daemon.
	DefaultPeerConnections = 100
	// DefaultMaxCalls is the limit on calls of callers in progress.
	DefaultMaxCalls = 4096
)

// ConfigurationSource provides the active configuration.
type ConfigurationSource interface {
	// Table returns the active table, nil if there is none yet.
	Table() *enforce.Table
}

// TargetResolver provides the address of the target of this host.
type TargetResolver interface {
	// TargetAddress returns "IP:port", empty if no target has announced itself,
	// and the instance that the target announced, if any. Each start of a target
	// is a new instance.
	TargetAddress() (address, instance string)
}

// Options configure a Server.
type Options struct {
	Self      peer.Identity
	Config    ConfigurationSource
	Directory membership.Directory
	Target    TargetResolver
	// Dialect adapts requests to the target; nil if the target uses the mesh's own
	// headers.
	Dialect Dialect
	// OnTargetLeaving is called for each response of the target that says that the
	// instance leaves; nil for nothing to do.
	OnTargetLeaving func(instance string)
	// OnRefused is called for each call of a caller that is refused as not run; nil
	// for nothing to do.
	OnRefused func()
	// Keys is nil if calls with idempotency keys are not supported.
	Keys IdempotencyKeys
	// Quota is nil if client workspaces have no quotas.
	Quota QuotaLimiter
	// Versions is nil if targets are chosen without regard to their version.
	Versions VersionPicker
	Router   *route.Router
	Events   timeline.Recorder
	// Clock is the hybrid logical clock that stamps events and is sent along with
	// calls; nil for none.
	Clock   *timeline.Clock
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Now returns the current time, time.Now if nil.
	Now func() time.Time
	// Dial opens connections to targets and daemons, over TCP if nil.
	Dial DialFunc
	// DialPeers replaces Dial for connections to daemons, for TLS.
	DialPeers DialFunc
	// SampleRatio is the fraction of calls, from 0 to 1, whose events are recorded.
	// Events of calls that fail, are retried or carry a key always are.
	SampleRatio float64
	// RetrySlack is the number of retries of one service that all daemons together
	// may accumulate, 0 for a fixed number on each daemon.
	RetrySlack float64
	// RetryRatio limits the retries of one service to a fraction of its calls over
	// all daemons, 0 for the ratios of the routes.
	RetryRatio float64
	// LinkMbps is the speed of the host's link in Mbit/s, 0 if it is not known. Long
	// responses leave a part of it free.
	LinkMbps float64
	// AdaptiveConcurrency makes the gate find how many requests the target can take,
	// up to its announced slots.
	AdaptiveConcurrency bool
	// TargetConnections, PeerConnections and MaxCalls are limits; 0 means the
	// default.
	TargetConnections int
	PeerConnections   int
	MaxCalls          int
}

// Server serves the calls of one daemon.
type Server struct {
	self            peer.Identity
	config          ConfigurationSource
	directory       membership.Directory
	target          TargetResolver
	dialect         Dialect
	splits          *route.Splits
	elapsed         *elapsedEstimator
	keys            IdempotencyKeys
	quota           QuotaLimiter
	versions        VersionPicker
	router          *route.Router
	budgets         *route.Budgets
	events          timeline.Recorder
	clock           *timeline.Clock
	log             *logrus.Entry
	requestLogs     requestLoggers
	counters        counters
	now             func() time.Time
	sampleThreshold uint64
	onTargetLeaving func(instance string)
	onRefused       func()

	admission   *admissionQueue
	breaker     *targetBreaker
	pacer       *pacer
	link        linkQueue
	inflight    *inflight
	callLimit   *callLimiter
	targetConns *targetTransports
	peerConns   transports
}

// New returns a server for one daemon.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{
		self:            options.Self,
		config:          options.Config,
		directory:       options.Directory,
		target:          options.Target,
		dialect:         options.Dialect,
		splits:          route.NewSplits(),
		elapsed:         newElapsedEstimator(),
		keys:            options.Keys,
		quota:           options.Quota,
		versions:        options.Versions,
		router:          options.Router,
		budgets:         route.NewBudgets(options.RetrySlack, options.RetryRatio, options.Directory),
		events:          options.Events,
		clock:           options.Clock,
		log:             logging.ForComponent(options.Logger, "call"),
		counters:        newCounters(options.Metrics),
		requestLogs:     newRequestLoggers(logging.ForComponent(options.Logger, "call")),
		now:             options.Now,
		sampleThreshold: sampleThresholdOf(options.SampleRatio),
		admission:       newAdmissionQueue(options.Now),
		breaker:         &targetBreaker{now: options.Now},
		pacer:           newPacer(options.LinkMbps),
		link:            linkQueue{rate: pacedShare * options.LinkMbps * bytesPerMegabit, lengths: make(map[int]float64)},
		onTargetLeaving: options.OnTargetLeaving,
		onRefused:       options.OnRefused,
		inflight:        newInflight(),
		callLimit:       newCallLimiter(options.MaxCalls),
		targetConns:     newTargetTransports(options.Dial, options.TargetConnections, options.Now),
		peerConns:       newTransports(options.DialPeers, options.PeerConnections, maxPeerHeadBytes),
	}
	s.budgets.RegisterMetrics(options.Metrics)
	options.Metrics.NewGauge(`mulberrybank_target_rate_limit`, s.targetRateLimit)
	if options.AdaptiveConcurrency {
		s.admission.adapt()
	}
	options.Metrics.NewGauge(`mulberrybank_target_concurrency_limit`, s.admission.concurrencyLimit)
	options.Metrics.NewGauge(`mulberrybank_calls_in_progress`, func() float64 { return float64(s.InProgress()) })
	return s
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
	if o.OnTargetLeaving == nil {
		o.OnTargetLeaving = func(string) {}
	}
	if o.OnRefused == nil {
		o.OnRefused = func() {}
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

// PeerHandler serves the requests of other daemons to the target of this host.
func (s *Server) PeerHandler() http.Handler { return http.HandlerFunc(s.servePeer) }

// Drain makes the server refuse new and queued requests for its target as not run.
// Requests that run go on, and later calls of callers are forwarded to other hosts.
func (s *Server) Drain() {
	s.inflight.drain()
	s.admission.close()
	s.log.WithField("in_progress", s.inflight.inProgress()).Info("drain started")
}

// BeginStop makes the server ask callers to open a new connection for their next
// call. Calls are still accepted. Errors of calls that the stop refuses or aborts
// name the time at which it began. Long responses may use the whole link from now on, so
// that they end before the process does.
func (s *Server) BeginStop(began time.Time) {
	s.inflight.beginStop(began)
	s.pacer.useWholeLink()
}

// Shutdown makes the server refuse all further calls as not run, and returns once
// none is in progress. The error says how many were in progress when ctx ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.log.WithField("in_progress", s.inflight.inProgress()).Info("shutdown started, further calls are refused")
	if err := s.inflight.shutdown(ctx); err != nil {
		return err
	}
	s.log.Info("shutdown completed, no call is in progress")
	return nil
}

// Abort ends the calls in progress with an error, and with them the requests of other
// daemons, and returns once the responses have been written. The error says how many were
// in progress when ctx ended.
func (s *Server) Abort(ctx context.Context) error {
	s.inflight.peers.abort()
	s.inflight.answering.abort()
	return s.abortCallers(ctx, 0)
}

// AbortCallers is Abort for the calls of callers that still wait for a response. Responses
// on their way to callers go on, and so do requests of other daemons, since their callers
// know nothing of the stop of this daemon.
func (s *Server) AbortCallers(ctx context.Context) error {
	return s.abortCallers(ctx, s.inflight.inAnswering())
}

func (s *Server) abortCallers(ctx context.Context, answering int) error {
	count := s.inflight.inProgress()
	s.log.WithFields(logrus.Fields{"in_progress": count, "answering": answering}).Warn("calls in progress are aborted, but for those whose response is on its way")
	s.counters.aborted.Add(count - answering)
	s.inflight.callers.abort()
	return s.inflight.shutdown(ctx)
}

// InProgress returns the number of calls in progress.
func (s *Server) InProgress() int { return s.inflight.inProgress() }

// Load returns the current load of the local target.
func (s *Server) Load() route.Load { return s.admission.load() }

// Close closes idle connections.
func (s *Server) Close() {
	s.targetConns.close()
	s.peerConns.pooled.CloseIdleConnections()
}

// fail returns an error that occurred on this host.
func (s *Server) fail(outcome Outcome, step string, status int, err error) *Error {
	return &Error{Outcome: outcome, Step: step, Peer: s.self.Host, Status: status, Err: err}
}

// admissionLimitsOf returns the admission limits of a service whose target
// announced a number of slots, 0 for none.
func admissionLimitsOf(service *publish.Service, announcedSlots int) admissionLimits {
	slots := service.Slots
	if announcedSlots > 0 && (slots <= 0 || announcedSlots < slots || service.SlotsOverridable) {
		slots = announcedSlots
	}
	if service.Connections > 0 && slots > service.Connections {
		slots = service.Connections
	}
	return admissionLimits{slots: max(slots, 1), queue: service.Queue, timeout: service.QueueTimeout}
}
