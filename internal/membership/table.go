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
	id uint64
	// changed is the sequence number of the last change of the entry here.
	changed uint64
	// from is the host that sent the entry.
	from string
	// since is when targetState was learnt.
	since time.Time
	// heard is when this daemon last had word of the host.
	heard time.Time
	// gone is when the daemon was found to have left or to be unreachable.
	gone time.Time
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
	forgotten map[string]tombstone
}

// tombstone is the position of a dropped entry.
type tombstone struct {
	position EntryVersion
	dropped  time.Time
}

func newTable() *table {
	return &table{
		rows:      make(map[string]*row),
		forgotten: make(map[string]tombstone),
	}
}

// merge takes an entry that came from a host and reports whether it is newer
// than what the table held.
func (t *table) merge(e entry, from string, now time.Time) bool {
	if e.host == "" {
		return false
	}
	if stone, ok := t.forgotten[e.host]; ok {
		if !e.position.After(stone.position) {
			return false
		}
		delete(t.forgotten, e.host)
	}
	current, ok := t.rows[e.host]
	if ok && !e.position.After(current.position) {
		return false
	}
	next := &row{entry: e, id: e.key(), from: from, since: now, heard: now}
	if ok {
		t.buckets[bucketOf(e.host)] ^= current.id
		if current.targetState == e.targetState && current.position.Incarnation == e.position.Incarnation {
			next.since = current.since
		}
	}
	t.buckets[bucketOf(e.host)] ^= next.id
	t.rows[e.host] = next
	t.record(next, now)
	return true
}

// record notes the change of a row.
func (t *table) record(r *row, now time.Time) {
	t.sequence++
	r.changed = t.sequence
	t.history = append(t.history, change{sequence: t.sequence, host: r.host, at: now})
	if len(t.history) > 2*len(t.rows)+bucketCount {
		t.compact()
	}
}

// compact drops the steps of the history that later ones overtook.
func (t *table) compact() {
	kept := t.history[:0]
	for _, step := range t.history {
		if t.current(step) {
			kept = append(kept, step)
		}
	}
	t.history = kept
}

func (t *table) current(step change) bool {
	r, ok := t.rows[step.host]
	return ok && r.changed == step.sequence
}

// changed returns the rows that changed after one sequence number and up to
// another and that are wanted, oldest first and at most limit. next is the
// number to continue from.
func (t *table) changed(after, until uint64, limit int, wanted func(*row) bool) (rows []*row, next uint64) {
	start := len(t.history)
	for start > 0 && t.history[start-1].sequence > after {
		start--
	}
	for _, step := range t.history[start:] {
		if len(rows) == limit || step.sequence > until {
			break
		}
		after = step.sequence
		if t.current(step) && wanted(t.rows[step.host]) {
			rows = append(rows, t.rows[step.host])
		}
	}
	return rows, after
}

// settled returns the sequence number of the last change that came before a time.
func (t *table) settled(before time.Time) uint64 {
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
	t.buckets[bucketOf(host)] ^= r.id
	delete(t.rows, host)
	t.forgotten[host] = tombstone{position: r.position, dropped: now}
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
