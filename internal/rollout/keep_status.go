package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// keepStatus reads the status from the log and, at the home, records the states of the
// trial, until a final one is recorded.
func (s *service) keepStatus(ctx context.Context) {
	log := statusLog{s.rollouts.options.Log}
	for {
		s.keepStatusOnce(ctx, log)
		pause := reportInterval / 5
		if s.statusIdle() {
			pause = reportInterval
		}
		select {
		case <-s.finished:
			return
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// statusIdle reports whether there is nothing to read or record at the moment.
func (s *service) statusIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trial == nil
}

// keepStatusOnce makes one read or write if one is due.
func (s *service) keepStatusOnce(ctx context.Context, log statusLog) {
	s.mu.Lock()
	isHome := s.trial != nil && s.home().Host == s.rollouts.options.Self.Host
	// A reversal is recorded by whoever found it or was told, also without a home that may
	// decide: the record refuses a completion that is written late.
	reverted := s.trial != nil && s.trial.state == Reverted
	needsRead := !s.statusRead && (isHome || reverted || !s.fresh)
	wanted := Status{Service: s.order.Service, Version: s.order.Version}
	if s.statusRead && !s.superseded && (reverted || isHome && s.mayDecide(s.rollouts.now(), s.reach())) {
		if _, _, state := s.trial.Step(); state != s.recordedState {
			wanted.State = state
		}
		if wanted.State == Serving {
			wanted.OrderedUnixMs = uint64(s.trial.began.UnixMilli())
			wanted.Hosts = uint32(s.reach().Known)
		}
	}
	replaces := s.replaces
	s.mu.Unlock()
	switch {
	case needsRead:
		newest, _, err := log.read(ctx, s.order.Service)
		if err != nil {
			s.retryStatus(ctx, "read", err)
			return
		}
		s.learnStatus(newest)
	case wanted.State != 0:
		recorded, err := log.record(ctx, wanted, replaces)
		if err != nil {
			s.rollouts.metrics.writesFailed.Inc()
			if errors.Is(err, errSuperseded) {
				s.mu.Lock()
				s.superseded = true
				s.mu.Unlock()
			}
			s.retryStatus(ctx, "record", err)
			return
		}
		s.rollouts.metrics.writes.Inc()
		s.learnStatus(recorded)
	}
}

func (s *service) retryStatus(ctx context.Context, call string, err error) {
	s.rollouts.log.WithError(err).WithFields(logrus.Fields{"service": s.order.Service, "call": call}).Warn("rollout status failed")
	wait.For(ctx, jitter(statusRetry))
}

// learnStatus takes the status that the log holds.
func (s *service) learnStatus(newest Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusRead = true
	if newest.Version != s.order.Version {
		s.replaces = newest.Version
		if newest.State == Reverted {
			s.exclude(newest.Version)
		}
		s.updateLocked(func(next *inForce) { next.statusKnown = true })
		return
	}
	s.recordedState = newest.State
	s.recordedOrder, s.recordedHosts = recordedOrder(newest, s.order.Duration, s.rollouts.now()), int(newest.Hosts)
	if newest.State == Completed || newest.State == Reverted {
		reason := "recorded in the log"
		if s.trial != nil && s.trial.Reason() != "" {
			reason = s.trial.Reason()
		}
		s.adoptLocked(newest.State, reason, true)
		return
	}
	s.updateLocked(func(next *inForce) { next.statusKnown = true })
}
