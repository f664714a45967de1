package distribute

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/idle"
)

// Timing of pulls from peers that are ahead.
const (
	pullInterval = 500 * time.Millisecond
	// pullDelay is how long a peer must have been ahead before it is pulled
	// from, so that the push along the tree comes first.
	pullDelay = time.Second
)

// pullCandidate is a peer that was seen ahead of this daemon.
type pullCandidate struct {
	host    string
	address string
	offset  uint64
	since   time.Time
}

// pullTracker holds the peer that is furthest ahead.
type pullTracker struct {
	now func() time.Time
	mu  sync.Mutex
	// candidate is the peer with the highest offset. Its since is the time at
	// which any peer was first seen ahead of this daemon.
	candidate *pullCandidate
}

func newPullTracker(now func() time.Time) *pullTracker { return &pullTracker{now: now} }

// ReportPeerOffset records the offset of a peer as shown by a heartbeat. It
// never blocks.
func (d *Distributor) ReportPeerOffset(host, controlAddress string, offset uint64) {
	if own, _ := d.enforcer.Position(); offset > own && controlAddress != "" {
		d.pullTracker.add(pullCandidate{host: host, address: controlAddress, offset: offset})
	}
}

func (t *pullTracker) add(next pullCandidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next.since = t.now()
	if t.candidate != nil {
		if next.offset <= t.candidate.offset {
			return
		}
		next.since = t.candidate.since
	}
	t.candidate = &next
}

// due returns the peer to pull from, if this daemon at an offset has been
// behind it for long enough.
func (t *pullTracker) due(offset uint64) (pullCandidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.candidate == nil {
		return pullCandidate{}, false
	}
	if t.candidate.offset <= offset {
		t.candidate = nil
		return pullCandidate{}, false
	}
	return *t.candidate, t.now().Sub(t.candidate.since) >= pullDelay
}

// clear drops the current candidate; a later heartbeat provides another one.
func (t *pullTracker) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidate = nil
}

// runPulls requests from peers what was not pushed to this daemon.
func (d *Distributor) runPulls(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		offset, _ := d.enforcer.Position()
		candidate, ok := d.pullTracker.due(offset)
		if !ok {
			continue
		}
		if err := d.pull(ctx, candidate); err != nil {
			d.logger.WithError(err).Debugf("pull from %s failed", candidate.host)
			d.pullTracker.clear()
		}
	}
}

// pull requests records from a peer until this daemon has caught up with it. If
// the peer sheds the request, the alternatives that it names are asked instead.
func (d *Distributor) pull(ctx context.Context, candidate pullCandidate) error {
	ctx, cancel := idle.WithTimeout(ctx, d.timing.PullTimeout, d.timing.PullTimeout)
	defer cancel()
	d.counters.pulls.Inc()
	alternatives, err := d.pullFrom(ctx, candidate.address)
	for _, address := range alternatives {
		if _, err = d.pullFrom(ctx, address); err == nil {
			return nil
		}
	}
	return err
}

// pullFrom pulls from one address. It returns alternative addresses if the
// request is shed.
func (d *Distributor) pullFrom(ctx context.Context, address string) (alternatives []string, err error) {
	for {
		before, digest := d.enforcer.Position()
		response, err := d.catchUp(ctx, address, before, digest)
		if err != nil {
			return nil, err
		}
		if response.RetryAfter > 0 {
			return response.Alternatives, &shedError{retryAfter: response.RetryAfter}
		}
		if err := d.applyCatchUp(response); err != nil {
			return nil, err
		}
		d.compareDigest(address, response.Offset, response.Digest)
		offset, _ := d.enforcer.Position()
		if offset >= response.Offset || offset == before {
			return nil, nil
		}
	}
}

// applyCatchUp applies what a peer sent. The first table is not activated before this
// daemon has caught up with that peer.
func (d *Distributor) applyCatchUp(response catchUpResponse) error {
	d.enforcer.DeferFirstTable(response.Offset)
	return d.applyRecords(response.Snapshot, response.Records)
}
