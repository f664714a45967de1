package membership

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// publishedView holds the current view and notifies its readers of a new one.
type publishedView struct {
	current atomic.Pointer[View]
	changed wait.Broadcast
}

func (p *publishedView) set(view *View) {
	p.current.Store(view)
	p.changed.Notify()
}

// member returns the row as a Member, with neither Reachability nor
// AppliedOffset set.
func (r *row) member() Member {
	return Member{
		Host:             r.host,
		Zone:             r.zone,
		Region:           r.region,
		Version:          r.version,
		State:            r.state,
		ControlAddress:   r.controlAddress,
		CallsAddress:     r.callsAddress,
		Service:          r.service,
		Slots:            r.slots,
		TargetState:      r.targetState,
		TargetVersion:    r.targetVersion,
		LogRTT:           time.Duration(r.logRTTMs) * time.Millisecond,
		TargetStateSince: r.targetStateSince,
		LastHeard:        r.lastHeard,
	}
}

// hasTarget reports whether a member is listed under its service.
func (member *Member) hasTarget() bool {
	return member.Service != "" && member.TargetState != NoTarget
}

// newView returns a view of members, with an index by service.
func newView(self string, members map[string]Member) *View {
	services := make(map[string][]Member)
	for _, member := range members {
		if member.hasTarget() {
			services[member.Service] = append(services[member.Service], member)
		}
	}
	for _, targets := range services {
		slices.SortFunc(targets, compareHosts)
	}
	return &View{Self: members[self], Members: NewMap(members), ByService: NewMap(services)}
}

func compareHosts(a, b Member) int { return cmp.Compare(a.Host, b.Host) }

// with returns a copy of the view in which a member is replaced or added.
func (v *View) with(member Member) *View {
	next := *v
	before, known := v.Members.Get(member.Host)
	next.Members = v.Members.With(member.Host, member)
	if member.Host == v.Self.Host {
		next.Self = member
	}
	if known && before.hasTarget() && (before.Service != member.Service || !member.hasTarget()) {
		next.ByService = withoutTarget(next.ByService, before)
	}
	if member.hasTarget() {
		next.ByService = withTarget(next.ByService, member)
	}
	return &next
}

// withTarget returns the lists of targets with a member in that of its service.
func withTarget(services Map[[]Member], member Member) Map[[]Member] {
	targets := services.At(member.Service)
	at, found := slices.BinarySearchFunc(targets, member, compareHosts)
	next := make([]Member, 0, len(targets)+1)
	next = append(append(next, targets[:at]...), member)
	if found {
		at++
	}
	return services.With(member.Service, append(next, targets[at:]...))
}

// withoutTarget returns the lists of targets without a member in that of its service.
func withoutTarget(services Map[[]Member], member Member) Map[[]Member] {
	targets := services.At(member.Service)
	at, found := slices.BinarySearchFunc(targets, member, compareHosts)
	if !found {
		return services
	}
	if len(targets) == 1 {
		return services.Without(member.Service)
	}
	return services.With(member.Service, slices.Delete(slices.Clone(targets), at, at+1))
}
