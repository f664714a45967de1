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

// maxSnapshotWriters is how many daemons are candidates for writing snapshots.
const maxSnapshotWriters = 3

// SnapshotPolicy defines when a snapshot of the state is written to the log.
// Both limits must be well below the retention of the log.
type SnapshotPolicy struct {
	// Records is how many records may follow the newest snapshot; 0 selects the
	// default.
	Records uint64
	// Age is how old the newest snapshot may be; 0 selects the default.
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

// due reports whether the daemon at a rank writes a snapshot. Each rank after
// the first waits longer, so that it writes only if those before it do not.
func (p SnapshotPolicy) due(rank int, records uint64, age time.Duration) bool {
	factor := 2 + uint64(rank)
	return 2*records >= factor*p.Records || 2*age >= time.Duration(factor)*p.Age
}

// snapshotRank returns the rank of a daemon among the snapshot writers. It
// returns false if the daemon is not a candidate.
func snapshotRank(view *membership.View) (int, bool) {
	var readers []membership.Member
	for _, members := range rankZones(view) {
		readers = append(readers, members[:min(readersPerZone, len(members))]...)
	}
	sortByScore(snapshotHashKey, readers)
	rank := slices.IndexFunc(readers, func(m membership.Member) bool { return m.Host == view.Self.Host })
	return rank, rank >= 0 && rank < maxSnapshotWriters
}

// snapshotHashKey is the key of the rendezvous hash that ranks snapshot
// writers.
const snapshotHashKey = "snapshot"
