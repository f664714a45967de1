package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// viewInterval is the least time between two selections of the homes.
	viewInterval = 100 * time.Millisecond
	// reselectInterval is the longest time between two selections.
	reselectInterval = 10 * time.Second
	// idleCheckInterval is the time between two checks whether quotas are still in use.
	idleCheckInterval = 30 * time.Second
)

// Options configure a Quota. Self, Directory, Dialer, Limit and Bound are required.
type Options struct {
	Self      peer.Identity
	Directory membership.Directory
	Dialer    *peer.Dialer
	// Limit returns the limit of a workspace in the configuration in force.
	Limit   func(workspace string) (Limit, bool)
	Bound   Bound
	Logger  *logrus.Logger
	Metrics *metrics.Set
}

// Quota enforces the quotas of client workspaces on one daemon, and is the home of some
// of them.
type Quota struct {
	options Options
	log     *logrus.Entry
	metrics *quotaMetrics
	// wake is sent to when quotas come into use, here or at this home.
	wake chan struct{}

	mu        sync.Mutex
	limiter   *Limiter
	ledger    *Ledger
	followers map[*follower]bool
	homes     *Homes
	view      *membership.View
	viewAt    time.Time
	// inUse is set while there are accounts, and links are kept to all homes.
	inUse bool
	links map[string]*link
}

type quotaMetrics struct {
	admitted, refused, refusedWithoutHome *metrics.Counter
	sent, taken                           *metrics.Counter
}

// New returns a Quota without any state. Its task is started by Run.
func New(options Options) *Quota {
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	q := &Quota{
		options:   options,
		log:       logging.ForComponent(options.Logger, "quota"),
		wake:      make(chan struct{}, 1),
		followers: make(map[*follower]bool),
		links:     make(map[string]*link),
		homes:     &Homes{Known: 1, Reachable: 1},
	}
	q.ledger = NewLedger(options.Bound, q.logChange)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	q.limiter = NewLimiter(func(workspace string) string { return q.homes.Of(workspace) }, random, time.Now())
	q.metrics = newMetrics(options.Metrics, q)
	return q
}

func newMetrics(set *metrics.Set, q *Quota) *quotaMetrics {
	set.NewGauge("mulberrybank_quota_workspaces_limited", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(q.ledger.Limited())
	})
	return &quotaMetrics{
		admitted:           set.NewCounter(`mulberrybank_quota_requests_total{result="admitted"}`),
		refused:            set.NewCounter(`mulberrybank_quota_requests_total{result="refused"}`),
		refusedWithoutHome: set.NewCounter(`mulberrybank_quota_requests_total{result="refused-without-home"}`),
		sent:               set.NewCounter("mulberrybank_quota_reports_sent_total"),
		taken:              set.NewCounter("mulberrybank_quota_reports_taken_total"),
	}
}

// keep is returned for workspaces without a limit.
func keep() {}

// Admit takes a request from the quota of a client workspace. If it reports false, the
// request must be refused and may be made again after retryAfter. giveBack returns a
// request that was admitted but has not run; it is called at most once.
func (q *Quota) Admit(client *publish.ClientWorkspace) (giveBack func(), retryAfter time.Duration, ok bool) {
	if client.Rate <= 0 {
		return keep, 0, true
	}
	now := time.Now()
	q.mu.Lock()
	if q.view == nil {
		q.refreshHosts(now)
	}
	a, retryAfter, decision, wake := q.limiter.Admit(client.Name, Limit{Rate: client.Rate, Burst: client.Burst}, now)
	if wake {
		if l := q.links[a.home]; l != nil {
			notify(l.wake)
		}
	}
	if !q.inUse {
		q.inUse = true
		notify(q.wake)
	}
	t := a.ticket()
	q.mu.Unlock()
	switch decision {
	case Admitted:
		q.metrics.admitted.Inc()
		return func() { q.giveBack(a, t) }, 0, true
	case RefusedByQuota:
		q.metrics.refused.Inc()
	case RefusedWithoutHome:
		q.metrics.refusedWithoutHome.Inc()
	}
	return nil, retryAfter, false
}

func (q *Quota) giveBack(a *account, t ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.GiveBack(a, t)
}

// Run keeps the links to the homes while quotas are in use, and runs the ledger while
// this host is a home, until ctx ends. It does not wake while quotas are not in use.
func (q *Quota) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer q.dropLinks()
	for ctx.Err() == nil {
		changed := q.options.Directory.Changed()
		interval, active := q.update(ctx, &tasks, time.Now())
		if !active {
			changed = nil
		}
		var due <-chan time.Time
		if interval > 0 {
			due = time.After(interval)
		}
		select {
		case <-ctx.Done():
		case <-q.wake:
		case <-changed:
		case <-due:
		}
	}
	return nil
}

// update does what is due and returns after which time to do so again, 0 for not before
// a wake, and whether changes of the view matter.
func (q *Quota) update(ctx context.Context, tasks *conc.WaitGroup, now time.Time) (interval time.Duration, active bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inUse {
		q.limiter.Sweep(now)
		q.inUse = q.limiter.Len() > 0
	}
	if q.inUse || q.ledger.Len() > 0 || len(q.followers) > 0 {
		q.refreshHosts(now)
	}
	q.reconcileLinks(ctx, tasks)
	for _, workspace := range q.ledger.Tick(now) {
		q.pushToAll(workspace)
	}
	if q.ledger.Len() > 0 || len(q.followers) > 0 {
		return tickInterval, false
	}
	if !q.inUse {
		return 0, false
	}
	return idleCheckInterval, true
}

// refreshHosts selects the homes again if the view has changed, and now and then without
// a change, since hosts out of reach are forgotten after a time. The caller holds the
// mutex.
func (q *Quota) refreshHosts(now time.Time) {
	view := q.options.Directory.View()
	age := now.Sub(q.viewAt)
	if q.view != nil && (age < viewInterval || view == q.view && age < reselectInterval) {
		return
	}
	before := q.homes
	q.view, q.viewAt = view, now
	q.homes = SelectHomes(view, now)
	q.ledger.SetHosts(q.homes.Known, q.homes.Reachable)
	q.limiter.SetHosts(q.homes.Known, now)
	if before.equal(q.homes) {
		return
	}
	q.ledger.HomesChanged(now)
	q.log.WithFields(logrus.Fields{
		"homes": q.homes.hosts, "before": before.hosts, "known": q.homes.Known, "reachable": q.homes.Reachable,
	}).Info("homes of quotas changed")
	notify(q.wake)
}

// reconcileLinks starts and ends the tasks of links, so that there is one to each home
// while quotas are in use. The caller holds the mutex.
func (q *Quota) reconcileLinks(ctx context.Context, tasks *conc.WaitGroup) {
	for host, l := range q.links {
		if !q.inUse || q.homes.Address(host) != l.address {
			l.cancel()
			delete(q.links, host)
		}
	}
	if !q.inUse {
		return
	}
	for _, host := range q.homes.hosts {
		if q.links[host] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{host: host, address: q.homes.Address(host), wake: make(chan struct{}, 1), cancel: cancel}
		q.links[host] = l
		tasks.Go(func() { q.keepLink(linkCtx, l) })
	}
}

func (q *Quota) dropLinks() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for host, l := range q.links {
		l.cancel()
		delete(q.links, host)
	}
}

// logChange logs that a workspace became limited or is no longer limited.
func (q *Quota) logChange(c Change) {
	message := "workspace exceeds its quota and is limited"
	if !c.Limited {
		message = "workspace is within its quota again"
	}
	q.log.WithFields(logrus.Fields{
		"workspace": c.Workspace, "tokens": int(c.Level), "demand": int(c.Demand), "allowed": int(c.Allowance),
		"reporters": c.Reporters, "oldest_report_ms": c.OldestReportMs,
	}).Info(message)
}
