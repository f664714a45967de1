package membership

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// firstComparison is how long a starting daemon waits for a nearer peer before
// it compares its empty table with one at some distance.
var firstComparison = map[peer.Scope]time.Duration{
	peer.WithinZone:     0,
	peer.BetweenZones:   200 * time.Millisecond,
	peer.BetweenRegions: 500 * time.Millisecond,
}

// beat sends one heartbeat and takes its answer. It reports whether more is
// to be sent at once.
func (m *Membership) beat(ctx context.Context, client DRPCMembershipClient, remote peer.Identity, n *neighbour, first bool) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, told := m.request(n, remote, first)
	answer, err := client.Heartbeat(ctx, request)
	if err != nil {
		m.endComparison(request)
		return false, err
	}
	m.counts.heartbeats.Inc()
	more = m.finish(n, remote, request, answer, told)
	m.told.Notify()
	m.reached(n)
	m.reportPosition(remote.Host)
	return more, nil
}

// finish takes the answer to a heartbeat and reports whether more is to be
// sent at once. told is what the peer knows now.
func (m *Membership) finish(n *neighbour, remote peer.Identity, request *HeartbeatRequest, answer *HeartbeatAnswer, told toldState) bool {
	fresh := m.take(answer.GetEntries(), remote.Host)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n.toldState = told
	n.learn(answer.GetEntries())
	n.connected = true
	n.failures = 0
	m.hear(remote, answer.GetOffset(), answer.GetDigest(), now)
	m.raiseFloor(m.options.Self.Host, answer.GetFloor())
	m.settle(n, request, answer, fresh, now)
	continued := answer.GetMore() && fresh > 0
	return continued || m.hasMore(n, remote.Host) || m.comparisonDue(n, peer.ScopeOf(m.options.Identity, remote), now)
}

// hasMore reports whether there are entries to send to a neighbour.
func (m *Membership) hasMore(n *neighbour, host string) bool {
	if len(n.owed) > 0 {
		return true
	}
	rows, _ := m.table.changed(n.sent, m.table.sequence, 1, n.lacks(host))
	return len(rows) > 0
}

// request returns the next heartbeat to a neighbour and what the neighbour
// has been told once it answers.
func (m *Membership) request(n *neighbour, remote peer.Identity, first bool) (*HeartbeatRequest, toldState) {
	offset, digest := m.options.AppliedPosition()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if first {
		n.toldState = toldState{sent: n.sent}
		n.owed = append(n.owed, m.options.Self.Host)
	}
	told := n.toldState
	rows := told.pending(m.table, m.table.sequence, remote.Host)
	rows = append(rows, m.takeOwed(n, maxEntries-len(rows))...)
	n.paid = len(rows)
	request := &HeartbeatRequest{
		First:   first,
		Entries: encodeEntries(rows, now),
		Summary: m.table.summary(),
	}
	request.Offset, request.Digest = told.position(offset, digest)
	if m.comparisonDue(n, peer.ScopeOf(m.options.Identity, remote), now) {
		request.Buckets = slices.Clone(m.table.buckets[:])
		m.comparing = true
	}
	m.counts.entriesSent.Add(len(rows))
	return request, told
}

// endComparison notes that a comparison was not answered.
func (m *Membership) endComparison(request *HeartbeatRequest) {
	if len(request.GetBuckets()) == 0 {
		return
	}
	m.mu.Lock()
	m.comparing = false
	m.mu.Unlock()
}

// takeOwed takes up to limit rows off the list of those owed to a neighbour.
func (m *Membership) takeOwed(n *neighbour, limit int) []*row {
	var rows []*row
	for len(n.owed) > 0 && len(rows) < limit {
		if r, ok := m.table.rows[n.owed[0]]; ok {
			rows = append(rows, r)
		}
		n.owed = n.owed[1:]
	}
	return rows
}

// comparisonDue reports whether the tables have differed at rest for long
// enough, or this daemon has not compared its table with any yet.
func (m *Membership) comparisonDue(n *neighbour, scope peer.Scope, now time.Time) bool {
	if now.Before(n.compare) {
		return false
	}
	if m.compared {
		return n.unequal >= restBeats
	}
	return !m.comparing && now.Sub(m.started) >= firstComparison[scope]
}

// settle notes what the answer says of the peer's table.
func (m *Membership) settle(n *neighbour, request *HeartbeatRequest, answer *HeartbeatAnswer, fresh int, now time.Time) {
	switch {
	case answer.GetSummary() == m.table.summary():
		n.unequal = 0
	case request.GetFirst():
		n.unequal = restBeats
	default:
		n.unequal++
	}
	if len(request.GetBuckets()) == 0 {
		return
	}
	m.comparing = false
	if wait := answer.GetRetryMs(); wait > 0 {
		n.compare = now.Add(jitter(time.Duration(wait) * time.Millisecond))
		return
	}
	n.owed = append(n.owed, m.lacking(answer)...)
	if answer.GetMore() && fresh > 0 {
		n.unequal = restBeats
		return
	}
	m.compared = true
	n.compare = now.Add(jitter(comparisonInterval))
	n.unequal = 0
}

// lacking returns the hosts of the compared buckets of which the peer has no
// entry or an older one.
func (m *Membership) lacking(answer *HeartbeatAnswer) []string {
	positions := make(map[string]EntryVersion, len(answer.GetEntries()))
	for _, message := range answer.GetEntries() {
		positions[message.GetHost()] = EntryVersion{
			Incarnation: message.GetIncarnation(),
			Counter:     message.GetCounter(),
		}
	}
	var hosts []string
	for _, bucket := range answer.GetWanted() {
		for _, r := range m.table.inBucket(int(bucket)) {
			if r.position.After(positions[r.host]) {
				hosts = append(hosts, r.host)
			}
		}
	}
	return hosts
}
