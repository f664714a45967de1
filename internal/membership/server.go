package membership

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// errNoIdentity is returned for a request whose connection has no peer identity.
var errNoIdentity = errors.New("no peer identity: connection sent no hello")

// server answers the requests of other daemons.
type server struct {
	membership *Membership
}

// Heartbeat merges the entries of a peer and answers with those that the peer
// may lack.
func (s *server) Heartbeat(ctx context.Context, request *HeartbeatRequest) (*HeartbeatAnswer, error) {
	remote, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errNoIdentity
	}
	m := s.membership
	m.mergeEntries(request.GetEntries(), remote.Host)
	answer := m.newAnswer(remote, m.inboundConnFor(ctx), request)
	m.reportPosition(remote.Host)
	return answer, nil
}

// newAnswer returns the answer to a heartbeat whose entries have been merged.
func (m *Membership) newAnswer(remote peer.Identity, conn *inboundConn, request *HeartbeatRequest) *HeartbeatAnswer {
	offset, digest := m.options.AppliedPosition()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordContact(remote, request.GetOffset(), request.GetDigest(), now)
	conn.lastHeard = now
	answer := &HeartbeatAnswer{}
	if request.GetFirst() {
		conn.progress = sendProgress{sentSequence: m.table.sequence}
		answer.Floor = m.offsetFloors[remote.Host]
	}
	conn.progress.noteReceived(request.GetEntries())
	rows := conn.progress.pending(m.table, m.table.sequenceBefore(now.Add(-answerEntryDelay)), remote.Host)
	if request.GetFirst() {
		rows = append(rows, m.selfRow())
	}
	if r, ok := m.table.rows[remote.Host]; ok && containsOlder(request.GetEntries(), r) {
		rows = append(rows, r)
	}
	rows, answer.Informed, answer.Witness = m.informPeer(&conn.progress, rows, remote)
	if len(request.GetBuckets()) > 0 {
		rows = append(rows, m.answerComparison(remote.Zone, request.GetBuckets(), answer)...)
	}
	answer.Entries = encodeEntries(rows, now)
	answer.Offset, answer.Digest = conn.progress.positionToSend(offset, digest)
	answer.Summary = m.table.summary()
	if request.GetInformed() {
		m.notePeerAnswer(remote.Host, request.GetWitness())
	}
	m.metrics.entriesSent.Add(len(rows))
	return answer
}

// containsOlder reports whether messages hold an older entry of the row's host.
func containsOlder(messages []*Entry, r *row) bool {
	for _, message := range messages {
		version := EntryVersion{Incarnation: message.GetIncarnation(), Counter: message.GetCounter()}
		if message.GetHost() == r.host && r.version.After(version) {
			return true
		}
	}
	return false
}

// answerComparison returns the rows of the buckets that differ and lists the
// buckets in the answer. Above the rate limit it refuses and refers the peer
// to other members of its zone.
func (m *Membership) answerComparison(zone string, buckets []uint64, answer *HeartbeatAnswer) []*row {
	if !m.comparisonLimiter.Allow() {
		m.metrics.comparisonsRefused.Inc()
		answer.RetryMs = uint32(comparisonRetryDelay / time.Millisecond)
		return m.referral(zone)
	}
	m.metrics.comparisons.Inc()
	rows, covered, more := m.table.inDifferingBuckets(buckets, maxComparedEntries)
	answer.Wanted = covered
	answer.More = more
	return rows
}

// referral returns up to referralCount members of a zone with which a peer can
// compare instead.
func (m *Membership) referral(zone string) []*row {
	var rows []*row
	for host, r := range m.table.rows {
		if len(rows) == referralCount {
			break
		}
		if r.zone == zone && r.state == Alive && !m.reported.hosts[host] {
			rows = append(rows, r)
		}
	}
	return rows
}

// Probe dials another daemon on behalf of a peer that does not reach it.
func (s *server) Probe(ctx context.Context, request *ProbeRequest) (*ProbeAnswer, error) {
	m := s.membership
	select {
	case m.probeSlots <- struct{}{}:
		defer func() { <-m.probeSlots }()
	default:
		return &ProbeAnswer{Refused: true}, nil
	}
	reached := m.dialHost(ctx, request.GetHost(), request.GetControlAddress()) == nil
	return &ProbeAnswer{Reached: reached}, nil
}
