package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of hash buckets by which two tables are compared.
const bucketCount = 64

// row is an entry with this daemon's local bookkeeping.
type row struct {
	entry
	// entryKey is the result of entry.key.
	entryKey uint64
	// changeSequence is the sequence number of the row's last change in this table.
	changeSequence uint64
	// learnedFrom is the host that sent the entry.
	learnedFrom string
	// targetStateSince is when this daemon learnt of targetState.
	targetStateSince time.Time
	// lastHeard is when the entry was received.
	lastHeard time.Time
	// replaced says that this daemon knew an earlier process of the host, of which it still
	// holds the history.
	replaced bool
	// goneSince is when the daemon was found to have left or to be unreachable,
	// zero while it is neither.
	goneSince time.Time
}

// entryOrNil returns the entry of a row, nil if there is no row.
func (r *row) entryOrNil() *entry {
	if r == nil {
		return nil
	}
	return &r.entry
}

// knownHistory returns the history of a row, an empty one if there is no row.
func (r *row) knownHistory() targetHistory {
	if r == nil {
		return targetHistory{}
	}
	return r.history
}

// change records that the row of a host changed.
type change struct {
	sequence uint64
	host     string
	at       time.Time
}

// table holds the newest known entry of each host. Which of two entries of a
// host wins depends on their versions alone, so tables that received the same
// entries are equal whatever the order of arrival. It is not safe for
// concurrent use.
type table struct {
	rows     map[string]*row
	sequence uint64
	history  []change
	buckets  [bucketCount]uint64
	// tombstones holds the versions of dropped entries, so that late copies do
	// not bring them back.
	tombstones map[string]tombstone
}

// tombstone is the version of a dropped entry.
type tombstone struct {
	version   EntryVersion
	droppedAt time.Time
}

func newTable() *table {
	return &table{
		rows:       make(map[string]*row),
		tombstones: make(map[string]tombstone),
	}
}

// merge adds an entry received from a host and reports whether it is newer
// than the one in the table. The history in the entry before is kept, since a
// process that has just started does not know that of its predecessor.
func (t *table) merge(e entry, from string, now time.Time) bool {
	if e.host == "" {
		return false
	}
	if dropped, ok := t.tombstones[e.host]; ok {
		if !e.version.After(dropped.version) {
			return false
		}
		delete(t.tombstones, e.host)
	}
	current, ok := t.rows[e.host]
	if ok && !e.version.After(current.version) {
		return false
	}
	next := &row{entry: e, entryKey: e.key(), learnedFrom: from, targetStateSince: now, lastHeard: now}
	next.history = e.history.merge(current.knownHistory(), now)
	if ok {
		next.replaced = current.replaced || current.version.Incarnation < e.version.Incarnation
		t.buckets[bucketOf(e.host)] ^= current.entryKey
		if current.targetState == e.targetState && current.version.Incarnation == e.version.Incarnation {
			next.targetStateSince = current.targetStateSince
		}
	}
	t.buckets[bucketOf(e.host)] ^= next.entryKey
	t.rows[e.host] = next
	t.recordChange(next, now)
	return true
}

// recordChange appends the change of a row to the history.
func (t *table) recordChange(r *row, now time.Time) {
	t.sequence++
	r.changeSequence = t.sequence
	t.history = append(t.history, change{sequence: t.sequence, host: r.host, at: now})
	if len(t.history) > 2*len(t.rows)+bucketCount {
		t.compact()
	}
}

// compact drops the changes that a later change of the same host superseded.
func (t *table) compact() {
	kept := t.history[:0]
	for _, c := range t.history {
		if t.isCurrent(c) {
			kept = append(kept, c)
		}
	}
	t.history = kept
}

func (t *table) isCurrent(c change) bool {
	r, ok := t.rows[c.host]
	return ok && r.changeSequence == c.sequence
}

// changed returns at most limit rows for which include holds and whose last
// change lies after one sequence number and not after another, oldest first.
// next is the number to continue from.
func (t *table) changed(after, until uint64, limit int, include func(*row) bool) (rows []*row, next uint64) {
	start := len(t.history)
	for start > 0 && t.history[start-1].sequence > after {
		start--
	}
	for _, c := range t.history[start:] {
		if len(rows) == limit || c.sequence > until {
			break
		}
		after = c.sequence
		if t.isCurrent(c) && include(t.rows[c.host]) {
			rows = append(rows, t.rows[c.host])
		}
	}
	return rows, after
}

// sequenceBefore returns the sequence number of the last change made before a
// time.
func (t *table) sequenceBefore(before time.Time) uint64 {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].at.Before(before) {
			return t.history[i].sequence
		}
	}
	return 0
}

// drop removes an entry and leaves a tombstone.
func (t *table) drop(host string, now time.Time) {
	r, ok := t.rows[host]
	if !ok {
		return
	}
	t.buckets[bucketOf(host)] ^= r.entryKey
	delete(t.rows, host)
	t.tombstones[host] = tombstone{version: r.version, droppedAt: now}
}

// summary returns a hash over the whole table.
func (t *table) summary() uint64 {
	var sum uint64
	for _, bucket := range t.buckets {
		sum ^= bucket
	}
	return sum
}

// inDifferingBuckets returns the rows of the buckets whose hashes differ from
// those given. It stops at limit rows, but never inside a bucket. covered are
// the differing buckets whose rows are returned; more reports whether other
// buckets differ too.
func (t *table) inDifferingBuckets(buckets []uint64, limit int) (rows []*row, covered []uint32, more bool) {
	for i, bucket := range t.buckets {
		if i >= len(buckets) || buckets[i] == bucket {
			continue
		}
		if len(rows) >= limit {
			return rows, covered, true
		}
		rows = append(rows, t.inBucket(i)...)
		covered = append(covered, uint32(i))
	}
	return rows, covered, false
}

func (t *table) inBucket(bucket int) []*row {
	var rows []*row
	for host, r := range t.rows {
		if bucketOf(host) == bucket {
			rows = append(rows, r)
		}
	}
	return rows
}

// bucketOf returns the index of the bucket that holds a host.
func bucketOf(host string) int {
	return int(xxhash.Sum64String(host) % bucketCount)
}
