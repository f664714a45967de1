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
		LogRTT:           time.Duration(r.logRTTMs) * time.Millisecond,
		TargetStateSince: r.targetStateSince,
		LastHeard:        r.lastHeard,
	}
}

// newView returns a view of members, with an index by service.
func newView(self string, members map[string]Member) *View {
	services := make(map[string][]Member)
	for _, member := range members {
		if member.Service != "" && member.TargetState != NoTarget {
			services[member.Service] = append(services[member.Service], member)
		}
	}
	for _, targets := range services {
		slices.SortFunc(targets, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	}
	return &View{Self: members[self], Members: members, ByService: services}
}
