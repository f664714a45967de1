// Package quota enforces the quotas of client workspaces over all daemons. Each daemon
// counts what it admits; the home of a workspace sums the counts in a ledger and limits
// the daemons when the workspace exceeds its quota.
package quota

import (
	"math"
	"time"
)

// Mode is what the home of a workspace asks of a daemon.
type Mode uint32

// Modes of a workspace at a daemon.
const (
	// Free workspaces are far below their quota: all requests are admitted, and reports
	// are sampled.
	Free Mode = iota
	// Watched workspaces are admitted without a limit, and reported often.
	Watched
	// Limited workspaces are admitted at a granted rate, and reported often.
	Limited
)

func (m Mode) String() string { return [...]string{"free", "watched", "limited"}[min(m, Limited)] }

// Usage is what a daemon has admitted of one workspace since its last report.
type Usage struct {
	Workspace string
	Admitted  int
	Samples   int
	// Blind is set if some were admitted without a home.
	Blind bool
	// Demand is the current rate of requests, admitted or not, per second.
	Demand float64
	// Limit is what the daemon knows as the limit, until the home has answered.
	Limit Limit
}

// Grant is what a daemon may admit of one workspace. Rate counts only in mode Limited.
type Grant struct {
	Workspace string
	Mode      Mode
	Rate      float64
}

// Limit is the quota of one workspace over all daemons.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// samplePeriod returns the mean number of requests of a free workspace between two that
// are sampled. The burst is detected as spent after about four samples.
func samplePeriod(l Limit) float64 { return max(1, min(l.Rate, l.Burst)/6) }

const (
	// surplusTime and debtTime are the times in which the grants spend what is left in
	// the bucket and repay its debt.
	surplusTime = 500 * time.Millisecond
	debtTime    = 2 * time.Second
	// minAllowance is the least part of the rate that is granted during repayment.
	minAllowance = 0.1
	// watchBelow and freeAbove are levels of the bucket, as parts of the burst, at which
	// a workspace becomes watched and free.
	watchBelow = 0.35
	freeAbove  = 0.8
	// maxWatchDemand is the largest part of the rate at which a workspace is free.
	// Free workspaces become watched at watchDemand, and free again freeMargin below it.
	maxWatchDemand = 0.75
	freeMargin     = 0.05
	// surgeDemand is the demand, in parts of the rate, that must be limited within
	// surgeTime.
	surgeDemand = 7
	surgeTime   = 400 * time.Millisecond
	// limitFrom and limitUntil are parts of the allowance: at a demand of limitFrom
	// rates are granted, below limitUntil no more. They are below 1 so that daemons have
	// a rate, with room above their demand, before a nearly empty bucket is exceeded.
	limitFrom  = 0.7
	limitUntil = 0.55
	// spareShare is the part of the allowance for daemons without known demand.
	spareShare = 0.05
	// flowTime is the time constant of the flow of a workspace.
	flowTime = 3 * time.Second
	// calmTime is how long a workspace must be calm to become free.
	calmTime = time.Second
	// demandHold is how long the demand in a report counts in full. It covers the
	// interval of reports and its variation; later it falls with demandDecay.
	demandHold  = 300 * time.Millisecond
	demandDecay = 200 * time.Millisecond
	// missingAfter is the age of a report after which its daemon may be cut off: daemons
	// with demand for a watched or limited workspace report every busyInterval.
	missingAfter = 600 * time.Millisecond
	// recentReport is the age up to which a daemon that reported a free workspace is
	// expected to report again once it is watched. It is below idleAccount.
	recentReport = 8 * time.Second
	// forgetDemand is the age after which a silent daemon's demand is dropped. By then the
	// membership view knows that it is cut off.
	forgetDemand = 12 * time.Second
	// tickInterval is the time between two runs of Tick.
	tickInterval = 100 * time.Millisecond
	// pauseGap is the gap between ticks after which the home has missed reports.
	pauseGap = time.Second
	// idleEntry is how long an entry without reports is kept.
	idleEntry = 30 * time.Second
)

// Bound is the number of requests that may run in a sliding window:
// (rate x Window + burst) x (1 + Overage) + Slack.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// Of returns the largest number of requests of a window.
func (b Bound) Of(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Parts of the tolerance of the bound that are granted on purpose. Granted rates are split
// over daemons, so a workspace near a small limit would otherwise be refused requests that
// are within it. The rest covers the delay of reports, during which a surge grows with the
// rate: of the tolerance that does too, less is granted.
const (
	slackUse   = 0.25
	overageUse = 0.1
)

// enforced returns the limit that the bucket of a workspace enforces: its burst is larger
// by a part of the tolerance of the bound.
func (b Bound) enforced(l Limit) Limit {
	if l.Rate <= 0 {
		return l
	}
	overage := b.Overage * (l.Rate*b.Window.Seconds() + l.Burst)
	return Limit{Rate: l.Rate, Burst: l.Burst + slackUse*b.Slack + overageUse*overage}
}

// watchDemand returns the flow, as a part of the rate, up to which a workspace may be
// free. With it, a window stays within its bound that ends with a surge of surgeDemand
// for surgeTime.
func (b Bound) watchDemand(l Limit) float64 {
	room := b.Of(l)/l.Rate - surgeDemand*surgeTime.Seconds()
	return max(0, min(maxWatchDemand, room/max(b.Window-surgeTime, surgeTime).Seconds()))
}

// Ledger holds the token buckets of the workspaces whose home is this host. It is not
// safe for concurrent use.
type Ledger struct {
	entries map[string]*entry
	// known and reachable count hosts of the mesh.
	known, reachable int
	lastTick         time.Time
	// steadySince is since when this host is the home of the same workspaces and was not
	// paused, zero before the first tick.
	steadySince time.Time
	bound       Bound
	onChange    func(Change)
}

// Change describes that a workspace became limited, or is no longer limited.
type Change struct {
	Workspace      string
	Limited        bool
	Level, Demand  float64
	Allowance      float64
	Reporters      int
	OldestReportMs int64
}

type entry struct {
	name string
	// stated is the limit of the configuration, limit what the bucket enforces.
	stated, limit Limit
	// level is the level of the bucket at time at, in requests; it is negative in debt.
	level float64
	at    time.Time
	// detector is a second bucket, from which samples are taken with their weight.
	detector float64
	// flow is the smoothed rate of admitted requests.
	flow      float64
	mode      Mode
	calmSince time.Time
	// watchedAt is when the workspace was last free.
	watchedAt time.Time
	demands   map[string]demand
	// total is the sum of demands at the last tick, changed by later reports.
	total float64
	// reserved is the rate that daemons without contact may use.
	reserved float64
	reported time.Time
}

type demand struct {
	rate float64
	at   time.Time
	// granted is the rate last granted, 0 without a limit.
	granted float64
}

// NewLedger returns an empty ledger. onChange may be nil.
func NewLedger(bound Bound, onChange func(Change)) *Ledger {
	return &Ledger{bound: bound, entries: make(map[string]*entry), known: 1, reachable: 1, onChange: onChange}
}

// SetHosts sets how many hosts the mesh has, and how many of them can be reached.
func (l *Ledger) SetHosts(known, reachable int) {
	l.known, l.reachable = max(known, 1), min(max(reachable, 1), max(known, 1))
}

// HomesChanged records that this host may have become the home of further workspaces.
func (l *Ledger) HomesChanged(now time.Time) { l.steadySince = now }

// LimitOf returns the limit last reported of a workspace, 0 if there is none.
func (l *Ledger) LimitOf(workspace string) Limit {
	if e := l.entries[workspace]; e != nil {
		return e.stated
	}
	return Limit{}
}

// Len returns the number of workspaces in the ledger.
func (l *Ledger) Len() int { return len(l.entries) }

// Report takes the usage of one workspace from a daemon and returns the daemon's grant.
// changed reports that the other daemons need a grant now.
func (l *Ledger) Report(daemon string, u Usage, limit Limit, now time.Time) (grant Grant, changed bool) {
	stated := limit
	limit = l.bound.enforced(stated)
	e := l.entries[u.Workspace]
	if e == nil {
		// The bucket of a new home is empty: what was admitted before is unknown. Once it
		// has been the home for a window, no report means that nothing was admitted.
		e = &entry{name: u.Workspace, mode: Watched, at: now, calmSince: now, demands: make(map[string]demand)}
		if !l.steadySince.IsZero() && now.Sub(l.steadySince) >= l.bound.Window {
			e.level, e.limit, e.detector = limit.Burst, limit, limit.Burst
		}
		l.entries[u.Workspace] = e
	}
	if e.limit != limit {
		e.limit = limit
		e.level = min(e.level, limit.Burst)
		e.detector = limit.Burst
	}
	e.stated = stated
	e.advance(now, l.share())
	e.deduct(u)
	e.detector -= float64(u.Samples) * samplePeriod(limit)
	flowed := float64(u.Admitted)
	if e.mode == Free {
		flowed = float64(u.Samples) * samplePeriod(limit)
	}
	e.flow = max(0, e.flow+flowed/flowTime.Seconds())
	e.total = max(0, e.total+u.Demand-e.demands[daemon].now(now))
	e.demands[daemon] = demand{rate: u.Demand, at: now, granted: e.demands[daemon].granted}
	e.reported = now
	before := e.mode
	// A demand above the rate needs no more samples.
	if e.mode == Free && u.Demand > limit.Rate {
		e.detector = 0
	}
	l.decide(e, now)
	return l.grant(e, daemon, now), e.mode != before
}

// deduct takes reported requests from the bucket. Those admitted without a home were
// within the floors of the daemons and cause no debt, but leave nothing of the burst.
func (e *entry) deduct(u Usage) {
	after := min(e.limit.Burst, e.level-float64(u.Admitted))
	if u.Blind {
		after = max(after, min(e.level, 0))
	}
	e.level = after
}

// Tick decides again for all workspaces. It returns the workspaces for which the daemons
// need a new grant, and is called every tickInterval while daemons are connected.
func (l *Ledger) Tick(now time.Time) []string {
	var changed []string
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > pauseGap {
		changed = l.Reset(now)
	}
	l.lastTick = now
	if l.steadySince.IsZero() {
		l.steadySince = now
	}
	for name, e := range l.entries {
		if now.Sub(e.reported) > idleEntry {
			delete(l.entries, name)
			continue
		}
		e.advance(now, l.share())
		if e.mode != Free {
			e.sumDemands(l.known, now)
		}
		before := e.mode
		l.decide(e, now)
		if e.mode != before {
			changed = append(changed, name)
		}
	}
	return changed
}

// Reset empties all buckets, after a pause in which other homes may have granted. It
// returns the workspaces whose mode has changed.
func (l *Ledger) Reset(now time.Time) (changed []string) {
	l.steadySince = now
	for name, e := range l.entries {
		if e.mode != Watched {
			changed = append(changed, name)
		}
		e.level, e.at = min(e.level, 0), now
		e.mode, e.calmSince = Watched, now
		clear(e.demands)
		e.total, e.reserved = 0, 0
	}
	return changed
}

// Limited returns the number of workspaces that are limited.
func (l *Ledger) Limited() int {
	count := 0
	for _, e := range l.entries {
		if e.mode == Limited {
			count++
		}
	}
	return count
}

// Watched returns the workspaces that are watched or limited.
func (l *Ledger) Watched() []string {
	var names []string
	for name, e := range l.entries {
		if e.mode != Free {
			names = append(names, name)
		}
	}
	return names
}

// Grant returns the current grant of a daemon; ok is false for an unknown workspace.
func (l *Ledger) Grant(daemon, workspace string, now time.Time) (grant Grant, ok bool) {
	e := l.entries[workspace]
	if e == nil {
		return Grant{}, false
	}
	return l.grant(e, daemon, now), true
}

// share returns the part of each quota that this home may grant, which is below 1 in a
// partition: the hosts of the other part admit the rest.
func (l *Ledger) share() float64 { return float64(l.reachable) / float64(l.known) }

func (e *entry) advance(now time.Time, share float64) {
	elapsed := now.Sub(e.at).Seconds()
	if elapsed <= 0 {
		return
	}
	e.at = now
	e.level = min(e.limit.Burst, e.level+elapsed*max(0, min(e.limit.Rate*share, e.limit.Rate-e.reserved)))
	e.detector = min(e.limit.Burst, e.detector+elapsed*e.limit.Rate*share)
	e.flow *= math.Exp(-elapsed / flowTime.Seconds())
}

// allowance returns the rate at which all daemons together may admit.
func (l *Ledger) allowance(e *entry) float64 {
	rate := max(0, min(e.limit.Rate*l.share(), e.limit.Rate-e.reserved))
	if e.level >= 0 {
		return rate + e.level/surplusTime.Seconds()
	}
	return max(rate+e.level/debtTime.Seconds(), minAllowance*rate)
}

func (d demand) now(now time.Time) float64 {
	if late := now.Sub(d.at) - demandHold; late > 0 {
		return d.rate * math.Exp(-late.Seconds()/demandDecay.Seconds())
	}
	return d.rate
}

// watch begins to sum the demands of the daemons that reported lately. Those that do not
// report again are cut off, or their grant is late.
func (e *entry) watch(now time.Time) {
	e.watchedAt = now
	for daemon, d := range e.demands {
		if now.Sub(d.at) > recentReport {
			delete(e.demands, daemon)
			continue
		}
		e.demands[daemon] = demand{rate: d.rate, at: d.at}
	}
}

// sumDemands sets the total of the demands, and what must be reserved for daemons that
// no longer report. These may be cut off and admit by their own rules: the rate that they
// used for lostAfter and holdTime, then their floor.
func (e *entry) sumDemands(known int, now time.Time) {
	e.total, e.reserved = 0, 0
	for daemon, d := range e.demands {
		age := now.Sub(d.at)
		silent := d.at.Before(e.watchedAt)
		if silent {
			age = now.Sub(e.watchedAt)
		}
		switch {
		case age > forgetDemand || !silent && d.rate < endedDemand && age > demandHold:
			delete(e.demands, daemon)
			continue
		case age > missingAfter+lostAfter+holdTime:
			e.reserved += e.limit.Rate / float64(known)
		case age > missingAfter:
			e.reserved += max(min(d.rate, d.granted), e.limit.Rate/float64(known))
		}
		e.total += d.now(now)
	}
}

// decide sets the mode of a workspace.
func (l *Ledger) decide(e *entry, now time.Time) {
	rate := e.limit.Rate * l.share()
	if e.mode == Free {
		if min(e.level, e.detector) >= watchBelow*e.limit.Burst && e.flow <= l.bound.watchDemand(e.limit)*rate {
			return
		}
		e.mode, e.calmSince = Watched, now
		e.watch(now)
	}
	total, allowance := e.total, l.allowance(e)
	if calm := (l.bound.watchDemand(e.limit) - freeMargin) * rate; e.level < freeAbove*e.limit.Burst || total > calm || e.flow > calm {
		e.calmSince = now
	}
	switch {
	case e.mode == Watched && total >= limitFrom*allowance:
		e.mode = Limited
		l.notify(e, total, allowance, now)
	case e.mode == Limited && total < limitUntil*allowance:
		e.mode = Watched
		l.notify(e, total, allowance, now)
	case e.mode == Watched && now.Sub(e.calmSince) >= calmTime:
		e.mode, e.detector = Free, e.limit.Burst
		e.total, e.reserved = 0, 0
	}
}

func (l *Ledger) notify(e *entry, total, allowance float64, now time.Time) {
	if l.onChange == nil {
		return
	}
	oldest := now
	for _, d := range e.demands {
		if d.at.Before(oldest) {
			oldest = d.at
		}
	}
	l.onChange(Change{
		Workspace: e.name, Limited: e.mode == Limited, Level: e.level, Demand: total, Allowance: allowance,
		Reporters: len(e.demands), OldestReportMs: now.Sub(oldest).Milliseconds(),
	})
}

func (l *Ledger) grant(e *entry, daemon string, now time.Time) Grant {
	g := Grant{Workspace: e.name, Mode: e.mode}
	if e.mode == Limited {
		spare := spareShare * e.limit.Rate
		own := e.demands[daemon].now(now) + spare/float64(l.known)
		g.Rate = min(e.limit.Rate, l.allowance(e)*own/(e.total+spare))
		if d, ok := e.demands[daemon]; ok {
			d.granted = g.Rate
			e.demands[daemon] = d
		}
	}
	return g
}
