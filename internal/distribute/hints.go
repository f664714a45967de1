package distribute

import (
	"context"
	"sync"
	"time"
)

// Times of pulls from peers that are ahead.
const (
	pullInterval = 500 * time.Millisecond
	// pullAfter is how long a peer must have been ahead, so that the push
	// along the tree goes first.
	pullAfter = time.Second
)

// hint says that a peer was seen ahead.
type hint struct {
	host    string
	address string
	offset  uint64
	since   time.Time
}

// hints holds the peer that is furthest ahead.
type hints struct {
	now func() time.Time
	mu  sync.Mutex
	// best is the hint with the highest offset; since is that of the first
	// hint above the offset of this daemon.
	best *hint
}

func newHints(now func() time.Time) *hints { return &hints{now: now} }

// ReportPeerOffset notes that a heartbeat showed a peer at an offset. It never blocks.
func (d *Distributor) ReportPeerOffset(host, controlAddress string, offset uint64) {
	if own, _ := d.enforcer.Position(); offset > own && controlAddress != "" {
		d.hints.add(hint{host: host, address: controlAddress, offset: offset})
	}
}

func (h *hints) add(next hint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next.since = h.now()
	if h.best != nil {
		if next.offset <= h.best.offset {
			return
		}
		next.since = h.best.since
	}
	h.best = &next
}

// due returns the peer to pull from, if this daemon at an offset has been
// behind it for long enough.
func (h *hints) due(offset uint64) (hint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.best == nil {
		return hint{}, false
	}
	if h.best.offset <= offset {
		h.best = nil
		return hint{}, false
	}
	return *h.best, h.now().Sub(h.best.since) >= pullAfter
}

// clear forgets the present hint; a later heartbeat gives another one.
func (h *hints) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.best = nil
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
		ahead, ok := d.hints.due(offset)
		if !ok {
			continue
		}
		if err := d.pull(ctx, ahead); err != nil {
			d.logger.WithError(err).Debugf("Pull from %s failed.", ahead.host)
			d.hints.clear()
		}
	}
}

// pull asks a peer until this daemon is level with it. When the peer sheds
// the request, the addresses that it names are asked in its place.
func (d *Distributor) pull(ctx context.Context, ahead hint) error {
	ctx, cancel := context.WithTimeout(ctx, d.timing.Pull)
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
			return answer.Elsewhere, &shedError{retryAfter: answer.RetryAfter}
		}
		if err := d.take(answer.Snapshot, answer.Records); err != nil {
			return nil, err
		}
		d.compare(address, answer.Offset, answer.Digest)
		offset, _ := d.enforcer.Position()
		if offset >= answer.Offset || offset == before {
			return nil, nil
		}
	}
}
