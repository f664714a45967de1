package distribute

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// batchBytes bounds the records of one message.
const batchBytes = 256 << 10

// state joins the fold of this daemon with the tail kept for followers and
// with where the state came from.
type state struct {
	host     string
	enforcer *enforce.Enforcer
	now      func() time.Time

	mu     sync.Mutex
	tail   tail
	cached *snapshot
	fresh  time.Time
	// via leads from this daemon's parent to the reader of the log.
	via []string
	// rooted is set while this daemon reads the log itself.
	rooted bool
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
	s.align()
	folded, err := s.enforcer.ApplyAndCompact(records)
	for _, record := range folded {
		if record.Offset == s.tail.end+1 {
			s.tail.add(record)
		}
	}
	return err
}

// align starts the tail again where the fold was moved past it.
func (s *state) align() {
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

// after returns what a daemon at an offset lacks: records, or a snapshot and
// the records after it. Both are empty when it lacks nothing.
func (s *state) after(offset uint64) (*snapshot, []platform.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.align()
	if offset >= s.tail.end {
		return nil, nil, nil
	}
	if s.tail.covers(offset) {
		return nil, s.tail.after(offset, batchBytes), nil
	}
	snap, err := s.snapshot()
	if err != nil {
		return nil, nil, err
	}
	return snap, s.tail.after(snap.Offset, batchBytes), nil
}

// snapshot returns the cached snapshot while the tail goes on from it, so
// that many daemons that start at once cost one encoding.
func (s *state) snapshot() (*snapshot, error) {
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

// encode returns a snapshot of the present state.
func (s *state) encode() (*snapshot, error) {
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

// confirm notes that this state was the log's newest at a time.
func (s *state) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.fresh) {
		s.fresh = at
	}
}

// freshness returns when this state was last the log's newest.
func (s *state) freshness() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

// setVia notes the hosts between this daemon and the log.
func (s *state) setVia(via []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.via = slices.Clone(via)
}

// setRooted notes whether this daemon reads the log itself.
func (s *state) setRooted(rooted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rooted = rooted
}

// isRooted reports whether this daemon reads the log itself.
func (s *state) isRooted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rooted
}

// setParentRegion notes the region of this daemon's parent.
func (s *state) setParentRegion(region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parentRegion = region
}

// follows reports whether this daemon has a parent in a region.
func (s *state) follows(region string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parentRegion == region
}

// path returns the hosts from this daemon to the reader of the log.
func (s *state) path() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{s.host}, s.via...)
}
