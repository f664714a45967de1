package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// answerAge is how long an answer of the home holds without another one.
	answerAge = time.Second
	// reportTimeout limits one report.
	reportTimeout = 500 * time.Millisecond
	// settleTime is how long the share must be 1 before a daemon reports that it has
	// moved, so that calls that chose their target before have begun.
	settleTime = 100 * time.Millisecond
	// membersGrace is how long after its start a daemon may not know all hosts yet.
	membersGrace = 3 * time.Second
	// readGrace is how long the home of a new order waits for the log.
	readGrace = time.Second
	// oldGoneTime is how long no old target must have accepted calls by its own entry
	// before calls go to the new version without a decision.
	oldGoneTime = time.Second
	// largeMesh is the number of daemons above which those without calls of the service
	// report less often.
	largeMesh = 200
	// idleReportInterval is the time between their reports.
	idleReportInterval = 2 * time.Second
)

// inForce is what a daemon enforces. It is immutable.
type inForce struct {
	state State
	// finalSince is when this daemon learnt of the final state.
	finalSince time.Time
	// old allows the versions from which the order moves calls.
	old *restriction
	// notReplaced leaves out the versions that the completed one replaced.
	notReplaced *restriction
	reason      string
	step        Step
	share       float64
	answeredAt  time.Time
	// statusKnown is set once the status in the log, or an answer of a home, is known.
	statusKnown bool
	recorded    bool
}

// shareAt returns the share at a time. Without an answer for answerAge it is 0, unless
// all calls go to the new version already.
func (f *inForce) shareAt(now time.Time) float64 {
	if f.share < 1 && now.Sub(f.answeredAt) > answerAge {
		return 0
	}
	return f.share
}

// liveTotals are Totals that are still counted.
type liveTotals struct {
	SentOld, SentNew uint64
	Routes           map[string]*VersionTallies
}

// answer is what the home answers to a report.
type answer struct {
	unknown  bool
	share    float64
	step     Step
	state    State
	reason   string
	age      time.Duration
	recorded bool
}

// service is one order as a daemon knows it, and its trial if the daemon is its home.
type service struct {
	rollouts *Rollouts
	hold     *hold
	order    publish.Rollout
	onlyNew  route.VersionFilter
	// fresh says that the order is new to all: no verdict on it can exist.
	fresh    bool
	hosts    hostIndex
	current  atomic.Pointer[inForce]
	targets  atomic.Pointer[knownTargets]
	finished chan struct{}
	finish   sync.Once

	mu            sync.Mutex
	began         time.Time
	totals        liveTotals
	oldInProgress int
	movedSince    time.Time
	reportedSent  uint64
	reportedAt    time.Time
	// homeSilent and watcherSilent are set while the last report to the home, or to the
	// watcher, got no answer that says anything. There may be no watcher.
	homeSilent, watcherSilent bool
	// own tests the answers that this daemon got itself, nil before there are any.
	own *Trial
	// trial is nil unless reports came in.
	trial     *Trial
	lastStep  Step
	lastState State
	// statusRead is set once the log was read; replaces is the version that it named.
	statusRead bool
	replaces   string
	// recordedState is the state known to be in the log for this version.
	recordedState State
	// recordedOrder is when the order came by the log, recordedHosts how many hosts were
	// known then; both are zero if unknown.
	recordedOrder time.Time
	recordedHosts int
	superseded    bool
}

// knownTargets counts the targets of one list of members.
type knownTargets struct {
	members []membership.Member
	versionCounts
	// oldGoneSince is since when no old target accepts calls by its own entry, in reach or
	// not, zero if one does.
	oldGoneSince time.Time
}

func newService(r *Rollouts, order publish.Rollout, now time.Time, fresh bool) *service {
	s := &service{
		rollouts: r,
		hold:     r.holdOf(order.Service),
		order:    order,
		hosts:    hostIndex{order: order},
		onlyNew:  route.OnlyVersions(order.Version),
		fresh:    fresh,
		finished: make(chan struct{}),
		began:    now,
		totals:   liveTotals{Routes: make(map[string]*VersionTallies)},
		lastStep: -1,
	}
	s.current.Store(&inForce{state: Serving, old: s.hold.excludingOrdered(order.Version), statusKnown: fresh || r.options.Log == nil})
	return s
}

// inherit takes over what was known from the order before. A verdict is on a version: an
// order that repeats it changes nothing, and any other leaves a reverted one without calls.
func (s *service) inherit(former *service) {
	current := *former.current.Load()
	switch {
	case former.order.Version == s.order.Version && current.state != Serving:
		s.current.Store(&current)
	case former.order.Version != s.order.Version && current.state == Reverted:
		s.exclude(former.order.Version)
	}
	for _, version := range current.old.excluded {
		if version != former.order.Version {
			s.exclude(version)
		}
	}
}

// exclude leaves a version without calls that was reverted before the order.
func (s *service) exclude(version string) {
	current := s.current.Load()
	if version == s.order.Version || slices.Contains(current.old.excluded, version) {
		return
	}
	s.updateLocked(func(next *inForce) {
		next.old = s.hold.excludingOrdered(s.order.Version, append(slices.Clone(current.old.excluded), version)...)
	})
}

// versions returns the numbers of targets by version.
func (s *service) versions(now time.Time) *knownTargets {
	members := s.rollouts.options.Directory.View().ByService.At(s.order.Service)
	known := s.targets.Load()
	if known != nil && sameMembers(known.members, members) {
		return known
	}
	next := &knownTargets{members: members, versionCounts: countVersions(members, s.order.Version)}
	if next.oldAccepting == 0 {
		next.oldGoneSince = now
		if known != nil && !known.oldGoneSince.IsZero() {
			next.oldGoneSince = known.oldGoneSince
		}
	}
	s.targets.Store(next)
	return next
}

// otherVersions returns the versions of the targets known now, other than the new one.
func (s *service) otherVersions() (versions []string) {
	for _, member := range s.rollouts.options.Directory.View().ByService.At(s.order.Service) {
		if version := member.TargetVersion; version != s.order.Version && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// oldGone reports whether only targets of the new version have accepted calls for a while.
// Old ones that are merely out of reach may be served by others: it is this daemon that is
// cut off.
func (k *knownTargets) oldGone(now time.Time) bool {
	return k.new > 0 && !k.oldGoneSince.IsZero() && now.Sub(k.oldGoneSince) >= oldGoneTime
}

// updateLocked replaces what is in force.
func (s *service) updateLocked(change func(*inForce)) {
	next := *s.current.Load()
	change(&next)
	s.current.Store(&next)
}

// adopt makes a final state known to this daemon. Completed stands above Reverted.
func (s *service) adopt(state State, reason string, recorded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptLocked(state, reason, recorded)
}

func (s *service) adoptLocked(state State, reason string, recorded bool) {
	current := s.current.Load()
	// Completed is told only after it was recorded.
	recorded = recorded || state == Completed
	if state == Serving || current.state == Completed && state == Reverted {
		return
	}
	if current.state == state && (current.recorded || !recorded) {
		return
	}
	if current.state != state {
		s.rollouts.countVerdict(state)
		s.rollouts.log.WithFields(logrus.Fields{"service": s.order.Service, "target_version": s.order.Version, "state": state, "reason": reason}).Info("rollout decided")
	}
	if recorded {
		s.recordedState = state
	}
	s.updateLocked(func(next *inForce) {
		if next.state != state {
			next.finalSince, next.reason = s.rollouts.now(), reason
		}
		next.state, next.statusKnown = state, true
		next.recorded = next.recorded && next.state == state || recorded
		next.share = 0
		if state == Completed {
			next.share = 1
			next.notReplaced = s.hold.excluding(s.otherVersions()...)
		}
	})
	if s.trial != nil {
		s.trial.adopt(state, reason)
	}
}

func (r *Rollouts) countVerdict(state State) {
	if state == Completed {
		r.metrics.completed.Inc()
		return
	}
	r.metrics.reverted.Inc()
}

// run reports to the home until the final state is recorded.
func (s *service) run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	if s.rollouts.options.Log != nil {
		tasks.Go(func() { s.keepStatus(ctx) })
	}
	tasks.Go(func() { s.reportToWatcher(ctx) })
	link := s.rollouts.newLink(s)
	defer link.close()
	if !wait.For(ctx, time.Duration(float64(reportInterval)*rand.Float64())) {
		return
	}
	for {
		now := s.rollouts.now()
		if s.reportDue(now) {
			s.reportTo(ctx, link, s.home())
		}
		s.testOwnAnswers(s.rollouts.now())
		if current := s.current.Load(); current.state != Serving && current.recorded {
			s.finish.Do(func() { close(s.finished) })
			return
		}
		if !wait.For(ctx, jitter(reportInterval)) {
			return
		}
	}
}

// reportDue reports whether to report now. In a large mesh most daemons have no calls of
// the service; they report less often.
func (s *service) reportDue(now time.Time) bool {
	if s.rollouts.options.Directory.View().Members.Len() <= largeMesh {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.totals.SentOld + s.totals.SentNew
	if sent == s.reportedSent && now.Sub(s.reportedAt) < idleReportInterval {
		return false
	}
	s.reportedSent, s.reportedAt = sent, now
	return true
}

// reportTo sends one report and applies the answer.
func (s *service) reportTo(ctx context.Context, link reportLink, home membership.Member) {
	got, err := s.send(ctx, link, home, s.report())
	s.mu.Lock()
	s.homeSilent = err != nil || got.unknown
	s.mu.Unlock()
	if err == nil {
		s.apply(got)
	}
}

// send sends one report to a host, which may be this one, and returns the answer.
func (s *service) send(ctx context.Context, link reportLink, to membership.Member, report Report) (answer, error) {
	self := s.rollouts.options.Self
	if to.Host == self.Host {
		link.close()
		s.rollouts.metrics.reports.Inc()
		return s.handle(self.Host, report), nil
	}
	sendCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	got, err := link.send(sendCtx, to, report)
	if err != nil {
		s.rollouts.metrics.reportsLost.Inc()
		if ctx.Err() == nil {
			s.rollouts.log.WithError(err).WithFields(logrus.Fields{"service": s.order.Service, "to": to.Host, "watch": report.Watch}).Debug("report failed")
		}
		return answer{}, err
	}
	s.rollouts.metrics.reports.Inc()
	return got, nil
}

// report returns the report of this daemon.
func (s *service) report() Report {
	now := s.rollouts.now()
	counts := s.versions(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	all := current.shareAt(now) >= 1 && counts.new > 0
	switch {
	case !all:
		s.movedSince = time.Time{}
	case s.movedSince.IsZero():
		s.movedSince = now
	}
	report := Report{
		Incarnation: s.rollouts.options.Self.Incarnation,
		Age:         now.Sub(s.began),
		State:       current.state,
		Reason:      current.reason,
		All:         all,
		Moved:       all && now.Sub(s.movedSince) >= settleTime && s.oldInProgress == 0,
		Totals: Totals{
			SentOld: s.totals.SentOld,
			SentNew: s.totals.SentNew,
			Routes:  make(map[string]VersionTallies, len(s.totals.Routes)),
		},
	}
	for route, tallies := range s.totals.Routes {
		report.Totals.Routes[route] = *tallies
	}
	return report
}

// apply applies an answer of the home.
func (s *service) apply(got answer) {
	if got.unknown {
		return
	}
	now := s.rollouts.now()
	if got.state != Serving {
		s.adopt(got.state, got.reason, got.recorded)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if began := now.Add(-got.age); began.Before(s.began) {
		s.began = began
	}
	if s.current.Load().state != Serving {
		return
	}
	s.updateLocked(func(next *inForce) {
		next.share, next.step, next.answeredAt, next.statusKnown = got.share, got.step, now, true
	})
}

// handle merges a report at the home and decides, or watches for the home.
func (s *service) handle(host string, report Report) answer {
	now := s.rollouts.now()
	reach := s.reach()
	s.adopt(report.State, report.Reason, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if s.trial == nil {
		s.trial = NewTrial(s.order, s.rollouts.options.Limits, s.began)
		s.trial.adopt(current.state, current.reason)
	}
	if report.Watch {
		return s.watchLocked(host, report, now, reach)
	}
	s.trial.recorded = s.recordedOrder
	s.trial.Merge(host, report, now)
	if !s.mayDecide(now, reach) {
		if current.state == Serving {
			return answer{unknown: true, state: Serving}
		}
	} else {
		s.trial.Decide(now, reach)
	}
	s.logChange(now, reach)
	step, share, state := s.trial.Step()
	recorded := s.rollouts.options.Log == nil || s.recordedState == state
	if state == Reverted && current.state == Serving {
		s.adoptLocked(Reverted, s.trial.Reason(), recorded)
	}
	if state == Completed && recorded {
		s.adoptLocked(Completed, s.trial.Reason(), true)
	}
	if state == Completed && !recorded {
		// Daemons go on sending everything to the new version until the log has it.
		state = Serving
	}
	if state == Reverted {
		share = 0
	}
	return answer{share: share, step: step, state: state, reason: s.trial.Reason(), age: now.Sub(s.trial.began), recorded: recorded && state != Serving}
}

// mayDecide reports whether this home may decide: not while it reaches no other host or
// has just started, unless all others have as well and most have reported. It must also
// have read the log, unless the order is new to all and the log does not answer.
func (s *service) mayDecide(now time.Time, reach Reach) bool {
	if reach.Reached < 2 {
		return false
	}
	allRestarted := s.trial.resumed() && reach.Reached >= s.recordedHosts && 2*len(s.trial.reports) > s.recordedHosts
	if now.Sub(s.rollouts.started) < membersGrace && !allRestarted {
		return false
	}
	return s.rollouts.options.Log == nil || s.statusRead || s.fresh && now.Sub(s.began) >= readGrace
}

// logChange logs a change of step or state with its inputs.
func (s *service) logChange(now time.Time, reach Reach) {
	step, share, state := s.trial.Step()
	if step == s.lastStep && state == s.lastState {
		return
	}
	s.lastStep, s.lastState = step, state
	s.rollouts.log.WithFields(logrus.Fields{
		"service": s.order.Service, "target_version": s.order.Version,
		"step": step, "share": share, "state": state, "reason": s.trial.Reason(),
		"age": now.Sub(s.trial.began).Round(time.Millisecond), "duration": s.order.Duration,
		"counts": s.trial.summary(), "sent_old": s.trial.sentOld, "sent_new": s.trial.sentNew,
		"daemons": len(s.trial.reports), "reach": reach.Reached, "known": reach.Known,
		"old_targets": reach.OldTargets, "new_targets": reach.NewTargets,
	}).Info("rollout step")
}

// snapshot describes the rollout for operators.
func (s *service) snapshot() Snapshot {
	home := s.home().Host
	now := s.rollouts.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	snapshot := Snapshot{
		Order: s.order, State: current.state, Step: current.step, Share: current.shareAt(now), Reason: current.reason,
		Recorded: current.recorded, Home: home, KnownSince: s.began, SentOld: s.totals.SentOld, SentNew: s.totals.SentNew,
	}
	if s.trial != nil && home == s.rollouts.options.Self.Host {
		snapshot.Counts = s.trial.summary()
	}
	return snapshot
}
