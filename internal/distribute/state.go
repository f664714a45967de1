package distribute

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// maxBatchBytes bounds the records of one message.
const maxBatchBytes = 256 << 10

// state joins the fold of this daemon with the tail kept for followers and
// with where the state came from.
type state struct {
	host     string
	enforcer *enforce.Enforcer
	now      func() time.Time

	mu         sync.Mutex
	tail       tail
	cached     *snapshot
	upToDateAt time.Time
	// upstreamPath leads from this daemon's parent to the reader of the log.
	upstreamPath []string
	// readsLog is set while this daemon reads the log itself.
	readsLog bool
	// parentRegion is the region of this daemon's parent, empty without one.
	parentRegion string
}

func newState(host string, enforcer *enforce.Enforcer, now func() time.Time) *state {
	s := &state{host: host, enforcer: enforcer, now: now}
	offset, _ := enforcer.Position()
	s.tail.reset(offset)
	return s
}

// apply folds records and keeps those folded for followers.
func (s *state) apply(records []platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.realignTail()
	folded, err := s.enforcer.ApplyAndCompact(records)
	for _, record := range folded {
		if record.Offset == s.tail.end+1 {
			s.tail.add(record)
		}
	}
	return err
}

// realignTail starts the tail again where the fold was moved past it.
func (s *state) realignTail() {
	if offset, _ := s.enforcer.Position(); offset != s.tail.end {
		s.tail.reset(offset)
	}
}

// restore replaces the fold by a newer snapshot.
func (s *state) restore(snap *snapshot) error {
	plain, err := decompress(snap.State)
	if err != nil {
		return fmt.Errorf("decompress snapshot at %d: %w", snap.Offset, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enforcer.Restore(plain, snap.Offset); err != nil {
		return err
	}
	offset, _ := s.enforcer.Position()
	if offset > s.tail.end {
		s.tail.reset(offset)
		s.cached = snap
	}
	return nil
}

// missingAfter returns what a daemon at an offset lacks: records, or a snapshot and
// the records missingAfter it. Both are empty when it lacks nothing.
func (s *state) missingAfter(offset uint64) (*snapshot, []platform.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.realignTail()
	if offset >= s.tail.end {
		return nil, nil, nil
	}
	if s.tail.covers(offset) {
		return nil, s.tail.recordsAfter(offset, maxBatchBytes), nil
	}
	snap, err := s.cachedSnapshot()
	if err != nil {
		return nil, nil, err
	}
	return snap, s.tail.recordsAfter(snap.Offset, maxBatchBytes), nil
}

// cachedSnapshot returns the cached cachedSnapshot while the tail goes on from it, so
// that many daemons that start at once cost one encoding.
func (s *state) cachedSnapshot() (*snapshot, error) {
	if s.cached != nil && s.tail.covers(s.cached.Offset) {
		return s.cached, nil
	}
	snap, err := takeSnapshot(s.enforcer)
	if err != nil {
		return nil, err
	}
	s.cached = snap
	return snap, nil
}

// currentSnapshot returns a snapshot of the present state.
func (s *state) currentSnapshot() (*snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return takeSnapshot(s.enforcer)
}

// takeSnapshot encodes and compresses the fold.
func takeSnapshot(enforcer *enforce.Enforcer) (*snapshot, error) {
	plain, offset, err := enforcer.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	packed, err := compress(plain)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	_, digest := enforcer.Position()
	return &snapshot{Offset: offset, Digest: digest, State: packed}, nil
}

// markUpToDate notes that this state was the log's newest at a time.
func (s *state) markUpToDate(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.upToDateAt) {
		s.upToDateAt = at
	}
}

// lastUpToDate returns when this state was last the log's newest.
func (s *state) lastUpToDate() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upToDateAt
}

// setUpstreamPath notes the hosts between this daemon and the log.
func (s *state) setUpstreamPath(via []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreamPath = slices.Clone(via)
}

// setReadsLog notes whether this daemon reads the log itself.
func (s *state) setReadsLog(rooted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsLog = rooted
}

// isLogReader reports whether this daemon reads the log itself.
func (s *state) isLogReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readsLog
}

// setParentRegion notes the region of this daemon's parent.
func (s *state) setParentRegion(region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parentRegion = region
}

// hasParentIn reports whether this daemon has a parent in a region.
func (s *state) hasParentIn(region string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parentRegion == region
}

// path returns the hosts from this daemon to the reader of the log.
func (s *state) path() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{s.host}, s.upstreamPath...)
}
