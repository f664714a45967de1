// Package distribute replicates the records of the configuration log to every
// daemon.
//
// In each region one daemon reads the log. The other daemons receive the
// records over a shallow tree of daemons, each of which pushes them as soon as
// it has applied them. Each connection is one goroutine on either side. A
// daemon whose source fails switches to the next source in the order defined in
// parents.go.
package distribute

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// trafficKind identifies this package in the traffic byte counts.
const trafficKind = "distribute"

// Options configures a Distributor.
type Options struct {
	Self      peer.Identity
	Log       platform.Log
	Enforcer  *enforce.Enforcer
	Directory membership.Directory
	Dialer    *peer.Dialer
	// Peers are the control addresses to contact while the directory is empty.
	Peers   []string
	Events  timeline.Recorder
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Snapshots sets when snapshots are written; zero fields select the
	// defaults.
	Snapshots SnapshotPolicy
	// DisableSnapshots keeps this daemon from writing snapshots.
	DisableSnapshots bool
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	// Clock returns the current time; nil selects time.Now.
	Clock func() time.Time
	// Rand is the source of jitter; nil selects a random seed.
	Rand *rand.Rand
}

// Distributor keeps the state machine of one daemon up to date with the log and
// forwards the records to the daemons that follow it.
type Distributor struct {
	self      peer.Identity
	log       platform.Log
	enforcer  *enforce.Enforcer
	directory membership.Directory
	dialer    *peer.Dialer
	peers     []string
	events    timeline.Recorder
	logger    *logrus.Entry
	counters  *counters
	now       func() time.Time
	jitter    *jitter

	timing            Timing
	snapshotsDisabled bool
	readLimiter       *rate.Limiter
	catchUpLimiter    *rate.Limiter
	snapshotPolicy    SnapshotPolicy
	availability      *logAvailability
	state             *state
	pullTracker       *pullTracker
	followers         *followers
	summaries         *regionSummaries
	diverged          *divergedPeers
	recordEncoder     recordEncoder
	logStoppedOnce    sync.Once
}

// New returns a Distributor. It does nothing until Run is called.
func New(options Options) *Distributor {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	if options.Events == nil {
		options.Events = timeline.Discard{}
	}
	d := &Distributor{
		self:              options.Self,
		log:               options.Log,
		enforcer:          options.Enforcer,
		directory:         options.Directory,
		dialer:            options.Dialer,
		peers:             options.Peers,
		events:            options.Events,
		logger:            logging.ForComponent(options.Logger, trafficKind),
		counters:          newCounters(options.Metrics),
		now:               options.Clock,
		jitter:            &jitter{random: options.Rand},
		timing:            options.Timing,
		snapshotsDisabled: options.DisableSnapshots,
		readLimiter:       newReadLimiter(),
		catchUpLimiter:    newCatchUpLimiter(),
		snapshotPolicy:    options.Snapshots.withDefaults(),
		availability:      &logAvailability{events: options.Events, log: logging.ForComponent(options.Logger, trafficKind)},
		state:             newState(options.Self.Host, options.Enforcer, options.Clock),
		pullTracker:       newPullTracker(options.Clock),
		followers:         newFollowers(options.Clock),
		summaries:         newRegionSummaries(options.Clock),
		diverged:          newDivergedPeers(),
	}
	d.registerGauges(options.Metrics)
	return d
}

// Run keeps the state machine up to date until ctx is cancelled.
func (d *Distributor) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	tasks.Go(func() { d.runSources(ctx) })
	tasks.Go(func() { d.runPulls(ctx) })
	tasks.Go(func() { d.runSummaries(ctx) })
	if !d.snapshotsDisabled {
		tasks.Go(func() { d.runSnapshots(ctx) })
	}
	tasks.Wait()
	return nil
}

// jitter is a source of random durations that is safe for concurrent use.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

// around returns a random duration between d/2 and 3*d/2.
func (j *jitter) around(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.random.Int64N(int64(d)+1))
}
