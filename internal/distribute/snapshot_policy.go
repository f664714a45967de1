package distribute

import (
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// Defaults of SnapshotPolicy.
const (
	defaultSnapshotRecords = 500
	defaultSnapshotAge     = 10 * time.Minute
)

// maxSnapshotWriters is how many daemons stand ready to write snapshots.
const maxSnapshotWriters = 3

// SnapshotPolicy says when a snapshot of the fold is written to the log. Both
// limits must lie well below what the log keeps.
type SnapshotPolicy struct {
	// Records is how many records may follow the newest snapshot; 0 means the
	// default.
	Records uint64
	// Age is how old the newest snapshot may be; 0 means the default.
	Age time.Duration
}

func (p SnapshotPolicy) withDefaults() SnapshotPolicy {
	if p.Records == 0 {
		p.Records = defaultSnapshotRecords
	}
	if p.Age == 0 {
		p.Age = defaultSnapshotAge
	}
	return p
}

// due reports whether the daemon of a rank writes a snapshot. Ranks after the
// first wait longer, so that they write only when those before them do not.
func (p SnapshotPolicy) due(rank int, records uint64, age time.Duration) bool {
	wait := 2 + uint64(rank)
	return 2*records >= wait*p.Records || 2*age >= time.Duration(wait)*p.Age
}

// snapshotRank returns the place of a daemon in the order of those that write
// snapshots, and false when it stands too far behind.
func snapshotRank(view *membership.View) (int, bool) {
	var readers []membership.Member
	for _, members := range rankZones(view) {
		readers = append(readers, members[:min(readersPerZone, len(members))]...)
	}
	sortByScore(snapshotHashKey, readers)
	rank := slices.IndexFunc(readers, func(m membership.Member) bool { return m.Host == view.Self.Host })
	return rank, rank >= 0 && rank < maxSnapshotWriters
}

// snapshotHashKey is the key of the rendezvous hash of snapshot writers.
const snapshotHashKey = "snapshot"
