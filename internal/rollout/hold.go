package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

const (
	// holdTime is how long a version that first appears beside another one gets no
	// calls, since an order may be on its way.
	holdTime = 2 * time.Second
	// forgetVersion is after how long without targets a version counts as new again.
	forgetVersion = 30 * time.Second
)

// hold delays calls to versions of one service that appear beside another one.
type hold struct {
	rollouts *Rollouts
	service  string
	// plain allows what is not held.
	plain *restriction

	mu sync.Mutex
	// members are the targets at the last look, began is the time of the first.
	members []membership.Member
	began   time.Time
	// versions holds for each version when it was last seen with a target.
	versions map[string]*seenVersion
}

type seenVersion struct {
	lastSeen  time.Time
	heldUntil time.Time
}

// holdOf returns the hold of a service.
func (r *Rollouts) holdOf(service string) *hold {
	if found, ok := r.holds.Load(service); ok {
		return found.(*hold)
	}
	h := &hold{rollouts: r, service: service, versions: make(map[string]*seenVersion)}
	h.plain = h.excluding()
	found, _ := r.holds.LoadOrStore(service, h)
	return found.(*hold)
}

// restriction is which versions of a service may get a call: those that are neither held
// nor excluded. It is the call of a service without a running order.
type restriction struct {
	hold *hold
	// excluded versions get no calls while there is a target of another one.
	excluded []string
	// never is a version that gets none in any case, nil for none.
	never   *string
	current atomic.Pointer[allowedVersions]
}

// allowedVersions are those that may get calls in one view. They are immutable.
type allowedVersions struct {
	members []membership.Member
	// until is when the next version is no longer held, zero if none is.
	until  time.Time
	filter route.VersionFilter
}

// excluding returns the restriction to versions other than the excluded ones.
func (h *hold) excluding(excluded ...string) *restriction {
	return &restriction{hold: h, excluded: excluded}
}

// excludingOrdered returns the restriction to versions other than the ordered one, which
// gets no calls in any case, and than the excluded ones.
func (h *hold) excludingOrdered(ordered string, excluded ...string) *restriction {
	return &restriction{hold: h, excluded: append(slices.Clone(excluded), ordered), never: &ordered}
}

// filter returns the versions that may get a call, as a list of known ones: a call that
// chooses its target in a later view does not reach a version that is held in it.
func (r *restriction) filter() *route.VersionFilter {
	h := r.hold
	members := h.rollouts.options.Directory.View().ByService.At(h.service)
	if current := r.current.Load(); current != nil && sameMembers(current.members, members) && (current.until.IsZero() || h.rollouts.now().Before(current.until)) {
		return &current.filter
	}
	next, began := h.allow(members, r, h.rollouts.now())
	r.current.Store(next)
	if began {
		h.rollouts.metrics.held.Inc()
		h.rollouts.log.WithField("service", h.service).Info("version that appeared beside another one gets no calls for now")
	}
	return &next.filter
}

// sameMembers reports whether two lists are the same one, which a view never changes.
func sameMembers(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// allow returns which versions may get calls and whether the hold of one began.
func (h *hold) allow(members []membership.Member, r *restriction, now time.Time) (next *allowedVersions, began bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteSeen(h.members, now)
	h.members = members
	present := presentVersions(members, r.excluded)
	began = h.holdNew(present, now)
	h.noteSeen(members, now)
	h.forgetVersions(now)
	next = &allowedVersions{members: members}
	var allowed, live []string
	usable := false
	for version, targets := range present {
		if targets.live > 0 {
			live = append(live, version)
		}
		seen := h.versions[version]
		switch {
		case seen == nil:
		case !now.Before(seen.heldUntil):
			allowed = append(allowed, version)
			usable = usable || targets.accepting > 0
		case next.until.IsZero() || seen.heldUntil.Before(next.until):
			next.until = seen.heldUntil
		}
	}
	if !usable {
		allowed = append(allowed, live...)
	}
	if len(allowed) == 0 {
		allowed = versionsOf(members, func(version string) bool { return !slices.Contains(r.excluded, version) })
	}
	if len(allowed) == 0 {
		allowed = versionsOf(members, func(version string) bool { return r.never == nil || version != *r.never })
	}
	next.filter = route.OnlyVersions(allowed...)
	return next, began
}

func versionsOf(members []membership.Member, wanted func(string) bool) (versions []string) {
	for i := range members {
		if version := members[i].TargetVersion; wanted(version) && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// versionTargets counts the targets of a version: those that accept calls by their own
// entry, and those of them that are in reach.
type versionTargets struct{ accepting, live int }

// presentVersions returns the versions that have targets, without the excluded ones.
func presentVersions(members []membership.Member, excluded []string) map[string]versionTargets {
	present := make(map[string]versionTargets)
	for i := range members {
		member := &members[i]
		if slices.Contains(excluded, member.TargetVersion) {
			continue
		}
		targets := present[member.TargetVersion]
		if accepting(member) {
			targets.accepting++
		}
		if acceptsCalls(member) {
			targets.live++
		}
		present[member.TargetVersion] = targets
	}
	return present
}

// forgetVersions forgets the versions that count as new again. Targets may announce any
// number of versions in the life of a daemon.
func (h *hold) forgetVersions(now time.Time) {
	maps.DeleteFunc(h.versions, func(_ string, seen *seenVersion) bool { return now.Sub(seen.lastSeen) > forgetVersion })
}

// noteSeen notes when the versions of targets were last seen.
func (h *hold) noteSeen(members []membership.Member, now time.Time) {
	for i := range members {
		if seen := h.versions[members[i].TargetVersion]; seen != nil {
			seen.lastSeen = now
		}
	}
}

// holdNew holds the versions that appear beside one that is served, and reports whether
// there is one.
func (h *hold) holdNew(present map[string]versionTargets, now time.Time) (began bool) {
	if h.began.IsZero() {
		h.began = now
	}
	// While a daemon learns of the targets after its start, the order in which they
	// appear says nothing.
	first := now.Sub(h.began) < holdTime
	served := servedVersion(present, first, h.versions, now)
	for version, targets := range present {
		if targets.live == 0 {
			continue
		}
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
	return began
}

// servedVersion returns the version beside which others are held, nil for none: one that
// is served already or, at the first view of a service, the one with the most targets.
// Targets out of reach count if the version was served before.
func servedVersion(present map[string]versionTargets, first bool, known map[string]*seenVersion, now time.Time) *string {
	var most *string
	for version, targets := range present {
		seen := known[version]
		served := seen != nil && !now.Before(seen.heldUntil) && now.Sub(seen.lastSeen) <= forgetVersion
		if targets.accepting == 0 || !first && !served || first && targets.live == 0 {
			continue
		}
		if most == nil || targets.live > present[*most].live || targets.live == present[*most].live && version < *most {
			most = &version
		}
	}
	return most
}

// Targets implements call.VersionedCall. An order may have come since the call was picked.
func (r *restriction) Targets(bool) *route.VersionFilter {
	rollouts := r.hold.rollouts
	if config := rollouts.newestConfig(nil); config != nil && config.Rollouts[r.hold.service] != nil {
		if current := rollouts.Pick(config, r.hold.service, ""); current != call.VersionedCall(r) {
			return current.Targets(false)
		}
	}
	return r.filter()
}

// Canary implements call.VersionedCall.
func (*restriction) Canary() (version, reason string, canary bool) { return "", "", false }

// Counted implements call.VersionedCall.
func (*restriction) Counted() bool { return false }

// Began implements call.VersionedCall.
func (*restriction) Began(string) {}

// Answered implements call.VersionedCall.
func (*restriction) Answered(call.VersionAnswer) {}

// Ended implements call.VersionedCall.
func (*restriction) Ended(string) {}
