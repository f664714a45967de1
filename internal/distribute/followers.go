package distribute

import (
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// follower is a daemon that gets its records from this one.
type follower struct {
	identity  peer.Identity
	offset    uint64
	zones     []ZoneSummary
	lastHeard time.Time
}

// followers are the daemons that follow this one at present.
type followers struct {
	now func() time.Time
	// changed is notified when what the followers count has changed.
	changed wait.Broadcast
	mu      sync.Mutex
	list    map[*follower]struct{}
}

func newFollowers(now func() time.Time) *followers {
	return &followers{now: now, list: make(map[*follower]struct{})}
}

// maxFollowers is how many daemons may follow one daemon. It lies well above
// the children of the tree, for those that lost their parents.
const maxFollowers = 256

// add registers a follower by its first message, false when there are too
// many.
func (f *followers) add(identity peer.Identity, first ack) (*follower, bool) {
	added := &follower{identity: identity}
	f.mu.Lock()
	full := len(f.list) >= maxFollowers
	if !full {
		f.list[added] = struct{}{}
	}
	f.mu.Unlock()
	if full {
		return nil, false
	}
	f.recordAck(added, first)
	return added, true
}

// remove forgets a follower.
func (f *followers) remove(gone *follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.list, gone)
	f.changed.Notify()
}

// recordAck notes what a follower says of its subtree.
func (f *followers) recordAck(from *follower, message ack) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.offset != message.Offset || len(message.Zones) > 0 || message.CommonOffset > 0 {
		defer f.changed.Notify()
	}
	from.offset = message.Offset
	from.lastHeard = f.now()
	switch {
	case len(message.Zones) > 0:
		from.zones = message.Zones
	case message.CommonOffset > 0:
		from.zones = withCommonOffset(from.zones, message.CommonOffset)
	}
}

// count returns how many streams to followers are open.
func (f *followers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.list)
}

// hosts returns the hosts that follow this one directly.
func (f *followers) hosts() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make(map[string]bool, len(f.list))
	for known := range f.list {
		hosts[known.identity.Host] = true
	}
	return hosts
}

// summaries returns what the followers said of their subtrees, and names
// those of a region that are below an offset.
func (f *followers) summaries(region string, offset uint64) []ZoneSummary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []ZoneSummary
	for known := range f.list {
		all = append(all, known.zones...)
		if known.offset < offset && known.identity.Region == region {
			all = append(all, known.laggingSummary())
		}
	}
	return all
}

// laggingSummary names the follower without counting it again.
func (f *follower) laggingSummary() ZoneSummary {
	return ZoneSummary{
		Zone:    f.identity.Zone,
		Region:  f.identity.Region,
		Lowest:  f.offset,
		Lagging: []LaggingHost{{Host: f.identity.Host, Offset: f.offset, LastHeard: f.lastHeard}},
	}
}

// subtree sums up this daemon and all that get their records through it.
func (d *Distributor) subtree() []ZoneSummary {
	offset, _ := d.enforcer.Position()
	all := d.followers.summaries(d.self.Region, offset)
	return mergeZones(append(all, singleDaemon(d.self.Zone, d.self.Region, offset)))
}
