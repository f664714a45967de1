package distribute

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// ack is a message from a follower to its parent. The first one opens the
// stream.
type ack struct {
	Offset uint64
	// Digest is empty if Offset has not changed.
	Digest []byte
	// Zones is empty if nothing changed in the follower's subtree.
	Zones []ZoneSummary
	// CommonOffset replaces Zones if the daemons are the same as before and all
	// are at this offset.
	CommonOffset uint64
	// Retired holds the summaries, without daemons, of those in the subtree that
	// previously had no parent in their region.
	Retired []RegionSummary
}

// update is a message from a parent to a follower.
type update struct {
	Records  []platform.Record
	Snapshot *snapshot
	// Offset is the applied offset of the sender or, while its first table is
	// deferred, the offset at which that is activated.
	Offset uint64
	// Digest is empty if Offset has not changed or has not been reached.
	Digest []byte
	// UpToDateAt is when the sender's state was last the newest of the log, by
	// the receiver's clock; zero if it never was.
	UpToDateAt time.Time
	// Path lists the hosts from the sender to the log reader; nil if it has not
	// changed.
	Path []string
	// Stopped is set if the sender cannot apply the next record.
	Stopped bool
	// Regions holds the summaries that changed.
	Regions []RegionSummary
}

// snapshot is a compressed state.
type snapshot struct {
	Offset uint64
	Digest []byte
	State  []byte
}

// catchUpResponse is the response to a catch-up request.
type catchUpResponse struct {
	Records  []platform.Record
	Snapshot *snapshot
	Offset   uint64
	Digest   []byte
	// RetryAfter is set if the peer sheds the request.
	RetryAfter time.Duration
	// Alternatives lists control addresses to ask instead.
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
	// OnReceive calls a function for each part of a message that arrives.
	OnReceive(func())
	// Close closes the connection without waiting for the peer.
	Close()
}

// upstreamLink is the follower's end, downstreamLink the parent's.
type (
	upstreamLink   = link[ack, update]
	downstreamLink = link[update, ack]
	// summaryLink is either end of an exchange of summaries.
	summaryLink = link[RegionSummary, RegionSummary]
)
