package distribute

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// ack is what a follower tells its parent. The first one opens the stream.
type ack struct {
	Offset uint64
	// Digest is empty when Offset has not changed.
	Digest []byte
	// Zones is empty when nothing changed in the follower's subtree.
	Zones []ZoneSummary
	// CommonOffset stands in for Zones when the daemons are the same as before
	// and all are at this offset.
	CommonOffset uint64
	// Retired holds the summaries, without daemons, of those in the subtree
	// that once had no parent in their region.
	Retired []RegionSummary
}

// update is what a parent tells a follower.
type update struct {
	Records  []platform.Record
	Snapshot *snapshot
	Offset   uint64
	// Digest is empty when Offset has not changed.
	Digest []byte
	// UpToDateAt is when the sender's state was last the newest of the log, by the
	// receiver's clock; zero when it never was.
	UpToDateAt time.Time
	// Path leads from the sender to the reader of the log; nil when it has not
	// changed.
	Path []string
	// Stopped says that the sender cannot fold what comes next.
	Stopped bool
	// Regions holds summaries that changed.
	Regions []RegionSummary
}

// snapshot is the state of a fold, compressed.
type snapshot struct {
	Offset uint64
	Digest []byte
	State  []byte
}

// catchUpResponse is the answer to a daemon that asks once.
type catchUpResponse struct {
	Records  []platform.Record
	Snapshot *snapshot
	Offset   uint64
	Digest   []byte
	// RetryAfter is set when the peer sheds the request.
	RetryAfter time.Duration
	// Alternatives names control addresses to ask instead.
	Alternatives []string
	// UpToDateAt, Path and Stopped are as in update.
	UpToDateAt time.Time
	Path       []string
	Stopped    bool
}

// link is one end of a stream between two daemons.
type link[Out, In any] interface {
	Send(message Out) error
	Recv() (In, error)
	// Close cuts the connection without waiting for the peer.
	Close()
}

// upstreamLink is the follower's end, downstreamLink the parent's.
type (
	upstreamLink   = link[ack, update]
	downstreamLink = link[update, ack]
	// summaryLink is either end of an exchange of summaries.
	summaryLink = link[RegionSummary, RegionSummary]
)
