// Package distribute brings the records of the log to every daemon.
//
// In each region one daemon reads the log; the others get the records along a
// shallow tree of daemons, pushed as they are folded. Each connection is one
// task on either side. A daemon whose source fails takes the next one in the
// order that parents.go gives.
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

// trafficKind is the name of this slice in the byte counts.
const trafficKind = "distribute"

// Options is what a Distributor works with.
type Options struct {
	Self      peer.Identity
	Log       platform.Log
	Enforcer  *enforce.Enforcer
	Directory membership.Directory
	Dialer    *peer.Dialer
	// Peers are control addresses to start from while the directory is empty.
	Peers   []string
	Events  timeline.Recorder
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Snapshots says when snapshots are written; zero values mean defaults.
	Snapshots SnapshotPolicy
	// DisableSnapshots keeps this daemon from writing any.
	DisableSnapshots bool
	// Timing is CalmTiming when it is zero.
	Timing Timing
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Rand is the source of jitter; nil means a random seed.
	Rand *rand.Rand
}

// Distributor keeps one daemon's fold at the tail of the log and passes the
// records on to those that follow it.
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

	timing         Timing
	noSnapshots    bool
	readLimiter    *rate.Limiter
	catchUpLimiter *rate.Limiter
	snapshotPolicy SnapshotPolicy
	availability   *logAvailability
	state          *state
	pullTracker    *pullTracker
	followers      *followers
	summaries      *regionSummaries
	diverged       *divergedPeers
	logStoppedOnce sync.Once
}

// New returns a distributor that does nothing before Run.
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
		self:           options.Self,
		log:            options.Log,
		enforcer:       options.Enforcer,
		directory:      options.Directory,
		dialer:         options.Dialer,
		peers:          options.Peers,
		events:         options.Events,
		logger:         logging.Part(options.Logger, trafficKind),
		counters:       newCounters(options.Metrics),
		now:            options.Clock,
		jitter:         &jitter{random: options.Rand},
		timing:         options.Timing,
		noSnapshots:    options.DisableSnapshots,
		readLimiter:    newReadLimiter(),
		catchUpLimiter: newCatchUpLimiter(),
		snapshotPolicy: options.Snapshots.withDefaults(),
		availability:   &logAvailability{events: options.Events, log: logging.Part(options.Logger, trafficKind)},
		state:          newState(options.Self.Host, options.Enforcer, options.Clock),
		pullTracker:    newPullTracker(options.Clock),
		followers:      newFollowers(options.Clock),
		summaries:      newRegionSummaries(options.Clock),
		diverged:       newDivergedPeers(),
	}
	d.registerGauges(options.Metrics)
	return d
}

// Run keeps the fold up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	tasks.Go(func() { d.runUpstream(ctx) })
	tasks.Go(func() { d.runPulls(ctx) })
	tasks.Go(func() { d.runSummaries(ctx) })
	if !d.noSnapshots {
		tasks.Go(func() { d.runSnapshots(ctx) })
	}
	tasks.Wait()
	return nil
}

// jitter is a source of random durations for several tasks.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

// around returns a duration between half of d and one and a half of it.
func (j *jitter) around(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.random.Int64N(int64(d)+1))
}
