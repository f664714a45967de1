package distribute

import (
	"context"
	"sync"
	"time"
)

// Times of pulls from peers that are ahead.
const (
	pullInterval = 500 * time.Millisecond
	// pullDelay is how long a peer must have been ahead, so that the push
	// along the tree goes first.
	pullDelay = time.Second
)

// pullCandidate says that a peer was seen ahead.
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
	// candidate is the hint with the highest offset; since is that of the first
	// hint above the offset of this daemon.
	candidate *pullCandidate
}

func newPullTracker(now func() time.Time) *pullTracker { return &pullTracker{now: now} }

// ReportPeerOffset notes that a heartbeat showed a peer at an offset. It never blocks.
func (d *Distributor) ReportPeerOffset(host, controlAddress string, offset uint64) {
	if own, _ := d.enforcer.Position(); offset > own && controlAddress != "" {
		d.pullTracker.add(pullCandidate{host: host, address: controlAddress, offset: offset})
	}
}

func (h *pullTracker) add(next pullCandidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next.since = h.now()
	if h.candidate != nil {
		if next.offset <= h.candidate.offset {
			return
		}
		next.since = h.candidate.since
	}
	h.candidate = &next
}

// due returns the peer to pull from, if this daemon at an offset has been
// behind it for long enough.
func (h *pullTracker) due(offset uint64) (pullCandidate, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.candidate == nil {
		return pullCandidate{}, false
	}
	if h.candidate.offset <= offset {
		h.candidate = nil
		return pullCandidate{}, false
	}
	return *h.candidate, h.now().Sub(h.candidate.since) >= pullDelay
}

// clear forgets the present hint; a later heartbeat gives another one.
func (h *pullTracker) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.candidate = nil
}

// runPulls asks peers for what the push did not bring.
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
		ahead, ok := d.pullTracker.due(offset)
		if !ok {
			continue
		}
		if err := d.pull(ctx, ahead); err != nil {
			d.logger.WithError(err).Debugf("Pull from %s failed.", ahead.host)
			d.pullTracker.clear()
		}
	}
}

// pull asks a peer until this daemon is level with it. When the peer sheds
// the request, the addresses that it names are asked in its place.
func (d *Distributor) pull(ctx context.Context, ahead pullCandidate) error {
	ctx, cancel := context.WithTimeout(ctx, d.timing.PullTimeout)
	defer cancel()
	d.counters.pulls.Inc()
	elsewhere, err := d.pullFrom(ctx, ahead.address)
	for _, address := range elsewhere {
		if _, err = d.pullFrom(ctx, address); err == nil {
			return nil
		}
	}
	return err
}

// pullFrom asks one address. It returns other addresses when it is shed.
func (d *Distributor) pullFrom(ctx context.Context, address string) (elsewhere []string, err error) {
	for {
		before, digest := d.enforcer.Position()
		answer, err := d.catchUp(ctx, address, before, digest)
		if err != nil {
			return nil, err
		}
		if answer.RetryAfter > 0 {
			return answer.Alternatives, &shedError{retryAfter: answer.RetryAfter}
		}
		if err := d.applyRecords(answer.Snapshot, answer.Records); err != nil {
			return nil, err
		}
		d.compareDigest(address, answer.Offset, answer.Digest)
		offset, _ := d.enforcer.Position()
		if offset >= answer.Offset || offset == before {
			return nil, nil
		}
	}
}
