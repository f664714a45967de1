package membership

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// rollRetry is the time between attempts to reach the log at a start.
	logRetryInterval = 500 * time.Millisecond
	// rollInterval is the time between looks at the log while nobody answers.
	discoveryInterval = 2 * time.Second
	// rollCheck is the time between looks at the log of a bridge, which brings
	// parts of the mesh together that never met.
	bridgeDiscoveryInterval = 30 * time.Second
	// rollTimeout bounds one call to the log.
	logCallTimeout = 2 * time.Second
	// rollEraseTimeout bounds the last call of a host that stops, which must not
	// prolong the stop while the log is silent.
	deleteRecordTimeout = 300 * time.Millisecond
	// rollWiden is the mean time after which twice as many hosts of the log are
	// dialled while none answers.
	dialShareInterval = 250 * time.Millisecond
	// firstRollShare is how many hosts of the own zone are dialled first,
	// nearRollDivisor and farRollDivisor divide it for the other zones of the
	// region and for those of other regions.
	initialDialShare        = 2
	sameRegionShareDivisor  = 2
	otherRegionShareDivisor = 4
)

// keepRoll is the task that writes this host's record to the log and learns of
// other hosts there, while no peer answers. Liveness is left to heartbeats.
func (m *Membership) runDiscovery(ctx context.Context) {
	if m.options.HostLog == nil {
		return
	}
	written := false
	checked := time.Now()
	for ctx.Err() == nil {
		interval := discoveryInterval
		if !written {
			err := m.writeHostRecord(ctx)
			written = err == nil
			if err != nil {
				m.log.WithError(err).Warn("this host is not on the log yet")
				interval = logRetryInterval
			}
		}
		due := m.isBridge() && time.Since(checked) >= bridgeDiscoveryInterval
		if due || !m.hasPeers() {
			checked = time.Now()
			if err := m.readHostRecords(ctx); err != nil {
				m.log.WithError(err).Warn("hosts were not read from the log")
				interval = logRetryInterval
			}
			m.widenDialShare(ctx)
		}
		if !wait.For(ctx, jitter(interval)) {
			return
		}
	}
}

// widenRoll dials a few hosts of the log, and twice as many after a while for
// as long as none answers.
func (m *Membership) widenDialShare(ctx context.Context) {
	for share := initialDialShare; ; share *= 2 {
		m.mu.Lock()
		m.dialShare = share
		all := share/otherRegionShareDivisor >= largestGroup(m.hostsFromLog)
		m.mu.Unlock()
		m.requestSelection()
		if all || !wait.For(ctx, jitter(dialShareInterval)) || m.hasPeers() {
			return
		}
	}
}

// longest returns the size of the largest group.
func largestGroup(zones map[string][]Member) int {
	size := 0
	for _, hosts := range zones {
		size = max(size, len(hosts))
	}
	return size
}

// writeRoll puts this host's entry under its name.
func (m *Membership) writeHostRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	m.mu.Lock()
	message := encodeEntry(m.selfRow(), time.Now())
	m.mu.Unlock()
	payload, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode host %s: %w", message.GetHost(), err)
	}
	if err := m.options.HostLog.Put(ctx, platform.HostStream, message.GetHost(), payload); err != nil {
		return fmt.Errorf("write host %s: %w", message.GetHost(), err)
	}
	return nil
}

// eraseRoll drops this host's record.
func (m *Membership) deleteHostRecord(ctx context.Context) {
	if m.options.HostLog == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deleteRecordTimeout)
	defer cancel()
	if err := m.options.HostLog.Put(ctx, platform.HostStream, m.options.Self.Host, nil); err != nil {
		m.log.WithError(err).Debug("the record of this host stays on the log")
	}
}

// readRoll takes the hosts of the log as seeds.
func (m *Membership) readHostRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	records, _, err := m.options.HostLog.Newest(ctx, platform.HostStream)
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	var hosts []Member
	for _, record := range records {
		var message Entry
		if err := proto.Unmarshal(record.Payload, &message); err != nil {
			m.log.WithError(err).Warnf("record of host %s cannot be read", record.Key)
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
	return nil
}

// groupByZone divides hosts by zone. In each zone they stand in an order that
// differs from daemon to daemon and from one reading to the next, so that not all
// dial the same ones and hosts that are gone hide no others.
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

// hasPeers reports whether any peer answers.
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
	own := liveZones(m.table.rows, m.reportedUnreachable).zoneOf(m.options.Self)
	_, found := bridgeRank(m.options.Self.Host, own.members)
	return found
}

// seeds returns the control addresses to begin with: those of the settings and
// some hosts of the log, more of near zones than of far ones.
func (m *Membership) seeds() []string {
	addresses := slices.Clone(m.options.Seeds)
	for _, hosts := range m.hostsFromLog {
		share := m.dialShare / m.shareDivisor(hosts[0])
		for _, host := range hosts[:min(share, len(hosts))] {
			addresses = append(addresses, host.ControlAddress)
		}
	}
	return addresses
}

func (m *Membership) shareDivisor(host Member) int {
	switch m.scopeOf(host) {
	case peer.WithinZone:
		return 1
	case peer.BetweenZones:
		return sameRegionShareDivisor
	default:
		return otherRegionShareDivisor
	}
}

// strangers returns the control addresses of the settings, and of one host of
// each zone of the log, that no entry names.
func (m *Membership) unknownSeeds() []string {
	known := make(map[string]bool)
	for _, r := range m.table.rows {
		known[r.controlAddress] = true
	}
	isKnown := func(address string) bool { return known[address] }
	addresses := slices.DeleteFunc(slices.Clone(m.options.Seeds), isKnown)
	for _, hosts := range m.hostsFromLog {
		i := slices.IndexFunc(hosts, func(h Member) bool { return !isKnown(h.ControlAddress) })
		if i >= 0 {
			addresses = append(addresses, hosts[i].ControlAddress)
		}
	}
	return addresses
}
