// Package rollout moves the calls of a service to the targets of a new version, and back
// if that version is bad.
//
// Every daemon counts the answers of both versions and reports them to the home of the
// service, which compares them, decides, and answers with the share of calls for the
// new version. Daemons enforce the answer.
package rollout

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// freshAfter is how long a process must have known configurations before it takes an
// order that it learns of for a new one, on which there is no verdict yet.
const freshAfter = 10 * time.Second

// ConfigurationSource provides the active configuration.
type ConfigurationSource interface {
	// Table returns the active table, nil if there is none yet.
	Table() *enforce.Table
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Options configure Rollouts.
type Options struct {
	Self      peer.Identity
	Limits    Limits
	Config    ConfigurationSource
	Directory membership.Directory
	Dialer    *peer.Dialer
	// Log holds the statuses, nil if they are not recorded.
	Log     platform.KeyedLog
	Logger  *logrus.Logger
	Metrics *metrics.Set
	// Now is the clock, time.Now when nil.
	Now func() time.Time
}

// Rollouts are the rollouts as one daemon knows them. It implements call.VersionPicker.
type Rollouts struct {
	options Options
	log     *logrus.Entry
	now     func() time.Time
	metrics counters
	started time.Time
	newLink func(*service) reportLink

	// holds are those of the services that were called, by service.
	holds sync.Map

	mu       sync.RWMutex
	services map[string]*service
	// seenTables is set once Run has seen a table, so that an order in a later one is
	// new to this process.
	seenTables bool
}

// New returns Rollouts that know no order. Run must be called.
func New(options Options) *Rollouts {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return &Rollouts{
		options:  options,
		log:      logging.ForComponent(options.Logger, "rollout"),
		now:      options.Now,
		metrics:  newCounters(options.Metrics),
		started:  options.Now(),
		newLink:  func(s *service) reportLink { return &homeLink{service: s} },
		services: make(map[string]*service),
	}
}

// Run serves the orders of the active configuration until ctx ends: each has one task,
// from the time it is known until its final state is recorded.
func (r *Rollouts) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	running := make(map[*service]context.CancelFunc)
	for {
		changed := r.options.Config.Changed()
		if table := r.options.Config.Table(); table != nil {
			current := r.sync(table.Config)
			for s, cancel := range running {
				if !current[s] {
					cancel()
					delete(running, s)
				}
			}
			for s := range current {
				if running[s] == nil {
					taskCtx, cancel := context.WithCancel(ctx)
					running[s] = cancel
					tasks.Go(func() { s.run(taskCtx) })
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// sync makes services those that have an order.
func (r *Rollouts) sync(config *publish.Configuration) map[*service]bool {
	current := make(map[*service]bool, len(config.Rollouts))
	for _, order := range config.Rollouts {
		current[r.ofOrder(order)] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.services {
		if config.Rollouts[name] == nil {
			delete(r.services, name)
		}
	}
	r.seenTables = true
	return current
}

// newestConfig returns the configuration in force. That of a call was in force when the call
// began, before its body was read.
func (r *Rollouts) newestConfig(config *publish.Configuration) *publish.Configuration {
	if r.options.Config != nil {
		if table := r.options.Config.Table(); table != nil {
			return table.Config
		}
	}
	return config
}

// ofOrder returns the service with an order. A new order of the same service replaces
// what is known of the one before.
func (r *Rollouts) ofOrder(order *publish.Rollout) *service {
	r.mu.RLock()
	s := r.services[order.Service]
	r.mu.RUnlock()
	if s != nil && s.order == *order {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Another order may have come since this one was looked up.
	if newest := r.newestConfig(nil); newest != nil && newest.Rollouts[order.Service] != nil {
		order = newest.Rollouts[order.Service]
	}
	s = r.services[order.Service]
	if s != nil && s.order == *order {
		return s
	}
	now := r.now()
	fresh := r.seenTables && now.Sub(r.started) >= freshAfter
	next := newService(r, *order, now, fresh)
	if s != nil {
		next.inherit(s)
	}
	r.services[order.Service] = next
	r.log.WithFields(logrus.Fields{"service": order.Service, "target_version": order.Version, "duration": order.Duration, "new": fresh}).Info("rollout order known")
	return next
}

// find returns the service with an order of a version, nil if there is none.
func (r *Rollouts) find(name, version string) *service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if s := r.services[name]; s != nil && s.order.Version == version {
		return s
	}
	return nil
}

// Snapshot describes one rollout for operators.
type Snapshot struct {
	Order publish.Rollout
	State State
	Step  Step
	Share float64
	// Reason is why a final state was reached.
	Reason string
	// Recorded says that the state is in the log.
	Recorded   bool
	Home       string
	KnownSince time.Time
	// SentOld and SentNew are the attempts of this daemon.
	SentOld, SentNew uint64
	// Counts are those of all daemons, given by the home alone.
	Counts string
}

// Snapshots returns the rollouts that this daemon knows, sorted by service.
func (r *Rollouts) Snapshots() []Snapshot {
	r.mu.RLock()
	services := slices.Collect(maps.Values(r.services))
	r.mu.RUnlock()
	slices.SortFunc(services, func(a, b *service) int { return strings.Compare(a.order.Service, b.order.Service) })
	snapshots := make([]Snapshot, 0, len(services))
	for _, s := range services {
		snapshots = append(snapshots, s.snapshot())
	}
	return snapshots
}

func isAlive(member *membership.Member) bool {
	return member.State == membership.Alive && member.Reachability == membership.Reachable
}

// versionCounts are the numbers of targets that accept calls. Those of oldAccepting do so
// by their own entry, in reach or not.
type versionCounts struct{ old, new, oldAccepting int }

func countVersions(members []membership.Member, version string) (counts versionCounts) {
	for i := range members {
		if accepting(&members[i]) && members[i].TargetVersion != version {
			counts.oldAccepting++
		}
		switch {
		case !acceptsCalls(&members[i]):
		case members[i].TargetVersion == version:
			counts.new++
		default:
			counts.old++
		}
	}
	return counts
}

func acceptsCalls(member *membership.Member) bool {
	return accepting(member) && isAlive(member)
}

// accepting reports whether a target accepts calls by its own entry, in reach or not.
func accepting(member *membership.Member) bool {
	return member.State == membership.Alive && (member.TargetState == membership.Ready || member.TargetState == membership.Cold)
}

// jitter returns a time around d, so that daemons do not act at once.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
