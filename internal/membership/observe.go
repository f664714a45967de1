package membership

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

const (
	// contactTime is how long word of a host counts as contact.
	contactTime = 5 * time.Second
	// directTime is how long word of a host overrides what others list.
	directTime = 2500 * time.Millisecond
	// suspicionFailures is how many attempts in a row fail before helpers are asked.
	suspicionFailures = 2
	// suspicionSilence is for how long a host that does not refuse
	// connections is silent before helpers are asked.
	suspicionSilence = 3 * time.Second
	// suspicionTime is how long a host stays suspect before it is unreachable.
	suspicionTime = 3 * time.Second
	// silenceTime is how long a bridge waits for word of a zone of its region.
	silenceTime = 4 * time.Second
	// farSilenceTime is how long a bridge waits for word of another region.
	farSilenceTime = 8 * time.Second
	// helperCount is the number of peers asked to probe.
	helperCount = 3
	// maxProbes bounds the probes done for peers at one time.
	maxProbes = 16
	// probeTimeout bounds a request to a helper.
	probeTimeout = 2 * time.Second
)

// lostPeer is a zone neighbour that was not reached.
type lostPeer struct {
	id    uint64
	reach Reachability
	since time.Time
}

// probeResult counts what helpers answered.
type probeResult struct {
	reached    int
	notReached int
}

// judge returns what to think of a peer that this daemon does not reach. It
// reports false when the peer is not lost: another daemon reached it, or
// nobody answered, in which case this daemon's own links may be at fault.
func judge(lost lostPeer, known bool, id uint64, result probeResult, now time.Time) (lostPeer, bool) {
	if result.reached > 0 {
		return lostPeer{}, false
	}
	if result.notReached == 0 {
		return lost, known
	}
	if !known || lost.id != id {
		return lostPeer{id: id, reach: Suspect, since: now}, true
	}
	if lost.reach == Suspect && now.Sub(lost.since) >= suspicionTime {
		lost.reach = Unreachable
	}
	return lost, true
}

// failed notes that a neighbour was not reached.
func (m *Membership) failed(ctx context.Context, n *neighbour, err error) {
	n.failures++
	switch {
	case n.role == bridgeRole:
		m.tryOther(n)
	case n.role == zoneRole && m.doubtful(n, err):
		m.examine(ctx, n)
	}
}

// doubtful reports whether a neighbour has failed for long enough to ask
// helpers about it.
func (m *Membership) doubtful(n *neighbour, err error) bool {
	if n.failures < suspicionFailures {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return errors.Is(err, syscall.ECONNREFUSED) || !m.heardWithin(n.host, suspicionSilence, time.Now())
}

// tryOther makes a bridge choose another member of the zone or region.
func (m *Membership) tryOther(n *neighbour) {
	m.mu.Lock()
	if r, ok := m.table.rows[n.host]; ok {
		name := r.zone
		if n.scope == peer.BetweenRegions {
			name = regionMark(r.region)
		}
		if w, ok := m.watches[name]; ok {
			w.attempt++
		}
	}
	m.mu.Unlock()
	m.askReconsider()
}

// askReconsider makes keepNeighbours choose again soon.
func (m *Membership) askReconsider() {
	select {
	case m.reconsider <- struct{}{}:
	default:
	}
}

// examine asks helpers about a zone neighbour and draws the conclusion.
func (m *Membership) examine(ctx context.Context, n *neighbour) {
	m.mu.Lock()
	before, known := m.lost[n.host]
	m.mu.Unlock()
	if known && before.reach == Unreachable {
		return
	}
	result := m.askHelpers(ctx, n)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	r, ok := m.table.rows[n.host]
	if !ok {
		m.mu.Unlock()
		return
	}
	before, known = m.lost[n.host]
	after, lost := judge(before, known, r.id, result, time.Now())
	if lost {
		m.lost[n.host] = after
	} else {
		delete(m.lost, n.host)
	}
	m.mu.Unlock()
	m.askRebuild()
	m.recordReach(n.host, before.reach, after.reach)
	m.rewrite(nil)
}

// reached notes that a neighbour answered.
func (m *Membership) reached(n *neighbour) {
	m.mu.Lock()
	lost, known := m.lost[n.host]
	delete(m.lost, n.host)
	m.mu.Unlock()
	if !known {
		return
	}
	m.askRebuild()
	m.recordReach(n.host, lost.reach, Reachable)
	m.rewrite(nil)
}

// recordReach writes an event when the reach of a host changed.
func (m *Membership) recordReach(host string, before, after Reachability) {
	if before == after {
		return
	}
	kinds := map[Reachability]timeline.Kind{
		Reachable:   timeline.Recovered,
		Suspect:     timeline.Suspected,
		Unreachable: timeline.Unreachable,
	}
	m.log.Infof("host %s is %s", host, kinds[after])
	m.options.Events.Record(timeline.Event{Kind: kinds[after], Peer: host})
}

// askHelpers asks other peers whether they reach a neighbour.
func (m *Membership) askHelpers(ctx context.Context, n *neighbour) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := pool.NewWithResults[probeResult]()
	for _, helper := range m.helpers(n.host) {
		answers.Go(func() probeResult { return m.askHelper(ctx, helper, n) })
	}
	var sum probeResult
	for _, answer := range answers.Wait() {
		sum.reached += answer.reached
		sum.notReached += answer.notReached
	}
	return sum
}

// helpers returns peers that this daemon is in contact with, those heard last
// first.
func (m *Membership) helpers(except string) []Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []Member
	for host := range m.contacts {
		r, ok := m.table.rows[host]
		if ok && host != except && r.state != Left && m.inContact(host, now) {
			member := r.member()
			member.LastHeard = m.contacts[host].heard
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return b.LastHeard.Compare(a.LastHeard) })
	return members[:min(helperCount, len(members))]
}

// askHelper asks one peer to probe a neighbour.
func (m *Membership) askHelper(ctx context.Context, helper Member, n *neighbour) probeResult {
	m.counts.probes.Inc()
	conn, err := m.dial(ctx, helper.Host, helper.ControlAddress)
	if err != nil {
		return probeResult{}
	}
	defer conn.Close()
	request := &ProbeRequest{Host: n.host, ControlAddress: n.address}
	answer, err := NewDRPCMembershipClient(conn).Probe(ctx, request)
	switch {
	case err != nil || answer.GetRefused():
		return probeResult{}
	case answer.GetReached():
		return probeResult{reached: 1}
	default:
		return probeResult{notReached: 1}
	}
}

// dialHost checks that a host answers at an address.
func (m *Membership) dialHost(ctx context.Context, host, address string) error {
	conn, err := m.dial(ctx, host, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// describeLost sets what this daemon lists of others.
func (m *Membership) describeLost(e *entry) {
	e.unreachable, e.silentZones = nil, nil
	for _, lost := range m.lost {
		if lost.reach == Unreachable {
			e.unreachable = append(e.unreachable, lost.id)
		}
	}
	for name, watch := range m.watches {
		if watch.silent {
			e.silentZones = append(e.silentZones, name)
		}
	}
	slices.Sort(e.unreachable)
	slices.Sort(e.silentZones)
}
