package membership

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// beat sends one heartbeat and takes its answer. It reports whether more is
// to be sent at once.
func (m *Membership) beat(ctx context.Context, client DRPCMembershipClient, remote peer.Identity, n *neighbour, first bool) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, sent := m.request(n, remote.Host, first)
	answer, err := client.Heartbeat(ctx, request)
	if err != nil {
		return false, err
	}
	m.counts.heartbeats.Inc()
	fresh := m.take(answer.GetEntries(), remote.Host)
	now := time.Now()
	m.mu.Lock()
	n.sent = sent
	n.connected = true
	n.failures = 0
	m.hear(remote, answer.GetOffset(), answer.GetDigest(), now)
	m.raiseFloor(m.options.Self.Host, answer.GetFloor())
	m.settle(n, request, answer, fresh, now)
	more = m.hasMore(n, remote.Host) || answer.GetMore() && fresh > 0
	m.mu.Unlock()
	m.told.notify()
	m.reached(n)
	m.reportPosition(remote.Host)
	return more, nil
}

// hasMore reports whether there are entries to send to a neighbour.
func (m *Membership) hasMore(n *neighbour, host string) bool {
	if len(n.owed) > 0 {
		return true
	}
	rows, _ := m.table.changedAfter(n.sent, host, 1)
	return len(rows) > 0
}

// request returns the next heartbeat to a neighbour and the sequence number
// up to which it carries entries.
func (m *Membership) request(n *neighbour, host string, first bool) (*HeartbeatRequest, uint64) {
	offset, digest := m.options.Position()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if first {
		n.toldState = toldState{}
		n.owed = append(n.owed, m.options.Self.Host)
	}
	rows, sent := m.table.changedAfter(n.sent, host, maxEntries)
	rows = append(rows, m.takeOwed(n, maxEntries-len(rows))...)
	request := &HeartbeatRequest{
		First:   first,
		Entries: encodeEntries(rows, now),
		Summary: m.table.summary(),
	}
	request.Offset, request.Digest = n.position(offset, digest)
	if m.comparisonDue(n, now) {
		request.Buckets = slices.Clone(m.table.buckets[:])
	}
	m.counts.entriesSent.Add(len(rows))
	return request, sent
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
func (m *Membership) comparisonDue(n *neighbour, now time.Time) bool {
	if now.Before(n.compare) {
		return false
	}
	return n.unequal >= restBeats || !m.compared
}

// settle notes what the answer says of the peer's table.
func (m *Membership) settle(n *neighbour, request *HeartbeatRequest, answer *HeartbeatAnswer, fresh int, now time.Time) {
	if answer.GetSummary() == m.table.summary() {
		n.unequal = 0
	} else {
		n.unequal++
	}
	if len(request.GetBuckets()) == 0 {
		return
	}
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
	positions := make(map[string]Position, len(answer.GetEntries()))
	for _, message := range answer.GetEntries() {
		positions[message.GetHost()] = Position{
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
