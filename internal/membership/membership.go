package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
	"storj.io/drpc"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// maintenanceInterval is the time between two runs of expireLease and maintain.
	maintenanceInterval = 500 * time.Millisecond
	// viewInterval is the minimum time between two views built from entries of
	// other daemons.
	viewInterval = 50 * time.Millisecond
)

// Membership maintains the table of hosts and synchronises it with other daemons.
type Membership struct {
	options Options
	log     *logrus.Entry
	metrics *membershipMetrics
	view    publishedView
	// rebuildRequests wakes runViewBuilder.
	rebuildRequests chan struct{}
	// acknowledged is notified when a peer acknowledged entries, a connection
	// to a peer ended, or the log acknowledged a record of this host's history.
	acknowledged wait.Broadcast
	// historyChanged is notified when there is news in the history of this host's target.
	historyChanged wait.Broadcast
	// recoveryAnswered is notified when the log or a peer has answered what it knows
	// of the history of this host's target.
	recoveryAnswered wait.Broadcast
	// comparisonLimiter limits the rate of table comparisons that are answered.
	comparisonLimiter *rate.Limiter
	// probeSlots holds an element for each probe in progress.
	probeSlots chan struct{}
	// selectionRequests asks manageNeighbours to select neighbours again.
	selectionRequests chan struct{}

	mu           sync.Mutex
	table        *table
	lease        lease
	contacts     map[string]*contact
	inbound      map[*inboundConn]bool
	offsetFloors map[string]uint64
	failedPeers  map[string]failedPeer
	zoneMonitors map[string]*zoneMonitor
	// hostsFromLog holds the hosts read from the host log by zone. dialLimit is
	// how many hosts of this daemon's zone are dialled as seeds. logReads counts
	// the reads of the log.
	hostsFromLog map[string][]Member
	dialLimit    int
	logReads     int
	// failedDials counts, by control address, the failed dials to hosts from the
	// log that no entry names.
	failedDials map[string]int
	neighbours  map[string]*neighbour
	// reported holds what daemons report as unreachable in their zone, without this one.
	reported reports
	// silentZones holds the zones, and by regionKey the regions, from which
	// nothing reaches this daemon's zone.
	silentZones map[string]bool
	// contactOverrides is set while recent direct contact overrides a report that
	// a host is unreachable.
	contactOverrides bool
	// tableCompared is set once the table has been compared with that of a peer,
	// comparisonPending while a comparison is in progress.
	tableCompared     bool
	comparisonPending bool
	// needsRefutation is set while others report this daemon as unreachable.
	needsRefutation bool
	lastRefuted     time.Time
	startedAt       time.Time
	viewChanges     viewChanges
	recovery        recovery
}

// New returns a membership that knows only this daemon.
func New(options Options) *Membership {
	options = options.withDefaults()
	m := &Membership{
		options:           options,
		log:               logging.ForComponent(options.Logger, "membership"),
		rebuildRequests:   make(chan struct{}, 1),
		comparisonLimiter: rate.NewLimiter(comparisonRate, comparisonBurst),
		probeSlots:        make(chan struct{}, maxConcurrentProbes),
		selectionRequests: make(chan struct{}, 1),
		table:             newTable(),
		contacts:          make(map[string]*contact),
		inbound:           make(map[*inboundConn]bool),
		offsetFloors:      make(map[string]uint64),
		failedPeers:       make(map[string]failedPeer),
		zoneMonitors:      make(map[string]*zoneMonitor),
		failedDials:       make(map[string]int),
		neighbours:        make(map[string]*neighbour),
	}
	m.metrics = newMetrics(options.Metrics, m)
	now := time.Now()
	m.startedAt = now
	m.lease.configuredDuration = options.LeaseDuration
	m.lease.processStarted = now
	m.lease.recovering = !m.isAlone()
	self := newEntry(options.Self, options.Identity.Incarnation)
	m.table.merge(self, "", now)
	m.publishAll(now)
	return m
}

// Register adds the Membership service to the control server.
func (m *Membership) Register(mux drpc.Mux) error {
	if err := DRPCRegisterMembership(mux, &server{membership: m}); err != nil {
		return fmt.Errorf("register membership: %w", err)
	}
	return nil
}

// Run keeps the table up to date until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	tasks.Go(func() { m.runViewBuilder(ctx) })
	tasks.Go(func() { m.runMaintenance(ctx) })
	tasks.Go(func() { m.manageNeighbours(ctx) })
	tasks.Go(func() { m.runDiscovery(ctx) })
	tasks.Go(func() { m.runHistoryLog(ctx) })
	tasks.Go(func() { m.runRecovery(ctx) })
	tasks.Wait()
	return nil
}

// View returns the current view of the mesh. It never blocks.
func (m *Membership) View() *View { return m.view.current.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (m *Membership) Changed() <-chan struct{} { return m.view.changed.Wait() }

// LocalTarget returns the announcement of the target on this host and the
// target's state. It reports false if there is no target.
func (m *Membership) LocalTarget() (Announcement, TargetState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.lease.effectiveState()
	return m.lease.announcement, state, state != NoTarget
}

// RecordTargetLeaving sets the target of this host to draining, for good, if it is
// still the given instance.
func (m *Membership) RecordTargetLeaving(instance string) {
	m.mu.Lock()
	changed := m.lease.leave(instance, time.Now())
	m.mu.Unlock()
	if changed {
		m.log.WithField("instance", instance).Info("target leaves, as its response says")
		m.publishHistory()
	}
}

// Drain sets the target of this host to draining: it takes no new work. That holds
// until Resume, also after a restart of the daemon. AwaitHistoryHeld tells when it does.
func (m *Membership) Drain() { m.setDrained(true) }

// Resume ends what Drain began.
func (m *Membership) Resume() { m.setDrained(false) }

func (m *Membership) setDrained(drained bool) {
	m.mu.Lock()
	m.lease.setOperatorDrain(drained, time.Now())
	m.mu.Unlock()
	m.publishHistory()
}

// RecordLogRTT publishes the round-trip time from this host to the log. The
// shortest one recorded counts.
func (m *Membership) RecordLogRTT(rtt time.Duration) {
	rttMs := uint32(rtt.Milliseconds()) + 1
	m.updateSelf(func(e *entry) {
		if e.logRTTMs == 0 || rttMs < e.logRTTMs {
			e.logRTTMs = rttMs
		}
	})
}

// BeginLeave publishes that this daemon takes no new work. It returns when all
// connected neighbours have acknowledged this, or when ctx ends.
func (m *Membership) BeginLeave(ctx context.Context) error {
	m.publishLeave(Leaving)
	return m.awaitLeaveAcknowledged(ctx)
}

// FinishLeave publishes that this daemon has stopped and deletes this host's record
// in the host log. Call it last, while Run still runs.
func (m *Membership) FinishLeave(ctx context.Context) error {
	m.publishLeave(Left)
	m.deleteHostRecord(ctx)
	return m.awaitLeaveAcknowledged(ctx)
}

func (m *Membership) publishLeave(state State) {
	m.mu.Lock()
	m.lease.stopping = true
	m.mu.Unlock()
	m.updateSelf(func(e *entry) { e.state = max(e.state, state) })
}

func (m *Membership) awaitLeaveAcknowledged(ctx context.Context) error {
	if err := m.awaitAcknowledged(ctx); err != nil {
		return fmt.Errorf("announce leave to neighbours: %w", err)
	}
	return nil
}

// awaitAcknowledged waits until every connected neighbour has acknowledged all
// current entries.
func (m *Membership) awaitAcknowledged(ctx context.Context) error {
	m.mu.Lock()
	sequence := m.table.sequence
	m.mu.Unlock()
	for {
		acknowledged := m.acknowledged.Wait()
		if m.allAcknowledged(sequence) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-acknowledged:
		}
	}
}

func (m *Membership) allAcknowledged(sequence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.connected && n.sentSequence < sequence {
			return false
		}
	}
	return true
}

// updateSelf publishes a new version of this daemon's entry if edit, the lease
// or the peers found unreachable change it. edit may be nil.
func (m *Membership) updateSelf(edit func(*entry)) { m.writeSelf(edit, false) }

// republishSelf publishes a new version of this daemon's entry even if its
// content is unchanged.
func (m *Membership) republishSelf(edit func(*entry)) { m.writeSelf(edit, true) }

func (m *Membership) writeSelf(edit func(*entry), always bool) {
	offset, _ := m.options.AppliedPosition()
	now := time.Now()
	m.mu.Lock()
	m.raiseOffsetFloor(m.options.Self.Host, offset)
	before := m.selfRow().entry
	after := before
	if edit != nil {
		edit(&after)
	}
	m.lease.pruneHistory(now)
	m.lease.applyTo(&after)
	m.setUnreachable(&after)
	changed := always || !before.sameContent(&after)
	if changed {
		after.appliedOffset = offset
		after.version.Counter++
		m.table.merge(after, "", now)
		m.viewChanges.noteEntry(&before, &after, &m.reported)
		m.publishLocked(now)
		m.wakeNeighbours("")
	}
	if !before.history.equal(after.history) {
		m.recovery.publishedAt = m.table.sequence
	}
	m.mu.Unlock()
	if changed {
		m.metrics.selfUpdates.Inc()
		m.recordTargetChange(&before, &after)
	}
}

func (m *Membership) selfRow() *row { return m.table.rows[m.options.Self.Host] }

// applyTo sets the target's fields of an entry.
func (l *lease) applyTo(e *entry) {
	e.targetState = l.effectiveState()
	e.service = l.announcement.Service
	e.slots = l.announcement.Slots
	e.targetVersion = l.announcement.Version
	e.history = l.history
}

// recordTargetChange logs and records a change of the target's state or service.
func (m *Membership) recordTargetChange(before, after *entry) {
	if before.targetState == after.targetState && before.service == after.service {
		return
	}
	m.log.WithFields(logrus.Fields{
		"service":  after.service,
		"state":    after.targetState.String(),
		"instance": m.lastAnnouncement().Instance,
		"sequence": m.lastAnnouncement().Sequence,
	}).Info("target state changed")
	switch after.targetState {
	case Draining:
		m.options.Events.Record(timeline.Event{Kind: timeline.Draining, Service: after.service})
	case Cold, Ready:
		m.options.Events.Record(timeline.Event{Kind: timeline.Announced, Service: after.service})
	}
}

// lastAnnouncement returns the latest announcement of the target on this host,
// also after its lease has ended.
func (m *Membership) lastAnnouncement() Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.lastAnnouncement
}

// runMaintenance is the task that expires leases, contacts and entries.
func (m *Membership) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.expireLease(now)
			m.maintain(now)
		}
	}
}

// expireLease ends an announcement that was not renewed.
func (m *Membership) expireLease(now time.Time) {
	m.mu.Lock()
	service := m.lease.announcement.Service
	expired := m.lease.expire(now)
	m.mu.Unlock()
	if expired {
		m.metrics.leaseExpirations.Inc()
		m.log.Warnf("target of service %s did not renew its announcement; lease expired", service)
		m.recordWithdrawn(service, "announcement lapsed")
	}
	m.updateSelf(nil)
}

// recordWithdrawn records that a target was withdrawn or its lease expired.
func (m *Membership) recordWithdrawn(service, reason string) {
	m.options.Events.Record(timeline.Event{Kind: timeline.Withdrawn, Service: service, Detail: reason})
}

// runViewBuilder is the task that rebuilds the view on request, at most once
// in viewInterval.
func (m *Membership) runViewBuilder(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.rebuildRequests:
		}
		m.mu.Lock()
		m.publishLocked(time.Now())
		m.mu.Unlock()
		if !wait.For(ctx, viewInterval) {
			return
		}
	}
}

// noteChangeOf records that the member of a host has changed, and requests a view with
// it. The caller holds the mutex.
func (m *Membership) noteChangeOf(host string) {
	if m.table.rows[host] != nil {
		m.viewChanges.noteChange(host)
	}
	m.requestRebuild()
}

func (m *Membership) requestRebuild() {
	select {
	case m.rebuildRequests <- struct{}{}:
	default:
	}
}
