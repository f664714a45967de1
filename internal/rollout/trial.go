package rollout

import (
	"fmt"
	"iter"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// State is the state of a rollout, as recorded for the operator.
type State int

// States of a rollout. Completed and Reverted are final.
const (
	Serving State = iota + 1
	Completed
	Reverted
)

func (s State) String() string {
	return [...]string{"", "serving", "completed", "reverted"}[s]
}

const (
	// reportInterval is the time between two reports of one daemon.
	reportInterval = 250 * time.Millisecond
	// decisionInterval is the shortest time between two decisions, each of which looks at
	// all daemons. It bounds the cost at the home of a large mesh.
	decisionInterval = 50 * time.Millisecond
	// evaluationInterval is the shortest time between two evaluations of the counts.
	evaluationInterval = 100 * time.Millisecond
	// heardWithin is the age up to which a daemon's last report counts as recent, and
	// heardWithinLarge that in a mesh of more than largeMesh daemons.
	heardWithin      = 600 * time.Millisecond
	heardWithinLarge = 2500 * time.Millisecond
	// silentFactor times that is how long after its last report a daemon is not waited
	// for, provided that the home has heard most others all that time: else it is the
	// home that was cut off or stood still.
	silentFactor = 2.5
	// minAllTime and maxAllTime limit how long the version is observed in the step All:
	// until slow answers have arrived and were reported, which takes slowReportTime.
	// The answers of a bad version take up to slowSpread times the limit for slow ones.
	slowSpread     = 2
	minAllTime     = 750 * time.Millisecond
	maxAllTime     = 1500 * time.Millisecond
	slowReportTime = 400 * time.Millisecond
	// lastChance is how long before the deadline a version that shows no sign of being
	// bad is completed although it has not passed the test.
	lastChance = time.Second
	// tellTime is how long a lower share takes to be in force everywhere: a report
	// interval, a decision interval and the way. What is sent in that time is kept back
	// from the exposure budget.
	tellTime = 400 * time.Millisecond
)

// Limits bound what a bad version may get.
type Limits struct {
	// CanaryShare is the share of a service's requests, Slack a number of requests in
	// addition.
	CanaryShare float64
	Slack       float64
}

// Report is what one daemon tells the home of a rollout.
type Report struct {
	Incarnation uint64
	// Age is how long ago the daemon learnt of the order.
	Age time.Duration
	// State is the verdict that the daemon knows, Serving for none.
	State  State
	Reason string
	Totals Totals
	// All says that the daemon sends all calls to the new version.
	All bool
	// Moved says that all calls go to the new version and none is in progress at the
	// old one.
	Moved bool
	// Watch asks to watch the version only: the report goes to the watcher.
	Watch bool
}

// Reach is the view of the mesh that a decision is based on.
type Reach struct {
	// Hosts are the hosts in reach, the home among them, in parts. Reached is their number.
	Hosts   [][]string
	Reached int
	// Known is the number of hosts that are alive by their own entry, in reach or not.
	Known int
	// OldTargets and NewTargets are the numbers of targets that accept calls.
	OldTargets, NewTargets int
}

// all iterates over the hosts in reach.
func (r Reach) all() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, hosts := range r.Hosts {
			for _, host := range hosts {
				if !yield(host) {
					return
				}
			}
		}
	}
}

// hostReport is the newest report of a daemon.
type hostReport struct {
	Report
	at time.Time
}

// Trial decides on one order at its home. It is not safe for concurrent use.
type Trial struct {
	order  publish.Rollout
	limits Limits
	plan   Plan
	// began is when the order came, as far as known.
	began time.Time
	// recorded is when the order came by the status in the log, zero if that does not
	// say so.
	recorded time.Time
	// rampSince is since when a resumed trial is in the step Ramp, loadSince since when
	// it may have the share of that step.
	rampSince, loadSince time.Time

	reports map[string]hostReport
	// pending are the counts that no evaluation has seen yet.
	pending map[string]VersionTallies
	totals  map[string]*VersionTallies
	// sentOld and sentNew add up over all daemons and incarnations.
	sentOld, sentNew uint64
	judge            judge
	// decided is when Decide last looked at all daemons.
	decided time.Time
	// evaluated is when the test last saw the counts.
	evaluated time.Time
	step      Step
	share     float64
	allSince  time.Time
	// heardSince is since when most daemons have reported recently, zero if they have not.
	heardSince time.Time
	// deciding is set once Decide was called, so that this trial has steps of its own.
	deciding bool
	state    State
	reason   string
}

// NewTrial returns the trial of an order that came at a time.
func NewTrial(order publish.Rollout, limits Limits, began time.Time) *Trial {
	return &Trial{
		order:   order,
		limits:  limits,
		plan:    NewPlan(order.Duration, limits.CanaryShare),
		began:   began,
		reports: make(map[string]hostReport),
		pending: make(map[string]VersionTallies),
		totals:  make(map[string]*VersionTallies),
		state:   Serving,
	}
}

// Merge takes the report of a daemon. Repeated and late reports change nothing.
func (t *Trial) Merge(host string, report Report, now time.Time) {
	t.merge(host, report, now, true)
}

// MergeWatched is Merge for a version that is watched. What a daemon counted before its first
// report says nothing of what the version shows now: it is not tested.
func (t *Trial) MergeWatched(host string, report Report, now time.Time) {
	if !t.deciding {
		t.followStep(report, now)
	}
	_, known := t.reports[host]
	t.merge(host, report, now, known || t.deciding)
}

// followStep takes over the step of the home as far as a report shows it, for when this trial
// decides in place of it.
func (t *Trial) followStep(report Report, now time.Time) {
	switch {
	case report.All && t.step < All:
		t.setStep(All, 1, now)
	case t.step < Ramp:
		t.setStep(Ramp, t.plan.rampShare, now)
	}
}

// merge takes a report. Its counts are tested if tested is true.
func (t *Trial) merge(host string, report Report, now time.Time, tested bool) {
	t.adopt(report.State, report.Reason)
	if began := now.Add(-report.Age); began.Before(t.began) {
		t.began = began
	}
	last := t.reports[host]
	if report.Incarnation < last.Incarnation {
		return
	}
	if report.All && t.evaluated.IsZero() && t.step < All {
		// A home that takes over counts what the version showed before as shown under load.
		t.setStep(All, 1, now)
	}
	earlier := last.Totals
	if report.Incarnation > last.Incarnation {
		earlier = Totals{}
	} else if report.Totals.SentOld < earlier.SentOld || report.Totals.SentNew < earlier.SentNew {
		return
	}
	t.sentOld += report.Totals.SentOld - earlier.SentOld
	t.sentNew += report.Totals.SentNew - earlier.SentNew
	for route, tallies := range report.Totals.Routes {
		before := earlier.Routes[route]
		news := VersionTallies{Old: tallies.Old.since(before.Old), New: tallies.New.since(before.New)}
		if tested {
			pending := t.pending[route]
			pending.Old.plus(&news.Old)
			pending.New.plus(&news.New)
			t.pending[route] = pending
		}
		total := t.totals[route]
		if total == nil {
			total = &VersionTallies{}
			t.totals[route] = total
		}
		total.Old.plus(&news.Old)
		total.New.plus(&news.New)
	}
	t.reports[host] = hostReport{Report: report, at: now}
}

// adopt takes a verdict that others know. Completed was recorded before it was told, so
// it stands above a verdict of this home that is not recorded yet.
func (t *Trial) adopt(state State, reason string) {
	if state == Completed || state == Reverted && t.state == Serving {
		t.state, t.reason = state, reason
	}
}

// Decide evaluates what was reported. The result Completed is a decision that must be
// recorded before daemons are told.
func (t *Trial) Decide(now time.Time, reach Reach) {
	if t.state != Serving || now.Sub(t.decided) < decisionInterval {
		return
	}
	t.decided = now
	t.takeOver()
	t.noteHeard(now, reach)
	bad := t.evaluate(now)
	switch {
	case bad:
		t.revert(t.judge.reason)
	case reach.NewTargets == 0:
		t.setStep(Waiting, 0, now)
		if t.mayGiveUp(now) {
			t.revert("no target of the version before the deadline")
		}
	case reach.OldTargets == 0 && 2*reach.Reached > reach.Known:
		// A home that reaches fewer may not see the old targets that serve the others.
		t.setStep(All, 1, now)
	default:
		step, share := t.planned(now)
		if t.step == All {
			// The step is not left again because a daemon knows an earlier order time.
			step, share = All, 1
		}
		if t.overBudget(now) {
			step, share = Held, 0
		}
		t.setStep(step, share, now)
		if step == Held && t.mayGiveUp(now) {
			t.revert("no decision within the exposure budget")
		}
	}
	if t.state == Serving && t.step == All && t.complete(now, reach) {
		t.state, t.reason = Completed, "all daemons send their calls to the new version"
	}
}

// Watch evaluates what was reported to a host that is not the home. It finds a bad version
// and takes no other decision: the home may be gone. Most daemons must have reported recently,
// so that a few cannot judge for all.
func (t *Trial) Watch(now time.Time, reach Reach) {
	if t.state != Serving || now.Sub(t.decided) < decisionInterval {
		return
	}
	t.decided = now
	t.noteHeard(now, reach)
	if t.evaluate(now) && !t.heardSince.IsZero() {
		t.revert(t.judge.reason)
	}
}

// takeOver makes a trial that has only watched one that decides. If daemons send everything to
// the version already, all that it showed counts as shown under load, as it does for a home
// that had not watched.
func (t *Trial) takeOver() {
	if t.deciding {
		return
	}
	t.deciding = true
	if t.step != All {
		return
	}
	for k := range kindCount {
		var old, tested shareCount
		for _, total := range t.totals {
			limit := slowLimit(&total.Old)
			old, tested = old.plus(k.count(&total.Old, limit)), tested.plus(k.count(&total.New, limit))
		}
		t.judge.accept[k] = logRatio(tested, t.judge.baseShare(comparison{k, allRoutes}, old))
	}
}

// evaluate passes the new counts to the test, at most once in evaluationInterval.
func (t *Trial) evaluate(now time.Time) bool {
	if len(t.pending) == 0 || now.Sub(t.evaluated) < evaluationInterval {
		return false
	}
	t.evaluated = now
	news := make(map[string]Tally, len(t.pending))
	old := make(map[string]routeBaseline, len(t.totals))
	for route, pending := range t.pending {
		if pending.New.Answers() > 0 {
			news[route] = pending.New
		}
	}
	for route, total := range t.totals {
		pending := t.pending[route]
		old[route] = routeBaseline{total: &total.Old, news: &pending.Old}
	}
	clear(t.pending)
	return t.judge.observe(t.step, news, old)
}

// overBudget reports whether the version has had what a bad one may get, without having
// passed the test.
func (t *Trial) overBudget(now time.Time) bool {
	if t.judge.accepted() {
		return false
	}
	if t.step == Held {
		// Only answers that are still on their way can end the step.
		return true
	}
	sent := float64(t.sentOld + t.sentNew)
	passed := max(now.Sub(t.began), time.Second)
	expected, lost := t.expected(now)
	reserve := t.share * sent * tellTime.Seconds() / passed.Seconds()
	return float64(t.sentNew)+lost+reserve > t.limits.CanaryShare*expected+t.limits.Slack
}

func (t *Trial) setStep(step Step, share float64, now time.Time) {
	if step == All && t.step != All {
		t.allSince = now
	}
	t.step, t.share = step, share
}

func (t *Trial) revert(reason string) {
	t.state, t.reason, t.share = Reverted, reason, 0
}

// complete reports whether all daemons in reach have moved, and these are most of the
// known ones.
func (t *Trial) complete(now time.Time, reach Reach) bool {
	if !t.passed(now) || !t.judge.calm() || now.Sub(t.allSince) < t.allTime() || 2*reach.Reached <= reach.Known {
		return false
	}
	moved := 0
	silentAfter := time.Duration(silentFactor * float64(recentAge(reach)))
	for host := range reach.all() {
		report, found := t.reports[host]
		silent := (!found || now.Sub(report.at) > silentAfter) && !t.heardSince.IsZero() && now.Sub(t.heardSince) > silentAfter
		switch {
		case silent:
		case !found || now.Sub(report.at) > recentAge(reach) || !report.Moved:
			return false
		default:
			moved++
		}
	}
	return 2*moved > reach.Known
}

// allTime returns the shortest duration of the step All.
func (t *Trial) allTime() time.Duration {
	longest := time.Duration(0)
	for _, total := range t.totals {
		if limit := slowLimit(&total.Old); limit < bucketCount-1 {
			longest = max(longest, slowSpread*bucketEnd(limit))
		}
	}
	return min(max(longest+slowReportTime, minAllTime), maxAllTime)
}

// recentAge returns the age up to which a report is recent.
func recentAge(reach Reach) time.Duration {
	if reach.Known > largeMesh {
		return heardWithinLarge
	}
	return heardWithin
}

// noteHeard notes whether most daemons have reported recently.
func (t *Trial) noteHeard(now time.Time, reach Reach) {
	heard := 0
	for host := range reach.all() {
		if report, found := t.reports[host]; found && now.Sub(report.at) <= recentAge(reach) {
			heard++
		}
	}
	switch {
	case 2*heard <= reach.Known:
		t.heardSince = time.Time{}
	case t.heardSince.IsZero():
		t.heardSince = now
	}
}

// Step returns the step, the share of calls for the new version, and the state.
func (t *Trial) Step() (Step, float64, State) { return t.step, t.share, t.state }

// Reason returns why a final state was reached.
func (t *Trial) Reason() string { return t.reason }

// summary returns the counts of both versions for log lines.
func (t *Trial) summary() string {
	var old, tested Tally
	slowOld, slowNew := uint64(0), uint64(0)
	for _, total := range t.totals {
		limit := slowLimit(&total.Old)
		old.plus(&total.Old)
		tested.plus(&total.New)
		slowOld, slowNew = slowOld+total.Old.slow(limit), slowNew+total.New.slow(limit)
	}
	return fmt.Sprintf("old version: %d answers, %d failed, %d slow; new version: %d answers, %d failed, %d slow",
		old.Answers(), old.Failures, slowOld, tested.Answers(), tested.Failures, slowNew)
}
