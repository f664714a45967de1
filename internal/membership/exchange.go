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
	echoDelay = time.Second
	// disputeInterval is the least time between two entries written because
	// others list this daemon.
	disputeInterval = 2 * time.Second
	// restBeats is how many heartbeats in a row find different summaries
	// before the tables are compared.
	restBeats = 3
	// comparisonInterval is the least time between two comparisons with a peer.
	comparisonInterval = 5 * time.Second
	// comparisonRate and comparisonBurst bound the comparisons answered, per second.
	comparisonRate  = 20
	comparisonBurst = 20
	// referralCount is the number of hosts named to a peer that is refused.
	referralCount = 8
	// comparisonRetry is the mean time that a refused peer is asked to wait.
	comparisonRetry = 2 * time.Second
)

// contact is what this daemon knows of a peer it talks with.
type contact struct {
	heard  time.Time
	offset uint64
	digest []byte
}

// toldState is how far one side has told the other.
type toldState struct {
	// sent is the sequence number up to which entries were sent.
	sent uint64
	// known are positions of entries that the other side told.
	known map[string]EntryVersion
	// offset and digest are the position last sent.
	offset uint64
	digest string
}

// position returns what to send of a position, nothing if it was sent before.
func (t *toldState) position(offset uint64, digest []byte) (uint64, []byte) {
	if t.offset == offset && t.digest == string(digest) {
		return 0, nil
	}
	t.offset = offset
	t.digest = string(digest)
	return offset, digest
}

// learn notes the entries that the other side told.
func (t *toldState) learn(messages []*Entry) {
	if t.known == nil {
		t.known = make(map[string]EntryVersion)
	}
	for _, message := range messages {
		t.known[message.GetHost()] = EntryVersion{
			Incarnation: message.GetIncarnation(),
			Counter:     message.GetCounter(),
		}
	}
}

// lacks returns a condition for rows that the other side, a host, may not have.
func (t *toldState) lacks(host string) func(*row) bool {
	return func(r *row) bool {
		return r.host != host && r.from != host && r.position.After(t.known[r.host])
	}
}

// pending returns the rows to tell of those that changed up to a sequence
// number, and notes them as told.
func (t *toldState) pending(table *table, until uint64, host string) []*row {
	rows, sent := table.changed(t.sent, until, maxEntries, t.lacks(host))
	t.sent = sent
	if sent == table.sequence {
		clear(t.known)
	}
	return rows
}

// hear notes word of a peer. The position is left out when it is as before.
func (m *Membership) hear(remote peer.Identity, offset uint64, digest []byte, now time.Time) {
	c, ok := m.contacts[remote.Host]
	if !ok {
		c = &contact{}
		m.contacts[remote.Host] = c
	}
	if now.Sub(c.heard) >= contactTime {
		m.askRebuild()
	}
	c.heard = now
	if offset > 0 || len(digest) > 0 {
		c.offset = offset
		c.digest = digest
		m.raiseFloor(remote.Host, offset)
		m.askRebuild()
	}
}

// raiseFloor notes an offset seen in force on a host.
func (m *Membership) raiseFloor(host string, offset uint64) {
	if offset > m.floors[host] {
		m.floors[host] = offset
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
func (m *Membership) take(messages []*Entry, from string) int {
	if len(messages) == 0 {
		return 0
	}
	now := time.Now()
	m.mu.Lock()
	fresh := 0
	self := m.self().position
	var overtaken EntryVersion
	listed := false
	for _, message := range messages {
		e, gone := decodeEntry(message)
		if e.host == m.options.Self.Host {
			if e.position.After(self) && e.position.After(overtaken) {
				overtaken = e.position
			}
			continue
		}
		if !m.table.merge(e, from, now) {
			continue
		}
		fresh++
		m.noteEntry(&e, gone, now)
		listed = listed || e.lists(m.self().id)
	}
	if fresh > 0 {
		m.wakeNeighbours(from)
	}
	m.disputed = m.disputed || listed
	m.mu.Unlock()
	if fresh > 0 {
		m.askRebuild()
	}
	m.counts.entriesTaken.Add(fresh)
	switch {
	case overtaken != EntryVersion{}:
		m.log.Warnf("peer %s holds a later entry of this host", from)
		m.renew(func(e *entry) { e.position = past(e.position, overtaken) })
	case listed:
		m.dispute(now)
	}
	return fresh
}

// dispute writes the entry of this daemon again when others list it as
// unreachable, which takes it off their lists. It does so once a while.
func (m *Membership) dispute(now time.Time) {
	m.mu.Lock()
	due := m.disputed && now.Sub(m.renewed) >= disputeInterval
	if due {
		m.disputed = false
		m.renewed = now
	}
	m.mu.Unlock()
	if due {
		m.counts.disputes.Inc()
		m.renew(nil)
	}
}

// past returns a position of the running process after another one. A later
// incarnation is taken over, as when the clock of the host stepped back.
func past(own, other EntryVersion) EntryVersion {
	if other.Incarnation > own.Incarnation {
		return EntryVersion{Incarnation: other.Incarnation + 1}
	}
	return EntryVersion{Incarnation: own.Incarnation, Counter: max(own.Counter, other.Counter)}
}

// noteEntry draws conclusions from a new entry of another host.
func (m *Membership) noteEntry(e *entry, gone time.Duration, now time.Time) {
	m.raiseFloor(e.host, e.inForce)
	if gone > 0 {
		m.table.rows[e.host].gone = now.Add(-gone)
	}
	if _, ok := m.lost[e.host]; ok {
		delete(m.lost, e.host)
		m.wakeHost(e.host)
	}
}
