package distribute

import (
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

// follower is a daemon that receives its records from this one.
type follower struct {
	identity  peer.Identity
	offset    uint64
	zones     []ZoneSummary
	lastHeard time.Time
}

// followers holds the daemons that currently follow this one.
type followers struct {
	now func() time.Time
	// changed is notified when the offsets or summaries of the followers have
	// changed.
	changed wait.Broadcast
	mu      sync.Mutex
	list    map[*follower]struct{}
}

func newFollowers(now func() time.Time) *followers {
	return &followers{now: now, list: make(map[*follower]struct{})}
}

// maxFollowers limits how many daemons may follow one daemon. It is well above
// the number of children in the tree, to leave room for daemons that lost their
// parents.
const maxFollowers = 256

// add registers a follower with its first message. It returns false if there
// are too many followers.
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

func (f *followers) remove(gone *follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.list, gone)
	f.changed.Notify()
}

// recordAck stores the offset and the subtree summary that a follower reports.
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

// count returns the number of open streams to followers.
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

// summaries returns the subtree summaries of the followers, and names those
// followers of a region that are below an offset.
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

// subtree summarizes this daemon and all daemons that receive their records
// through it.
func (d *Distributor) subtree() []ZoneSummary {
	offset, _ := d.enforcer.Position()
	all := d.followers.summaries(d.self.Region, offset)
	return mergeZones(append(all, singleDaemon(d.self.Zone, d.self.Region, offset)))
}
