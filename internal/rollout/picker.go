package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

const (
	// holdTime is how long a version that first appears beside another one gets no
	// calls, since an order may be on its way.
	holdTime = 2 * time.Second
	// forgetVersion is after how long without targets a version counts as new again.
	forgetVersion = 30 * time.Second
	// completedTime is how long after it learnt of the completion a daemon sends
	// nothing to other versions, whose targets are stopped meanwhile.
	completedTime = 10 * time.Second
)

var _ call.VersionPicker = (*Rollouts)(nil)

// Pick implements call.VersionPicker.
func (r *Rollouts) Pick(config *publish.Configuration, service, route string) call.VersionedCall {
	var replaced []string
	if order := config.Rollouts[service]; order != nil {
		s := r.ofOrder(order)
		if versioned := s.pick(route); versioned != nil {
			return versioned
		}
		replaced = s.current.Load().oldVersions
	}
	return r.pickUnheld(service, replaced)
}

// pickUnheld returns a call to the versions of a service without a running order, nil
// if all of them may get it. Versions that a completed order replaced get none.
func (r *Rollouts) pickUnheld(service string, replaced []string) call.VersionedCall {
	r.mu.RLock()
	h := r.holds[service]
	r.mu.RUnlock()
	if h == nil {
		r.mu.Lock()
		h = r.holds[service]
		if h == nil {
			h = &hold{}
			r.holds[service] = h
		}
		r.mu.Unlock()
	}
	filter, began := h.filter(r.options.Directory.View().ByService.At(service), replaced, r.now())
	if began {
		r.metrics.held.Inc()
		r.log.WithField("service", service).Info("version that appeared beside another one gets no calls for now")
	}
	if filter == nil {
		return nil
	}
	return heldCall{filter}
}

// hold delays calls to versions of one service that appear beside another one.
type hold struct {
	mu      sync.Mutex
	members []membership.Member
	// replaced are the versions that a completed order replaced.
	replaced []string
	// began is when the targets were first looked at.
	began time.Time
	// versions holds for each version when it was first and last seen with a target.
	versions map[string]*seenVersion
	// until is when the next version is no longer held, zero if none is.
	until time.Time
	held  *route.VersionFilter
}

type seenVersion struct {
	lastSeen  time.Time
	heldUntil time.Time
}

// filter returns which versions may get calls, nil for all, and whether the hold of
// a version began.
func (h *hold) filter(members []membership.Member, replaced []string, now time.Time) (held *route.VersionFilter, began bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := len(h.members) == len(members) && (len(members) == 0 || &h.members[0] == &members[0])
	same = same && slices.Equal(h.replaced, replaced)
	if same && (h.until.IsZero() || now.Before(h.until)) {
		return h.held, false
	}
	h.members, h.replaced = members, replaced
	began = h.update(members, replaced, now)
	return h.held, began
}

func (h *hold) update(members []membership.Member, replaced []string, now time.Time) (began bool) {
	live := make(map[string]int)
	var held []string
	for i := range members {
		switch version := members[i].TargetVersion; {
		case slices.Contains(replaced, version):
			held = append(held, version)
		case acceptsCalls(&members[i]):
			live[version]++
		}
	}
	if h.versions == nil {
		h.versions, h.began = make(map[string]*seenVersion), now
	}
	// While a daemon learns of the targets after its start, the order in which they
	// appear says nothing.
	first := now.Sub(h.began) < holdTime
	served := mostTargets(live, first, h.versions, now)
	for version := range live {
		seen := h.versions[version]
		if seen == nil || now.Sub(seen.lastSeen) > forgetVersion {
			seen = &seenVersion{}
			h.versions[version] = seen
			if served != nil && version != *served {
				seen.heldUntil = now.Add(holdTime)
				began = true
			}
		}
		if first && served != nil && version == *served {
			seen.heldUntil = time.Time{}
		} else if first && served != nil {
			seen.heldUntil = h.began.Add(2 * holdTime)
		}
	}
	for _, member := range members {
		if seen := h.versions[member.TargetVersion]; seen != nil {
			seen.lastSeen = now
		}
	}
	h.until = time.Time{}
	delayed := 0
	for version := range live {
		if until := h.versions[version].heldUntil; now.Before(until) {
			held = append(held, version)
			delayed++
			if h.until.IsZero() || until.Before(h.until) {
				h.until = until
			}
		}
	}
	h.held = nil
	if len(held) > 0 && delayed < len(live) {
		filter := route.ExceptVersions(held...)
		h.held = &filter
	}
	return began
}

// mostTargets returns the version beside which others are held: one that is served
// already or, at the first view of a service, the one with the most targets. It returns
// nil if there is none.
func mostTargets(live map[string]int, first bool, known map[string]*seenVersion, now time.Time) *string {
	var most *string
	for version, count := range live {
		seen := known[version]
		if !first && (seen == nil || now.Before(seen.heldUntil) || now.Sub(seen.lastSeen) > forgetVersion) {
			continue
		}
		if most == nil || count > live[*most] || count == live[*most] && version < *most {
			most = &version
		}
	}
	return most
}

// heldCall is a call of a service without an order while a version is held.
type heldCall struct{ filter *route.VersionFilter }

func (c heldCall) Targets(bool) *route.VersionFilter { return c.filter }
func (heldCall) Canary() (string, string, bool)      { return "", "", false }
func (heldCall) Began(string)                        {}
func (heldCall) Answered(call.VersionAnswer)         {}
func (heldCall) Ended(string)                        {}

// orderedCall is a call of a service with an order.
type orderedCall struct {
	service *service
	route   string
	// canary is drawn once: whether the first attempt goes to the new version.
	canary bool
	share  float64
	step   Step
}

// pick returns a call, nil if the order is completed for so long that targets are
// chosen without regard to it.
func (s *service) pick(route string) call.VersionedCall {
	now := s.rollouts.now()
	current := s.current.Load()
	if current.state == Completed && now.Sub(current.finalSince) > completedTime {
		return nil
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
// picked.
func (c *orderedCall) Targets(first bool) *route.VersionFilter {
	s := c.service
	now := s.rollouts.now()
	current := s.current.Load()
	counts := s.versions(now)
	switch {
	case current.state == Reverted:
		return &s.onlyOld
	case current.state == Completed && counts.new > 0:
		return &s.onlyNew
	case current.state == Completed:
		return nil
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
		return &s.onlyOld
	}
}

// Canary implements call.VersionedCall.
func (c *orderedCall) Canary() (version, reason string, canary bool) {
	if !c.canary || c.share >= 1 {
		return "", "", false
	}
	return c.service.order.Version, fmt.Sprintf("step %s, share %.3f", c.step, c.share), true
}

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
