package membership

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// firstComparison is how long a starting daemon waits for a nearer peer before
// it compares its empty table with one at some distance.
var firstComparisonDelay = map[peer.Scope]time.Duration{
	peer.WithinZone:     0,
	peer.BetweenZones:   200 * time.Millisecond,
	peer.BetweenRegions: 500 * time.Millisecond,
}

// beat sends one heartbeat and takes its answer. It reports whether more is
// to be sent at once.
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

// finish takes the answer to a heartbeat and reports whether more is to be
// sent at once. told is what the peer knows now.
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
	m.raiseOffsetFloor(m.options.Self.Host, answer.GetFloor())
	m.updateComparison(n, request, answer, merged, now)
	continued := answer.GetMore() && merged > 0
	return continued || m.hasPending(n, remote.Host) || m.comparisonDue(n, peer.ScopeOf(m.options.Identity, remote), now)
}

// hasMore reports whether there are entries to send to a neighbour.
func (m *Membership) hasPending(n *neighbour, host string) bool {
	if len(n.backlog) > 0 {
		return true
	}
	rows, _ := m.table.changed(n.sentSequence, m.table.sequence, 1, n.mayLack(host))
	return len(rows) > 0
}

// request returns the next heartbeat to a neighbour and what the neighbour
// has been told once it answers.
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
	n.lastEntryCount = len(rows)
	request := &HeartbeatRequest{
		First:   first,
		Entries: encodeEntries(rows, now),
		Summary: m.table.summary(),
	}
	request.Offset, request.Digest = progress.positionToSend(offset, digest)
	if m.comparisonDue(n, peer.ScopeOf(m.options.Identity, remote), now) {
		request.Buckets = slices.Clone(m.table.buckets[:])
		m.comparisonPending = true
	}
	m.metrics.entriesSent.Add(len(rows))
	return request, progress
}

// endComparison notes that a comparison was not answered.
func (m *Membership) abandonComparison(request *HeartbeatRequest) {
	if len(request.GetBuckets()) == 0 {
		return
	}
	m.mu.Lock()
	m.comparisonPending = false
	m.mu.Unlock()
}

// takeOwed takes up to limit rows off the list of those owed to a neighbour.
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

// comparisonDue reports whether the tables have differed at rest for long
// enough, or this daemon has not compared its table with any yet.
func (m *Membership) comparisonDue(n *neighbour, scope peer.Scope, now time.Time) bool {
	if now.Before(n.nextComparison) {
		return false
	}
	if m.tableCompared {
		return n.mismatches >= comparisonThreshold
	}
	return !m.comparisonPending && now.Sub(m.startedAt) >= firstComparisonDelay[scope]
}

// settle notes what the answer says of the peer's table.
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

// lacking returns the hosts of the compared buckets of which the peer has no
// entry or an older one.
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
