package membership

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// firstComparisonDelay is how long a starting daemon waits for a nearer peer
// before it compares its empty table with that of a peer in the given scope.
var firstComparisonDelay = map[peer.Scope]time.Duration{
	peer.WithinZone:     0,
	peer.BetweenZones:   200 * time.Millisecond,
	peer.BetweenRegions: 500 * time.Millisecond,
}

// sendHeartbeat sends one heartbeat and handles the answer. It reports whether
// the next heartbeat is to be sent without waiting for its interval.
func (m *Membership) sendHeartbeat(ctx context.Context, client DRPCMembershipClient, remote peer.Identity, n *neighbour, first bool) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, progress := m.newRequest(n, remote, first)
	answer, err := client.Heartbeat(ctx, request)
	if err != nil {
		m.abandonComparison(request)
		return false, err
	}
	m.metrics.heartbeats.Inc()
	more = m.handleAnswer(n, remote, request, answer, progress)
	m.acknowledged.Notify()
	m.clearFailure(n)
	m.reportPosition(remote.Host)
	return more, nil
}

// handleAnswer applies the answer to a heartbeat and reports whether the next
// heartbeat is to be sent without waiting for its interval. progress is the
// send progress that the peer has acknowledged by its answer.
func (m *Membership) handleAnswer(n *neighbour, remote peer.Identity, request *HeartbeatRequest, answer *HeartbeatAnswer, progress sendProgress) bool {
	merged := m.mergeEntries(answer.GetEntries(), remote.Host)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n.sendProgress = progress
	n.noteReceived(answer.GetEntries())
	n.connected = true
	n.failures = 0
	m.recordContact(remote, answer.GetOffset(), answer.GetDigest(), now)
	if answer.GetInformed() {
		m.notePeerAnswer(remote.Host, answer.GetWitness())
	}
	m.raiseOffsetFloor(m.options.Self.Host, answer.GetFloor())
	m.updateComparison(n, request, answer, merged, now)
	continued := answer.GetMore() && merged > 0
	return continued || m.hasPending(n, remote.Host) || m.comparisonDue(n, peer.ScopeOf(m.options.Identity, remote), now)
}

// hasPending reports whether there are entries to send to a neighbour.
func (m *Membership) hasPending(n *neighbour, host string) bool {
	if len(n.backlog) > 0 {
		return true
	}
	rows, _ := m.table.changed(n.sentSequence, m.table.sequence, 1, n.mayLack(host))
	return len(rows) > 0
}

// newRequest returns the next heartbeat to a neighbour and the send progress
// to record once the neighbour answers.
func (m *Membership) newRequest(n *neighbour, remote peer.Identity, first bool) (*HeartbeatRequest, sendProgress) {
	offset, digest := m.options.AppliedPosition()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if first {
		n.sendProgress = sendProgress{sentSequence: n.sentSequence}
		n.backlog = append(n.backlog, m.options.Self.Host)
	}
	progress := n.sendProgress
	rows := progress.pending(m.table, m.table.sequence, remote.Host)
	rows = append(rows, m.takeBacklog(n, maxEntries-len(rows))...)
	rows, informed, witness := m.informPeer(&progress, rows, remote)
	n.lastEntryCount = len(rows)
	request := &HeartbeatRequest{
		First:   first,
		Entries: encodeEntries(rows, now),
		Summary: m.table.summary(),

		Informed: informed,
		Witness:  witness,
	}
	request.Offset, request.Digest = progress.positionToSend(offset, digest)
	if m.comparisonDue(n, peer.ScopeOf(m.options.Identity, remote), now) {
		request.Buckets = slices.Clone(m.table.buckets[:])
		m.comparisonPending = true
	}
	m.metrics.entriesSent.Add(len(rows))
	return request, progress
}

// abandonComparison clears the pending comparison of an unanswered request.
func (m *Membership) abandonComparison(request *HeartbeatRequest) {
	if len(request.GetBuckets()) == 0 {
		return
	}
	m.mu.Lock()
	m.comparisonPending = false
	m.mu.Unlock()
}

// takeBacklog removes hosts from a neighbour's backlog and returns up to limit
// of their rows.
func (m *Membership) takeBacklog(n *neighbour, limit int) []*row {
	var rows []*row
	for len(n.backlog) > 0 && len(rows) < limit {
		if r, ok := m.table.rows[n.backlog[0]]; ok {
			rows = append(rows, r)
		}
		n.backlog = n.backlog[1:]
	}
	return rows
}

// comparisonDue reports whether to compare tables with a neighbour: summaries
// differed in comparisonThreshold heartbeats in a row, or this daemon has not
// compared its table with any peer yet.
func (m *Membership) comparisonDue(n *neighbour, scope peer.Scope, now time.Time) bool {
	if now.Before(n.nextComparison) {
		return false
	}
	if m.tableCompared {
		return n.mismatches >= comparisonThreshold
	}
	return !m.comparisonPending && now.Sub(m.startedAt) >= firstComparisonDelay[scope]
}

// updateComparison updates the state of table comparison from an answer.
func (m *Membership) updateComparison(n *neighbour, request *HeartbeatRequest, answer *HeartbeatAnswer, merged int, now time.Time) {
	switch {
	case answer.GetSummary() == m.table.summary():
		n.mismatches = 0
	case request.GetFirst():
		n.mismatches = comparisonThreshold
	default:
		n.mismatches++
	}
	if len(request.GetBuckets()) == 0 {
		return
	}
	m.comparisonPending = false
	if retryMs := answer.GetRetryMs(); retryMs > 0 {
		n.nextComparison = now.Add(jitter(time.Duration(retryMs) * time.Millisecond))
		return
	}
	n.backlog = append(n.backlog, m.missingAtPeer(answer)...)
	if answer.GetMore() && merged > 0 {
		n.mismatches = comparisonThreshold
		return
	}
	m.tableCompared = true
	n.nextComparison = now.Add(jitter(comparisonInterval))
	n.mismatches = 0
}

// missingAtPeer returns the hosts of the compared buckets for which the peer
// has no entry or an older one.
func (m *Membership) missingAtPeer(answer *HeartbeatAnswer) []string {
	versions := make(map[string]EntryVersion, len(answer.GetEntries()))
	for _, message := range answer.GetEntries() {
		versions[message.GetHost()] = EntryVersion{
			Incarnation: message.GetIncarnation(),
			Counter:     message.GetCounter(),
		}
	}
	var hosts []string
	for _, bucket := range answer.GetWanted() {
		for _, r := range m.table.inBucket(int(bucket)) {
			if r.version.After(versions[r.host]) {
				hosts = append(hosts, r.host)
			}
		}
	}
	return hosts
}
