package membership

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

const (
	// maxEntries bounds the changed entries of one message.
	maxEntries = 64
	// maxComparedEntries is the number of entries after which the answer to
	// a comparison stops.
	maxComparedEntries = 256
	// echoDelay is how long the answering side waits for the dialling side to
	// tell an entry itself before it tells it.
	answerEntryDelay = time.Second
	// disputeInterval is the least time between two entries written because
	// others list this daemon.
	refutationInterval = 2 * time.Second
	// restBeats is how many heartbeats in a row find different summaries
	// before the tables are compared.
	comparisonThreshold = 3
	// comparisonInterval is the least time between two comparisons with a peer.
	comparisonInterval = 5 * time.Second
	// comparisonRate and comparisonBurst bound the comparisons answered, per second.
	comparisonRate  = 20
	comparisonBurst = 20
	// referralCount is the number of hosts named to a peer that is refused.
	referralCount = 8
	// comparisonRetry is the mean time that a refused peer is asked to wait.
	comparisonRetryDelay = 2 * time.Second
)

// contact is what this daemon knows of a peer it talks with.
type contact struct {
	lastHeard time.Time
	offset    uint64
	digest    []byte
}

// toldState is how far one side has told the other.
type sendProgress struct {
	// sent is the sequence number up to which entries were sent.
	sentSequence uint64
	// known are positions of entries that the other side told.
	receivedVersions map[string]EntryVersion
	// offset and digest are the position last sent.
	sentOffset uint64
	sentDigest string
}

// position returns what to send of a position, nothing if it was sent before.
func (t *sendProgress) positionToSend(offset uint64, digest []byte) (uint64, []byte) {
	if t.sentOffset == offset && t.sentDigest == string(digest) {
		return 0, nil
	}
	t.sentOffset = offset
	t.sentDigest = string(digest)
	return offset, digest
}

// learn notes the entries that the other side told.
func (t *sendProgress) noteReceived(messages []*Entry) {
	if t.receivedVersions == nil {
		t.receivedVersions = make(map[string]EntryVersion)
	}
	for _, message := range messages {
		t.receivedVersions[message.GetHost()] = EntryVersion{
			Incarnation: message.GetIncarnation(),
			Counter:     message.GetCounter(),
		}
	}
}

// lacks returns a condition for rows that the other side, a host, may not have.
func (t *sendProgress) mayLack(host string) func(*row) bool {
	return func(r *row) bool {
		return r.host != host && r.learnedFrom != host && r.version.After(t.receivedVersions[r.host])
	}
}

// pending returns the rows to tell of those that changed up to a sequence
// number, and notes them as told.
func (t *sendProgress) pending(table *table, until uint64, host string) []*row {
	rows, sent := table.changed(t.sentSequence, until, maxEntries, t.mayLack(host))
	t.sentSequence = sent
	if sent == table.sequence {
		clear(t.receivedVersions)
	}
	return rows
}

// hear notes word of a peer. The position is left out when it is as before.
func (m *Membership) recordContact(remote peer.Identity, offset uint64, digest []byte, now time.Time) {
	c, ok := m.contacts[remote.Host]
	if !ok {
		c = &contact{}
		m.contacts[remote.Host] = c
	}
	if now.Sub(c.lastHeard) >= contactTimeout {
		m.requestRebuild()
	}
	c.lastHeard = now
	if offset > 0 || len(digest) > 0 {
		c.offset = offset
		c.digest = digest
		m.raiseOffsetFloor(remote.Host, offset)
		m.requestRebuild()
	}
}

// raiseFloor notes an offset seen in force on a host.
func (m *Membership) raiseOffsetFloor(host string, offset uint64) {
	if offset > m.offsetFloors[host] {
		m.offsetFloors[host] = offset
	}
}

// reportPosition tells the owner of the process about a peer's position.
func (m *Membership) reportPosition(host string) {
	m.mu.Lock()
	c := m.contacts[host]
	r := m.table.rows[host]
	if c == nil || r == nil {
		m.mu.Unlock()
		return
	}
	control, offset, digest := r.controlAddress, c.offset, c.digest
	m.mu.Unlock()
	if offset > 0 {
		m.options.OnPeerPosition(host, control, offset, digest)
	}
}

// take merges entries that a peer sent and reports how many were new. It
// moves this daemon's own entry past any newer one that a peer holds.
func (m *Membership) mergeEntries(messages []*Entry, from string) int {
	if len(messages) == 0 {
		return 0
	}
	now := time.Now()
	m.mu.Lock()
	merged := 0
	self := m.selfRow().version
	var newerSelf EntryVersion
	reported := false
	for _, message := range messages {
		e, gone := decodeEntry(message)
		if e.host == m.options.Self.Host {
			if e.version.After(self) && e.version.After(newerSelf) {
				newerSelf = e.version
			}
			continue
		}
		if !m.table.merge(e, from, now) {
			continue
		}
		merged++
		m.handleNewEntry(&e, gone, now)
		reported = reported || e.listsUnreachable(m.selfRow().entryKey)
	}
	if merged > 0 {
		m.wakeNeighbours(from)
	}
	m.needsRefutation = m.needsRefutation || reported
	m.mu.Unlock()
	if merged > 0 {
		m.requestRebuild()
	}
	m.metrics.entriesMerged.Add(merged)
	switch {
	case newerSelf != EntryVersion{}:
		m.log.Warnf("peer %s holds a later entry of this host", from)
		m.republishSelf(func(e *entry) { e.version = versionAfter(e.version, newerSelf) })
	case reported:
		m.refute(now)
	}
	return merged
}

// dispute writes the entry of this daemon again when others list it as
// unreachable, which takes it off their lists. It does so once a while.
func (m *Membership) refute(now time.Time) {
	m.mu.Lock()
	due := m.needsRefutation && now.Sub(m.lastRefuted) >= refutationInterval
	if due {
		m.needsRefutation = false
		m.lastRefuted = now
	}
	m.mu.Unlock()
	if due {
		m.metrics.refutations.Inc()
		m.republishSelf(nil)
	}
}

// past returns a position of the running process after another one. A later
// incarnation is taken over, as when the clock of the host stepped back.
func versionAfter(own, other EntryVersion) EntryVersion {
	if other.Incarnation > own.Incarnation {
		return EntryVersion{Incarnation: other.Incarnation + 1}
	}
	return EntryVersion{Incarnation: own.Incarnation, Counter: max(own.Counter, other.Counter)}
}

// noteEntry draws conclusions from a new entry of another host.
func (m *Membership) handleNewEntry(e *entry, gone time.Duration, now time.Time) {
	m.raiseOffsetFloor(e.host, e.appliedOffset)
	if gone > 0 {
		m.table.rows[e.host].goneSince = now.Add(-gone)
	}
	if _, ok := m.failedPeers[e.host]; ok {
		delete(m.failedPeers, e.host)
		m.wakeNeighboursOf(e.host)
	}
}
