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
	contactTimeout = 5 * time.Second
	// directTime is how long word of a host overrides what others list.
	directContactWindow = 2500 * time.Millisecond
	// suspicionFailures is how many attempts in a row fail before helpers are asked.
	probeAfterFailures = 2
	// suspicionSilence is for how long a host that does not refuse
	// connections is silent before helpers are asked.
	probeAfterSilence = 3 * time.Second
	// suspicionTime is how long a host stays suspect before it is unreachable.
	suspicionTimeout = 3 * time.Second
	// silenceTime is how long a bridge waits for word of a zone of its region.
	zoneSilenceTimeout = 4 * time.Second
	// farSilenceTime is how long a bridge waits for word of another region.
	regionSilenceTimeout = 8 * time.Second
	// helperCount is the number of peers asked to probe.
	maxHelpers = 3
	// maxProbes bounds the probes done for peers at one time.
	maxConcurrentProbes = 16
	// probeTimeout bounds a request to a helper.
	probeTimeout = 2 * time.Second
)

// lostPeer is a zone neighbour that was not reached.
type failedPeer struct {
	entryKey     uint64
	reachability Reachability
	suspectedAt  time.Time
}

// probeResult counts what helpers answered.
type probeResult struct {
	reached    int
	notReached int
}

// judge returns what to think of a peer that this daemon does not reach. It
// reports false when the peer is not lost: another daemon reached it, or
// nobody answered, in which case this daemon's own links may be at fault.
func evaluateProbes(failed failedPeer, known bool, entryKey uint64, result probeResult, now time.Time) (failedPeer, bool) {
	if result.reached > 0 {
		return failedPeer{}, false
	}
	if result.notReached == 0 {
		return failed, known
	}
	if !known || failed.entryKey != entryKey {
		return failedPeer{entryKey: entryKey, reachability: Suspect, suspectedAt: now}, true
	}
	if failed.reachability == Suspect && now.Sub(failed.suspectedAt) >= suspicionTimeout {
		failed.reachability = Unreachable
	}
	return failed, true
}

// failed notes that a neighbour was not reached.
func (m *Membership) handleFailure(ctx context.Context, n *neighbour, err error) {
	n.failures++
	switch {
	case n.role == bridgeRole:
		m.failOver(n)
	case n.role == zoneRole && m.shouldProbe(n, err):
		m.confirmFailure(ctx, n)
	}
}

// doubtful reports whether a neighbour has failed for long enough to ask
// helpers about it.
func (m *Membership) shouldProbe(n *neighbour, err error) bool {
	if n.failures < probeAfterFailures {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return errors.Is(err, syscall.ECONNREFUSED) || !m.heardWithin(n.host, probeAfterSilence, time.Now())
}

// tryOther makes a bridge choose another member of the zone or region.
func (m *Membership) failOver(n *neighbour) {
	m.mu.Lock()
	if r, ok := m.table.rows[n.host]; ok {
		name := r.zone
		if n.scope == peer.BetweenRegions {
			name = regionKey(r.region)
		}
		if monitor, ok := m.zoneMonitors[name]; ok {
			monitor.attempt++
		}
	}
	m.mu.Unlock()
	m.requestSelection()
}

// askReconsider makes keepNeighbours choose again soon.
func (m *Membership) requestSelection() {
	select {
	case m.selectionRequests <- struct{}{}:
	default:
	}
}

// examine asks helpers about a zone neighbour and draws the conclusion.
func (m *Membership) confirmFailure(ctx context.Context, n *neighbour) {
	m.mu.Lock()
	before, known := m.failedPeers[n.host]
	m.mu.Unlock()
	if known && before.reachability == Unreachable {
		return
	}
	result := m.probeViaHelpers(ctx, n)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	r, ok := m.table.rows[n.host]
	if !ok {
		m.mu.Unlock()
		return
	}
	before, known = m.failedPeers[n.host]
	after, failed := evaluateProbes(before, known, r.entryKey, result, time.Now())
	if failed {
		m.failedPeers[n.host] = after
	} else {
		delete(m.failedPeers, n.host)
	}
	m.mu.Unlock()
	m.requestRebuild()
	m.recordReachabilityChange(n.host, before.reachability, after.reachability)
	m.updateSelf(nil)
}

// reached notes that a neighbour answered.
func (m *Membership) clearFailure(n *neighbour) {
	m.mu.Lock()
	failed, known := m.failedPeers[n.host]
	delete(m.failedPeers, n.host)
	m.mu.Unlock()
	if !known {
		return
	}
	m.requestRebuild()
	m.recordReachabilityChange(n.host, failed.reachability, Reachable)
	m.updateSelf(nil)
}

// recordReach writes an event when the reach of a host changed.
func (m *Membership) recordReachabilityChange(host string, before, after Reachability) {
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
func (m *Membership) probeViaHelpers(ctx context.Context, n *neighbour) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := pool.NewWithResults[probeResult]()
	for _, helper := range m.helpers(n.host) {
		answers.Go(func() probeResult { return m.probeViaHelper(ctx, helper, n) })
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
		if ok && host != except && r.state != Left && m.inRecentContact(host, now) {
			member := r.member()
			member.LastHeard = m.contacts[host].lastHeard
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return b.LastHeard.Compare(a.LastHeard) })
	return members[:min(maxHelpers, len(members))]
}

// askHelper asks one peer to probe a neighbour.
func (m *Membership) probeViaHelper(ctx context.Context, helper Member, n *neighbour) probeResult {
	m.metrics.probes.Inc()
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
func (m *Membership) setUnreachable(e *entry) {
	e.unreachableKeys, e.silentZones = nil, nil
	for _, failed := range m.failedPeers {
		if failed.reachability == Unreachable {
			e.unreachableKeys = append(e.unreachableKeys, failed.entryKey)
		}
	}
	for name, monitor := range m.zoneMonitors {
		if monitor.silent {
			e.silentZones = append(e.silentZones, name)
		}
	}
	slices.Sort(e.unreachableKeys)
	slices.Sort(e.silentZones)
}
