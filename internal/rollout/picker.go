package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// completedTime is how long after it learnt of the completion a daemon sends calls to
// the new version alone, while other targets are stopped.
const completedTime = 10 * time.Second

var _ call.VersionPicker = (*Rollouts)(nil)

// Pick implements call.VersionPicker.
func (r *Rollouts) Pick(config *publish.Configuration, service, route string) call.VersionedCall {
	order := r.newestConfig(config).Rollouts[service]
	if order == nil {
		return r.holdOf(service).plain
	}
	return r.ofOrder(order).pick(route)
}

// orderedCall is a call of a service with an order.
type orderedCall struct {
	service *service
	route   string
	// canary is drawn once: whether the first attempt goes to the new version.
	canary bool
	share  float64
	step   Step
}

// pick returns a call. If the order is completed for so long that its targets are chosen
// without regard to it, only the versions that it replaced are left out.
func (s *service) pick(route string) call.VersionedCall {
	now := s.rollouts.now()
	current := s.current.Load()
	if current.state == Completed && now.Sub(current.finalSince) > completedTime {
		return current.notReplaced
	}
	share := current.shareAt(now)
	return &orderedCall{
		service: s,
		route:   route,
		canary:  share > 0 && rand.Float64() < share,
		share:   share,
		step:    current.step,
	}
}

// Targets implements call.VersionedCall. The state may have changed since the call was
// picked, or another order may have come.
func (c *orderedCall) Targets(first bool) *route.VersionFilter {
	s := c.service
	if config := s.rollouts.newestConfig(nil); config != nil {
		if order := config.Rollouts[s.order.Service]; order != nil && *order != s.order {
			return s.rollouts.Pick(config, order.Service, c.route).Targets(false)
		}
	}
	now := s.rollouts.now()
	current := s.current.Load()
	counts := s.versions(now)
	switch {
	case current.state == Reverted:
		return current.old.filter()
	case current.state == Completed && counts.new > 0:
		return &s.onlyNew
	case current.state == Completed:
		return current.notReplaced.filter()
	}
	share := current.shareAt(now)
	switch {
	case share >= 1 && counts.new > 0:
		return &s.onlyNew
	case c.canary && first && share > 0:
		return &s.onlyNew
	case current.statusKnown && counts.oldGone(now):
		return &s.onlyNew
	default:
		return current.old.filter()
	}
}

// Canary implements call.VersionedCall.
func (c *orderedCall) Canary() (version, reason string, canary bool) {
	if !c.canary || c.share >= 1 {
		return "", "", false
	}
	return c.service.order.Version, fmt.Sprintf("step %s, share %.3f", c.step, c.share), true
}

// Counted implements call.VersionedCall.
func (*orderedCall) Counted() bool { return true }

// Began implements call.VersionedCall.
func (c *orderedCall) Began(version string) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == s.order.Version {
		s.totals.SentNew++
		s.rollouts.metrics.sentNew.Inc()
		return
	}
	s.totals.SentOld++
	s.oldInProgress++
	s.rollouts.metrics.sentOld.Inc()
}

// Answered implements call.VersionedCall.
func (c *orderedCall) Answered(answer call.VersionAnswer) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	tallies := s.totals.Routes[c.route]
	if tallies == nil {
		if len(s.totals.Routes) >= maxRoutes {
			return
		}
		tallies = &VersionTallies{}
		s.totals.Routes[c.route] = tallies
	}
	if answer.Version == s.order.Version {
		tallies.New.add(answer.Failed, answer.Took, answer.Cold)
		return
	}
	tallies.Old.add(answer.Failed, answer.Took, answer.Cold)
}

// Ended implements call.VersionedCall.
func (c *orderedCall) Ended(version string) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.order.Version {
		s.oldInProgress--
	}
}
