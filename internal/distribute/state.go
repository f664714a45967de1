package distribute

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// maxBatchBytes limits the size of the records in one message.
const maxBatchBytes = 256 << 10

// state combines the state machine of this daemon with the recent records kept
// for followers and with the path over which records arrive.
type state struct {
	host     string
	enforcer *enforce.Enforcer
	now      func() time.Time

	mu         sync.Mutex
	tail       tail
	cached     *snapshot
	upToDateAt time.Time
	// upstreamPath lists the hosts from this daemon's parent to the log reader.
	upstreamPath []string
	// readsLog is set while this daemon reads the log itself.
	readsLog bool
	// parentRegion is the region of this daemon's parent, empty without a
	// parent.
	parentRegion string
}

func newState(host string, enforcer *enforce.Enforcer, now func() time.Time) *state {
	s := &state{host: host, enforcer: enforcer, now: now}
	offset, _ := enforcer.Position()
	s.tail.reset(offset)
	return s
}

// apply applies records and keeps the applied ones in the tail for followers.
func (s *state) apply(records []platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.realignTail()
	applied, err := s.enforcer.ApplyAndCompact(records)
	for _, record := range applied {
		if record.Offset == s.tail.end+1 {
			s.tail.add(record)
		}
	}
	return err
}

// realignTail empties the tail if the state machine has moved to another offset
// than the end of the tail.
func (s *state) realignTail() {
	if offset, _ := s.enforcer.Position(); offset != s.tail.end {
		s.tail.reset(offset)
	}
}

// restore replaces the state with a newer snapshot.
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

// missingAfter returns what a daemon at an offset is missing: records, or a
// snapshot and the records after it. Both are empty if the daemon is up to
// date.
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

// cachedSnapshot reuses the cached snapshot while the tail continues from it,
// so that many daemons starting at once cost a single encoding.
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

// currentSnapshot returns a snapshot of the current state.
func (s *state) currentSnapshot() (*snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return takeSnapshot(s.enforcer)
}

// takeSnapshot encodes and compresses the state.
func takeSnapshot(enforcer *enforce.Enforcer) (*snapshot, error) {
	plain, offset, err := enforcer.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	compressed, err := compress(plain)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	_, digest := enforcer.Position()
	return &snapshot{Offset: offset, Digest: digest, State: compressed}, nil
}

// markUpToDate records that this state was the newest of the log at a time.
func (s *state) markUpToDate(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.upToDateAt) {
		s.upToDateAt = at
	}
}

// lastUpToDate returns when this state was last known to be the newest of the
// log.
func (s *state) lastUpToDate() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upToDateAt
}

// setUpstreamPath records the hosts between this daemon and the log.
func (s *state) setUpstreamPath(path []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreamPath = slices.Clone(path)
}

func (s *state) setReadsLog(readsLog bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsLog = readsLog
}

// isLogReader reports whether this daemon reads the log itself.
func (s *state) isLogReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readsLog
}

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

// path returns the hosts from this daemon to the log reader, both included.
func (s *state) path() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{s.host}, s.upstreamPath...)
}
