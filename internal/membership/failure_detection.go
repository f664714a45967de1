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
	// contactTimeout is how long a host counts as in contact after a heartbeat.
	contactTimeout = 5 * time.Second
	// directContactWindow is how long a heartbeat of a host overrides reports of
	// others that it is unreachable.
	directContactWindow = 2500 * time.Millisecond
	// probeAfterFailures is the number of consecutive failed attempts before
	// helpers are asked to probe a host.
	probeAfterFailures = 2
	// probeAfterSilence is how long a host that does not refuse connections is
	// silent before helpers are asked to probe it.
	probeAfterSilence = 3 * time.Second
	// suspicionTimeout is how long a host stays suspect before it is unreachable.
	suspicionTimeout = 3 * time.Second
	// zoneSilenceTimeout is the time without a heartbeat from a zone of its region
	// after which a bridge lists the zone as silent.
	zoneSilenceTimeout = 4 * time.Second
	// regionSilenceTimeout is the time without a heartbeat from another region
	// after which a bridge lists the region as silent.
	regionSilenceTimeout = 8 * time.Second
	// maxHelpers bounds the number of peers asked to probe a host.
	maxHelpers = 3
	// maxConcurrentProbes bounds the probes done concurrently on behalf of peers.
	maxConcurrentProbes = 16
	// probeTimeout bounds the requests to all helpers about one host.
	probeTimeout = 2 * time.Second
)

// failedPeer is a zone neighbour that neither this daemon nor its helpers
// reached.
type failedPeer struct {
	entryKey     uint64
	reachability Reachability
	suspectedAt  time.Time
}

// probeResult counts the answers of helpers. Helpers that did not answer or
// refused are not counted.
type probeResult struct {
	reached    int
	notReached int
}

// evaluateProbes returns the new state of a peer that this daemon does not
// reach, and whether the peer counts as failed. A peer that a helper reached
// has not failed. If no helper answered, the previous state stays, since this
// daemon's own links may be at fault.
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

// handleFailure handles a failed attempt to reach a neighbour.
func (m *Membership) handleFailure(ctx context.Context, n *neighbour, err error) {
	n.failures++
	switch {
	case n.role == bridgeRole:
		m.failOver(n)
	case n.role == unknownRole:
		m.recordFailedDial(n)
	case n.role == zoneRole && m.shouldProbe(n, err):
		m.confirmFailure(ctx, n)
	}
}

// shouldProbe reports whether a neighbour has failed for long enough to ask
// helpers to probe it.
func (m *Membership) shouldProbe(n *neighbour, err error) bool {
	if n.failures < probeAfterFailures {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return errors.Is(err, syscall.ECONNREFUSED) || !m.heardWithin(n.host, probeAfterSilence, time.Now())
}

// failOver makes a bridge select another member of the zone or region.
func (m *Membership) failOver(n *neighbour) {
	m.mu.Lock()
	if r, ok := m.table.rows[n.host]; ok {
		name := r.zone
		if n.scope == peer.BetweenRegions {
			name = regionKey(r.region)
		}
		if monitor, ok := m.zoneMonitors[name]; ok {
			monitor.failedAttempts++
		}
	}
	m.mu.Unlock()
	m.requestSelection()
}

func (m *Membership) requestSelection() {
	select {
	case m.selectionRequests <- struct{}{}:
	default:
	}
}

// confirmFailure asks helpers to probe a zone neighbour and updates its
// reachability.
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
	m.viewChanges.noteChange(n.host)
	m.mu.Unlock()
	m.requestRebuild()
	m.recordReachabilityChange(n.host, before.reachability, after.reachability)
	m.updateSelf(nil)
}

// clearFailure ends the suspicion of a neighbour that answered.
func (m *Membership) clearFailure(n *neighbour) {
	m.mu.Lock()
	failed, known := m.failedPeers[n.host]
	delete(m.failedPeers, n.host)
	if known && m.table.rows[n.host] != nil {
		m.viewChanges.noteChange(n.host)
	}
	m.mu.Unlock()
	if !known {
		return
	}
	m.requestRebuild()
	m.recordReachabilityChange(n.host, failed.reachability, Reachable)
	m.updateSelf(nil)
}

// recordReachabilityChange logs and records a change of a host's reachability.
func (m *Membership) recordReachabilityChange(host string, before, after Reachability) {
	if before == after {
		return
	}
	kinds := map[Reachability]timeline.Kind{
		Reachable:   timeline.Recovered,
		Suspect:     timeline.Suspected,
		Unreachable: timeline.Unreachable,
	}
	m.log.Infof("host %s: %s", host, kinds[after])
	m.options.Events.Record(timeline.Event{Kind: kinds[after], Peer: host})
}

// probeViaHelpers asks helpers to probe a neighbour and sums up their answers.
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

// helpers returns up to maxHelpers peers with which this daemon is in contact,
// the most recently heard first.
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

// probeViaHelper asks one helper to probe a neighbour.
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

// setUnreachable sets the hosts, zones and regions that this daemon lists as
// unreachable or silent in its entry.
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
