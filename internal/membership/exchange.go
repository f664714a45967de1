package membership

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

const (
	// maxEntries bounds the entries of a request and the changed entries of an
	// answer.
	maxEntries = 64
	// maxComparedEntries is the number of entries from which on the answer to a
	// comparison takes in no further bucket.
	maxComparedEntries = 256
	// answerEntryDelay is how long the answering side of a connection holds back
	// a changed entry, since the dialling side may send the same entry itself.
	answerEntryDelay = time.Second
	// refutationInterval is the minimum time between two refutations.
	refutationInterval = 2 * time.Second
	// comparisonThreshold is the number of consecutive heartbeats with different
	// summaries after which the tables are compared.
	comparisonThreshold = 3
	// comparisonInterval is the mean pause between two comparisons with a peer.
	comparisonInterval = 5 * time.Second
	// comparisonRate, per second, and comparisonBurst limit the comparisons answered.
	comparisonRate  = 20
	comparisonBurst = 20
	// referralCount is the number of hosts to which a peer is referred when its
	// comparison is refused.
	referralCount = 8
	// comparisonRetryDelay is the mean time that a peer waits after its comparison
	// was refused.
	comparisonRetryDelay = 2 * time.Second
)

// contact is what this daemon knows of a peer with which it exchanges heartbeats.
type contact struct {
	lastHeard time.Time
	offset    uint64
	digest    []byte
}

// sendProgress is what one side of a connection has sent to the other.
type sendProgress struct {
	// sentSequence is the table's sequence number up to which changes were sent.
	sentSequence uint64
	// receivedVersions are the versions of the entries received from the other
	// side, by host.
	receivedVersions map[string]EntryVersion
	// sentOffset and sentDigest are the applied position last sent.
	sentOffset uint64
	sentDigest string
	// informed is set once this side has sent all that it knows of the other one.
	informed bool
}

// positionToSend returns the applied position to send, zero values if it is
// the one last sent.
func (p *sendProgress) positionToSend(offset uint64, digest []byte) (uint64, []byte) {
	if p.sentOffset == offset && p.sentDigest == string(digest) {
		return 0, nil
	}
	p.sentOffset = offset
	p.sentDigest = string(digest)
	return offset, digest
}

// noteReceived records the versions of entries received from the other side.
func (p *sendProgress) noteReceived(messages []*Entry) {
	if p.receivedVersions == nil {
		p.receivedVersions = make(map[string]EntryVersion)
	}
	for _, message := range messages {
		p.receivedVersions[message.GetHost()] = EntryVersion{
			Incarnation: message.GetIncarnation(),
			Counter:     message.GetCounter(),
		}
	}
}

// mayLack returns a filter for rows that the other side, a host, may not have.
func (p *sendProgress) mayLack(host string) func(*row) bool {
	return func(r *row) bool {
		return r.host != host && r.learnedFrom != host && r.version.After(p.receivedVersions[r.host])
	}
}

// pending returns the rows to send of those that changed up to a sequence
// number, and records them as sent.
func (p *sendProgress) pending(table *table, until uint64, host string) []*row {
	rows, sent := table.changed(p.sentSequence, until, maxEntries, p.mayLack(host))
	p.sentSequence = sent
	if sent == table.sequence {
		clear(p.receivedVersions)
	}
	return rows
}

// informPeer adds the row of a peer to those that are sent to it, once on each
// connection: it holds the history that the peer may have forgotten by a restart. It
// waits until this daemon has compared its table, and reports whether the row was added
// or is known to be missing, and whether this daemon knew an earlier process of the peer. The
// caller holds the mutex.
func (m *Membership) informPeer(progress *sendProgress, rows []*row, remote peer.Identity) (_ []*row, informed, witness bool) {
	if progress.informed || !m.tableCompared {
		return rows, false, false
	}
	progress.informed = true
	if r, ok := m.table.rows[remote.Host]; ok {
		rows = append(rows, r)
		witness = r.replaced || r.version.Incarnation < remote.Incarnation
	}
	return rows, true, witness
}

// recordContact records a heartbeat from a peer. The peer leaves out its
// applied position if it is unchanged.
func (m *Membership) recordContact(remote peer.Identity, offset uint64, digest []byte, now time.Time) {
	c, ok := m.contacts[remote.Host]
	if !ok {
		c = &contact{}
		m.contacts[remote.Host] = c
	}
	if now.Sub(c.lastHeard) >= contactTimeout || m.View().Members.At(remote.Host).Reachability != Reachable {
		m.noteChangeOf(remote.Host)
	}
	c.lastHeard = now
	if offset > 0 || len(digest) > 0 {
		c.offset = offset
		c.digest = digest
		m.raiseOffsetFloor(remote.Host, offset)
		m.noteChangeOf(remote.Host)
	}
}

// raiseOffsetFloor records an offset as applied on a host.
func (m *Membership) raiseOffsetFloor(host string, offset uint64) {
	if offset <= m.offsetFloors[host] {
		return
	}
	m.offsetFloors[host] = offset
	if m.table.rows[host] != nil {
		m.viewChanges.noteChange(host)
	}
}

// reportPosition passes a peer's applied position to OnPeerPosition.
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

// mergeEntries merges entries received from a peer into the table and returns
// how many were new. If the peer holds a newer entry of this host, this
// daemon's entry is republished with a version above it. The history in any entry of this
// host is learnt.
func (m *Membership) mergeEntries(messages []*Entry, from string) int {
	if len(messages) == 0 {
		return 0
	}
	now := time.Now()
	m.mu.Lock()
	merged := 0
	self := m.selfRow().version
	var newerSelf EntryVersion
	selfReported, learnt := false, false
	for _, message := range messages {
		e, goneFor := decodeEntry(message)
		if e.host == m.options.Self.Host {
			learnt = m.lease.learnHistory(e.history, now) || learnt
			if e.version.After(self) && e.version.After(newerSelf) {
				newerSelf = e.version
			}
			continue
		}
		before := m.table.rows[e.host]
		if !m.table.merge(e, from, now) {
			continue
		}
		merged++
		m.viewChanges.noteEntry(before.entryOrNil(), &e, &m.reported)
		m.handleNewEntry(&e, goneFor, now)
		selfReported = selfReported || e.listsUnreachable(m.selfRow().entryKey)
	}
	if merged > 0 {
		m.wakeNeighbours(from)
	}
	m.needsRefutation = m.needsRefutation || selfReported
	m.mu.Unlock()
	if merged > 0 {
		m.requestRebuild()
	}
	m.metrics.entriesMerged.Add(merged)
	if learnt {
		m.log.Infof("learnt news of the history of this host's target from peer %s", from)
		m.publishHistory()
	}
	switch {
	case newerSelf != EntryVersion{}:
		m.log.Warnf("peer %s holds a newer entry of this host; republishing with a higher version", from)
		m.republishSelf(func(e *entry) { e.version = versionAtLeast(e.version, newerSelf) })
	case selfReported:
		m.refute(now)
	}
	return merged
}

// refute republishes this daemon's entry if others report it as unreachable.
// This ends their reports, which refer to the old version. It does so at most
// once in refutationInterval.
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

// versionAtLeast returns a version for the running process that is not below
// another one; writeSelf increments its counter. A later incarnation is
// exceeded, since the clock of the host may have been set back.
func versionAtLeast(own, other EntryVersion) EntryVersion {
	if other.Incarnation > own.Incarnation {
		return EntryVersion{Incarnation: other.Incarnation + 1}
	}
	return EntryVersion{Incarnation: own.Incarnation, Counter: max(own.Counter, other.Counter)}
}

// handleNewEntry updates the local state of a host after a new entry of it was
// merged.
func (m *Membership) handleNewEntry(e *entry, goneFor time.Duration, now time.Time) {
	m.raiseOffsetFloor(e.host, e.appliedOffset)
	if goneFor > 0 {
		m.table.rows[e.host].goneSince = now.Add(-goneFor)
	}
	if _, ok := m.failedPeers[e.host]; ok {
		delete(m.failedPeers, e.host)
		m.wakeNeighboursOf(e.host)
	}
}
