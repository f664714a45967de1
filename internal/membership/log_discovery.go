package membership

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/idle"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// logRetryInterval is the mean time before a failed call to the log is retried.
	logRetryInterval = 500 * time.Millisecond
	// discoveryInterval is the mean time between reads of the log while no peer
	// answers.
	discoveryInterval = 2 * time.Second
	// bridgeDiscoveryInterval is the time after which a bridge reads the log
	// again, so that parts of the mesh that never had contact merge.
	bridgeDiscoveryInterval = 30 * time.Second
	// logCallTimeout bounds one write to the log and the silence of one read.
	logCallTimeout = 2 * time.Second
	// deleteRecordTimeout bounds the last call of a host that shuts down, which
	// must not prolong the shutdown while the log does not answer.
	deleteRecordTimeout = 300 * time.Millisecond
	// dialLimitInterval is the mean time after which twice as many hosts from the
	// log are dialled while none answers.
	dialLimitInterval = 250 * time.Millisecond
	// initialDialLimit is how many hosts of this daemon's zone are dialled first.
	// sameRegionLimitDivisor and otherRegionLimitDivisor divide the limit for
	// the other zones of the region and for those of other regions.
	initialDialLimit        = 2
	sameRegionLimitDivisor  = 2
	otherRegionLimitDivisor = 4
)

// runDiscovery is the task that writes this host's record to the log and,
// while no peer answers, reads the other hosts from it. A bridge reads them
// regularly. The log is used for discovery only, not for liveness, which
// heartbeats detect.
func (m *Membership) runDiscovery(ctx context.Context) {
	if m.options.HostLog == nil {
		return
	}
	written := false
	lastRead := time.Now()
	for ctx.Err() == nil {
		interval := discoveryInterval
		if !written {
			err := m.writeHostRecord(ctx)
			written = err == nil
			if err != nil {
				m.log.WithError(err).Warn("failed to write this host's record to the log; retrying")
				interval = logRetryInterval
			}
		}
		due := m.isBridge() && time.Since(lastRead) >= bridgeDiscoveryInterval
		if due || !m.hasPeers() {
			lastRead = time.Now()
			if err := m.readHostRecords(ctx); err != nil {
				m.log.WithError(err).Warn("failed to read hosts from the log")
				interval = logRetryInterval
			}
			m.raiseDialLimit(ctx)
		}
		if !wait.For(ctx, jitter(interval)) {
			return
		}
	}
}

// raiseDialLimit lets a few hosts from the log be dialled, and twice as many
// after each dialLimitInterval for as long as none answers.
func (m *Membership) raiseDialLimit(ctx context.Context) {
	for limit := initialDialLimit; ; limit *= 2 {
		m.mu.Lock()
		m.dialLimit = limit
		all := limit/otherRegionLimitDivisor >= largestGroup(m.hostsFromLog)
		m.mu.Unlock()
		m.requestSelection()
		if all || !wait.For(ctx, jitter(dialLimitInterval)) || m.hasPeers() {
			return
		}
	}
}

// largestGroup returns the number of hosts in the largest zone.
func largestGroup(zones map[string][]Member) int {
	size := 0
	for _, hosts := range zones {
		size = max(size, len(hosts))
	}
	return size
}

// writeHostRecord writes this host's entry to the log under its host name.
func (m *Membership) writeHostRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	m.mu.Lock()
	message := encodeEntry(m.selfRow(), time.Now())
	m.mu.Unlock()
	payload, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode record of host %s: %w", message.GetHost(), err)
	}
	if err := m.options.HostLog.Put(ctx, platform.HostStream, message.GetHost(), payload); err != nil {
		return fmt.Errorf("write record of host %s: %w", message.GetHost(), err)
	}
	return nil
}

// deleteHostRecord deletes this host's record by writing an empty one. A
// failure is only logged.
func (m *Membership) deleteHostRecord(ctx context.Context) {
	if m.options.HostLog == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deleteRecordTimeout)
	defer cancel()
	if err := m.options.HostLog.Put(ctx, platform.HostStream, m.options.Self.Host, nil); err != nil {
		m.log.WithError(err).Debug("failed to delete this host's record from the log")
	}
}

// readHostRecords replaces hostsFromLog by the other hosts recorded in the log.
func (m *Membership) readHostRecords(ctx context.Context) error {
	ctx, cancel := idle.WithTimeout(ctx, logCallTimeout, logCallTimeout)
	defer cancel()
	records, _, err := m.options.HostLog.Newest(ctx, platform.HostStream)
	if err != nil {
		return fmt.Errorf("read host records: %w", err)
	}
	var hosts []Member
	for _, record := range records {
		var message Entry
		if err := proto.Unmarshal(record.Payload, &message); err != nil {
			m.log.WithError(err).Warnf("skipping log record of host %s: cannot decode it", record.Key)
			continue
		}
		e, _ := decodeEntry(&message)
		if e.host != m.options.Self.Host && e.controlAddress != "" {
			hosts = append(hosts, Member{Host: e.host, Zone: e.zone, Region: e.region, ControlAddress: e.controlAddress})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logReads++
	m.hostsFromLog = m.groupByZone(hosts)
	m.forgetFailedDials(hosts)
	return nil
}

// forgetFailedDials drops the counts of hosts that the log does not hold any more.
func (m *Membership) forgetFailedDials(hosts []Member) {
	recorded := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		recorded[host.ControlAddress] = true
	}
	maps.DeleteFunc(m.failedDials, func(address string, _ int) bool { return !recorded[address] })
}

// groupByZone groups hosts by zone. The order within a zone differs between
// daemons and between reads, so that not all daemons dial the same hosts, and
// gone hosts do not keep others from being dialled.
func (m *Membership) groupByZone(hosts []Member) map[string][]Member {
	ordered := byHash(hosts, func(h Member) string {
		return fmt.Sprintf("%s/%d/%s", m.options.Self.Host, m.logReads, h.Host)
	})
	zones := make(map[string][]Member)
	for _, host := range ordered {
		zones[host.Zone] = append(zones[host.Zone], host)
	}
	return zones
}

// hasPeers reports whether any neighbour is connected.
func (m *Membership) hasPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.connected {
			return true
		}
	}
	return false
}

// isBridge reports whether this daemon connects its zone to others.
func (m *Membership) isBridge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := liveZones(m.table.rows, m.reported.hosts).zoneOf(m.options.Self)
	_, found := bridgeRank(m.options.Self.Host, own.members)
	return found
}

// seeds returns the control addresses to dial first: those of the settings and
// those of some hosts from the log, more of them in near zones than in far ones.
func (m *Membership) seeds() []string {
	addresses := slices.Clone(m.options.Seeds)
	for _, hosts := range m.hostsFromLog {
		limit := m.dialLimit / m.limitDivisor(hosts[0])
		for _, host := range hosts[:min(limit, len(hosts))] {
			addresses = append(addresses, host.ControlAddress)
		}
	}
	return addresses
}

func (m *Membership) limitDivisor(host Member) int {
	switch m.scopeOf(host) {
	case peer.WithinZone:
		return 1
	case peer.BetweenZones:
		return sameRegionLimitDivisor
	default:
		return otherRegionLimitDivisor
	}
}

// addUnknown adds the peers that no entry names: all such seeds of the
// settings, and one such host from the log for each zone.
func (m *Membership) addUnknown(desired map[string]desiredPeer) {
	known := make(map[string]bool)
	for _, r := range m.table.rows {
		known[r.controlAddress] = true
	}
	for _, address := range m.options.Seeds {
		if !known[address] {
			m.addAddress(desired, address, seedRole)
		}
	}
	for _, hosts := range m.hostsFromLog {
		if address, ok := m.leastFailed(hosts, known); ok {
			m.addAddress(desired, address, unknownRole)
		}
	}
}

// leastFailed returns the control address of the first host that is not known,
// of those with the fewest failed dials. Records of gone hosts thus never keep
// the other hosts of their zone from being dialled.
func (m *Membership) leastFailed(hosts []Member, known map[string]bool) (address string, ok bool) {
	fewest := 0
	for _, host := range hosts {
		failures := m.failedDials[host.ControlAddress]
		if known[host.ControlAddress] || ok && failures >= fewest {
			continue
		}
		address, fewest, ok = host.ControlAddress, failures, true
	}
	return address, ok
}

// recordFailedDial makes a bridge go on to another unknown host of the log.
func (m *Membership) recordFailedDial(n *neighbour) {
	m.mu.Lock()
	m.failedDials[n.address]++
	m.mu.Unlock()
	m.requestSelection()
}

// unknownHostDelay returns how long to wait before an unknown host is dialled.
// It grows with the number of failed dials, so that records of gone hosts cost
// little once each of them was dialled.
func (m *Membership) unknownHostDelay(address string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := firstDialSpread
	for range m.failedDials[address] {
		if delay >= maxRedialInterval {
			return jitter(maxRedialInterval)
		}
		delay *= 2
	}
	return jitter(delay)
}
