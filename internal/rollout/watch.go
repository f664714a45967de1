package rollout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// From the step Ramp on a bad version gets many calls within the time that a new home takes
// to be found, and a share of 1 does not lapse. So each daemon reports to a second host too,
// the watcher, which finds a bad version from the same counts as the home. A daemon that
// neither of them answers goes by the answers that it got itself.

// watched reports whether the version gets enough calls to be watched beside the home.
func (f *inForce) watched() bool {
	return f.state == Serving && (f.step == Ramp || f.step == All)
}

// reportToWatcher reports to the watcher until the final state is recorded.
func (s *service) reportToWatcher(ctx context.Context) {
	link := s.rollouts.newLink(s)
	defer link.close()
	for {
		if s.current.Load().watched() {
			s.reportOnceToWatcher(ctx, link)
		}
		if s.isFinished() || !wait.For(ctx, jitter(reportInterval)) {
			return
		}
	}
}

func (s *service) reportOnceToWatcher(ctx context.Context, link reportLink) {
	watcher, found := s.watcher()
	if !found {
		s.setWatcherSilent(true)
		return
	}
	report := s.report()
	report.Watch = true
	got, err := s.send(ctx, link, watcher, report)
	s.setWatcherSilent(err != nil || got.unknown)
	if err == nil && got.state == Reverted {
		s.adopt(Reverted, got.reason, got.recorded)
	}
}

func (s *service) setWatcherSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watcherSilent = silent
}

// isFinished reports whether the final state is recorded.
func (s *service) isFinished() bool {
	select {
	case <-s.finished:
		return true
	default:
		return false
	}
}

// watchLocked merges a report at the watcher and looks for a bad version. The answer is
// unknown if this host may not judge. The caller holds the mutex.
func (s *service) watchLocked(host string, report Report, now time.Time, reach Reach) answer {
	s.trial.MergeWatched(host, report, now)
	if reach.Reached < 2 || now.Sub(s.rollouts.started) < membersGrace {
		return answer{unknown: true, state: Serving}
	}
	s.trial.Watch(now, reach)
	_, _, state := s.trial.Step()
	if state != Reverted {
		return answer{state: Serving}
	}
	recorded := s.rollouts.options.Log == nil || s.recordedState == Reverted
	if s.current.Load().state == Serving {
		s.rollouts.log.WithFields(logrus.Fields{
			"service": s.order.Service, "target_version": s.order.Version, "reason": s.trial.Reason(),
			"counts": s.trial.summary(), "daemons": len(s.trial.reports), "reach": reach.Reached, "known": reach.Known,
		}).Info("bad version found by the watcher")
		s.adoptLocked(Reverted, s.trial.Reason(), recorded)
	}
	return answer{state: Reverted, reason: s.trial.Reason(), recorded: recorded}
}

// testOwnAnswers looks for a bad version in the answers that this daemon got itself. While
// neither the home nor the watcher answers, it sends no more calls to a version that these show
// to be bad, until one of them answers.
func (s *service) testOwnAnswers(now time.Time) {
	if !s.current.Load().watched() {
		return
	}
	report := s.report()
	oldTargets := s.versions(now).old
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		s.own = NewTrial(s.order, s.rollouts.options.Limits, s.began)
	}
	s.own.MergeWatched(s.rollouts.options.Self.Host, report, now)
	if !s.own.evaluate(now) || oldTargets == 0 {
		return
	}
	reason := s.own.judge.reason
	s.own = nil
	if current := s.current.Load(); !s.homeSilent || !s.watcherSilent || current.shareAt(now) == 0 {
		return
	}
	s.rollouts.metrics.suspended.Inc()
	s.rollouts.log.WithFields(logrus.Fields{"service": s.order.Service, "target_version": s.order.Version, "reason": reason}).
		Warn("no host answers reports; calls go to the old version, as own answers show the new one to be bad")
	s.updateLocked(func(next *inForce) { next.share = 0 })
}
