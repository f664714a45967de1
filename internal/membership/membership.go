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
	// maintenanceInterval is the time between checks of leases and contacts.
	maintenanceInterval = 500 * time.Millisecond
	// viewInterval is the least time between two views built on word of others.
	viewInterval = 50 * time.Millisecond
)

// Membership keeps the table of hosts up to date with its peers.
type Membership struct {
	options Options
	log     *logrus.Entry
	metrics *membershipMetrics
	view    publishedView
	// rebuild asks for a new view.
	rebuildRequests chan struct{}
	// told is notified when a peer took entries.
	acknowledged wait.Broadcast
	// comparisons limits the comparisons of tables that are answered.
	comparisonLimiter *rate.Limiter
	// probes holds a place for each probe in progress.
	probeSlots chan struct{}
	// reconsider asks for a new choice of neighbours.
	selectionRequests chan struct{}

	mu           sync.Mutex
	table        *table
	lease        lease
	contacts     map[string]*contact
	inbound      map[*inboundConn]bool
	offsetFloors map[string]uint64
	failedPeers  map[string]failedPeer
	zoneMonitors map[string]*zoneMonitor
	// rolled holds the hosts that the log names by zone, rollShare is how many of
	// the own zone are dialled as seeds, rollReads counts the readings.
	hostsFromLog map[string][]Member
	dialShare    int
	logReads     int
	neighbours   map[string]*neighbour
	// listed holds the hosts that are unreachable by the word of their zones.
	reportedUnreachable map[string]bool
	// silent holds the zones of which nothing is heard from here.
	silentZones map[string]bool
	// overridden is set while direct contact overrides the word of others.
	contactOverrides bool
	// compared is set once the table was compared with that of a peer,
	// comparing while a first comparison is in progress.
	tableCompared     bool
	comparisonPending bool
	// disputed is set while others list this daemon as unreachable.
	needsRefutation bool
	lastRefuted     time.Time
	startedAt       time.Time
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
		neighbours:        make(map[string]*neighbour),
	}
	m.metrics = newMetrics(options.Metrics, m)
	now := time.Now()
	m.startedAt = now
	m.lease.configuredDuration = options.LeaseDuration
	self := newEntry(options.Self, options.Identity.Incarnation)
	m.table.merge(self, "", now)
	m.publishLocked(now)
	return m
}

// Register adds the service to the control server.
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
	tasks.Wait()
	return nil
}

// View returns the current picture of the mesh. It never blocks.
func (m *Membership) View() *View { return m.view.current.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (m *Membership) Changed() <-chan struct{} { return m.view.changed.Wait() }

// LocalTarget returns what the target on this host announced last and its
// state. It reports false without a target.
func (m *Membership) LocalTarget() (Announcement, TargetState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.lease.effectiveState()
	return m.lease.announcement, state, state != NoTarget
}

// Drain tells all that the target takes no new work.
func (m *Membership) Drain() { m.setDrained(true) }

// Resume ends a drain.
func (m *Membership) Resume() { m.setDrained(false) }

func (m *Membership) setDrained(drained bool) {
	m.mu.Lock()
	m.lease.drained = drained
	m.mu.Unlock()
	m.updateSelf(nil)
}

// RecordLogRTT tells all how long a round trip to the log takes from here.
// The shortest one counts.
func (m *Membership) RecordLogRTT(rtt time.Duration) {
	rttMs := uint32(rtt.Milliseconds()) + 1
	m.updateSelf(func(e *entry) {
		if e.logRTTMs == 0 || rttMs < e.logRTTMs {
			e.logRTTMs = rttMs
		}
	})
}

// BeginLeave tells all that this daemon takes no new work, and returns when its
// connected neighbours know or ctx ends.
func (m *Membership) BeginLeave(ctx context.Context) error {
	return m.leave(ctx, Leaving)
}

// FinishLeave tells all that this daemon has stopped. Call it last, while Run
// still runs.
func (m *Membership) FinishLeave(ctx context.Context) error {
	m.deleteHostRecord(ctx)
	return m.leave(ctx, Left)
}

func (m *Membership) leave(ctx context.Context, state State) error {
	m.mu.Lock()
	m.lease.drained = true
	m.mu.Unlock()
	m.updateSelf(func(e *entry) { e.state = max(e.state, state) })
	if err := m.awaitAcknowledged(ctx); err != nil {
		return fmt.Errorf("tell peers of leaving: %w", err)
	}
	return nil
}

// awaitTold waits until every connected neighbour took all entries.
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

// rewrite writes the entry of this daemon again if edit, the lease or the
// peers found lost change it. edit may be nil.
func (m *Membership) updateSelf(edit func(*entry)) { m.writeSelf(edit, false) }

// renew writes the entry of this daemon again in any case.
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
	m.lease.applyTo(&after)
	m.setUnreachable(&after)
	changed := always || !before.sameContent(&after)
	if changed {
		after.appliedOffset = offset
		after.version.Counter++
		m.table.merge(after, "", now)
		m.publishLocked(now)
		m.wakeNeighbours("")
	}
	m.mu.Unlock()
	if changed {
		m.metrics.selfUpdates.Inc()
		m.recordTargetChange(&before, &after)
	}
}

// self returns the row of this daemon.
func (m *Membership) selfRow() *row { return m.table.rows[m.options.Self.Host] }

// describe sets what the lease says of the target.
func (l *lease) applyTo(e *entry) {
	e.targetState = l.effectiveState()
	e.service = l.announcement.Service
	e.slots = l.announcement.Slots
}

// recordTarget writes an event when the target's state changed.
func (m *Membership) recordTargetChange(before, after *entry) {
	if before.targetState == after.targetState && before.service == after.service {
		return
	}
	m.log.WithFields(logrus.Fields{
		"service":  after.service,
		"state":    after.targetState.String(),
		"instance": m.lastAnnouncement().Instance,
		"sequence": m.lastAnnouncement().Sequence,
	}).Info("target changed its state")
	switch after.targetState {
	case Draining:
		m.options.Events.Record(timeline.Event{Kind: timeline.Draining, Service: after.service})
	case Cold, Ready:
		m.options.Events.Record(timeline.Event{Kind: timeline.Announced, Service: after.service})
	}
}

// lastAnnounced returns the newest announcement of the target on this host.
func (m *Membership) lastAnnouncement() Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.lastAnnouncement
}

// maintain is the task that lets leases, contacts and entries age.
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
		m.log.Warnf("announcement of %s lapsed", service)
		m.recordWithdrawn(service, "announcement lapsed")
	}
	m.updateSelf(nil)
}

// recordWithdrawn writes an event when a target is gone.
func (m *Membership) recordWithdrawn(service, reason string) {
	m.options.Events.Record(timeline.Event{Kind: timeline.Withdrawn, Service: service, Detail: reason})
}

// keepView is the task that builds views on word of other daemons.
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

// askRebuild makes keepView build a view soon.
func (m *Membership) requestRebuild() {
	select {
	case m.rebuildRequests <- struct{}{}:
	default:
	}
}
