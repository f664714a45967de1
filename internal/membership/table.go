package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts in which two tables are compared.
const bucketCount = 64

// row is an entry and what this daemon knows about it.
type row struct {
	entry
	// id is the key of the entry.
	entryKey uint64
	// changed is the sequence number of the last change of the entry here.
	changeSequence uint64
	// from is the host that sent the entry.
	learnedFrom string
	// since is when targetState was learnt.
	targetStateSince time.Time
	// heard is when this daemon last had word of the host.
	lastHeard time.Time
	// gone is when the daemon was found to have left or to be unreachable.
	goneSince time.Time
}

// change is one step in the history of a table.
type change struct {
	sequence uint64
	host     string
	at       time.Time
}

// table holds the entries of all hosts. Entries of one host replace each
// other by position only, so that tables which saw the same entries are equal
// whatever the order. It is not safe for concurrent use.
type table struct {
	rows     map[string]*row
	sequence uint64
	history  []change
	buckets  [bucketCount]uint64
	// forgotten holds the positions of dropped entries, so that late copies
	// do not bring them back.
	tombstones map[string]tombstone
}

// tombstone is the position of a dropped entry.
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

// merge takes an entry that came from a host and reports whether it is newer
// than what the table held.
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
	if ok {
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

// record notes the change of a row.
func (t *table) recordChange(r *row, now time.Time) {
	t.sequence++
	r.changeSequence = t.sequence
	t.history = append(t.history, change{sequence: t.sequence, host: r.host, at: now})
	if len(t.history) > 2*len(t.rows)+bucketCount {
		t.compact()
	}
}

// compact drops the steps of the history that later ones overtook.
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

// changed returns the rows that changed after one sequence number and up to
// another and that are wanted, oldest first and at most limit. next is the
// number to continue from.
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

// settled returns the sequence number of the last change that came before a time.
func (t *table) sequenceBefore(before time.Time) uint64 {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].at.Before(before) {
			return t.history[i].sequence
		}
	}
	return 0
}

// drop removes an entry and remembers its position.
func (t *table) drop(host string, now time.Time) {
	r, ok := t.rows[host]
	if !ok {
		return
	}
	t.buckets[bucketOf(host)] ^= r.entryKey
	delete(t.rows, host)
	t.tombstones[host] = tombstone{version: r.version, droppedAt: now}
}

// summary is a hash over the whole table.
func (t *table) summary() uint64 {
	var sum uint64
	for _, bucket := range t.buckets {
		sum ^= bucket
	}
	return sum
}

// inDifferingBuckets returns the rows of the buckets whose hashes differ from
// those given. It stops at limit rows, but never inside a bucket, and reports
// the buckets covered and whether there are more.
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

// inBucket returns the rows of one bucket.
func (t *table) inBucket(bucket int) []*row {
	var rows []*row
	for host, r := range t.rows {
		if bucketOf(host) == bucket {
			rows = append(rows, r)
		}
	}
	return rows
}

// bucketOf returns the part of the table that holds a host.
func bucketOf(host string) int {
	return int(xxhash.Sum64String(host) % bucketCount)
}
