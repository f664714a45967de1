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
	counts  *counts
	view    publishedView
	// rebuild asks for a new view.
	rebuild chan struct{}
	// told is notified when a peer took entries.
	told wait.Broadcast
	// comparisons limits the comparisons of tables that are answered.
	comparisons *rate.Limiter
	// probes holds a place for each probe in progress.
	probes chan struct{}
	// reconsider asks for a new choice of neighbours.
	reconsider chan struct{}

	mu       sync.Mutex
	table    *table
	lease    lease
	contacts map[string]*contact
	accepted map[*accepted]bool
	floors   map[string]uint64
	lost     map[string]lostPeer
	watches  map[string]*zoneWatch
	// rolled holds the hosts that the log names by zone, rollShare is how many of
	// the own zone are dialled as seeds, rollReads counts the readings.
	rolled     map[string][]Member
	rollShare  int
	rollReads  int
	neighbours map[string]*neighbour
	// listed holds the hosts that are unreachable by the word of their zones.
	listed map[string]bool
	// silent holds the zones of which nothing is heard from here.
	silent map[string]bool
	// overridden is set while direct contact overrides the word of others.
	overridden bool
	// compared is set once the table was compared with that of a peer,
	// comparing while a first comparison is in progress.
	compared  bool
	comparing bool
	// disputed is set while others list this daemon as unreachable.
	disputed bool
	renewed  time.Time
	started  time.Time
}

// New returns a membership that knows only this daemon.
func New(options Options) *Membership {
	options = options.withDefaults()
	m := &Membership{
		options:     options,
		log:         logging.ForComponent(options.Logger, "membership"),
		rebuild:     make(chan struct{}, 1),
		comparisons: rate.NewLimiter(comparisonRate, comparisonBurst),
		probes:      make(chan struct{}, maxProbes),
		reconsider:  make(chan struct{}, 1),
		table:       newTable(),
		contacts:    make(map[string]*contact),
		accepted:    make(map[*accepted]bool),
		floors:      make(map[string]uint64),
		lost:        make(map[string]lostPeer),
		watches:     make(map[string]*zoneWatch),
		neighbours:  make(map[string]*neighbour),
	}
	m.counts = newCounts(options.Metrics, m)
	now := time.Now()
	m.started = now
	m.lease.length = options.LeaseDuration
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
	tasks.Go(func() { m.keepView(ctx) })
	tasks.Go(func() { m.maintain(ctx) })
	tasks.Go(func() { m.keepNeighbours(ctx) })
	tasks.Go(func() { m.keepRoll(ctx) })
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
	state := m.lease.current()
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
	m.rewrite(nil)
}

// RecordLogRTT tells all how long a round trip to the log takes from here.
// The shortest one counts.
func (m *Membership) RecordLogRTT(took time.Duration) {
	distance := uint32(took.Milliseconds()) + 1
	m.rewrite(func(e *entry) {
		if e.logDistance == 0 || distance < e.logDistance {
			e.logDistance = distance
		}
	})
}

// BeginLeave tells all that this daemon takes no new work, and returns when its
// connected neighbours know or ctx ends.
func (m *Membership) BeginLeave(ctx context.Context) error {
	return m.retire(ctx, Leaving)
}

// FinishLeave tells all that this daemon has stopped. Call it last, while Run
// still runs.
func (m *Membership) FinishLeave(ctx context.Context) error {
	m.eraseRoll(ctx)
	return m.retire(ctx, Left)
}

func (m *Membership) retire(ctx context.Context, state State) error {
	m.mu.Lock()
	m.lease.drained = true
	m.mu.Unlock()
	m.rewrite(func(e *entry) { e.state = max(e.state, state) })
	if err := m.awaitTold(ctx); err != nil {
		return fmt.Errorf("tell peers of leaving: %w", err)
	}
	return nil
}

// awaitTold waits until every connected neighbour took all entries.
func (m *Membership) awaitTold(ctx context.Context) error {
	m.mu.Lock()
	sequence := m.table.sequence
	m.mu.Unlock()
	for {
		told := m.told.Wait()
		if m.allTold(sequence) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-told:
		}
	}
}

func (m *Membership) allTold(sequence uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.neighbours {
		if n.connected && n.sent < sequence {
			return false
		}
	}
	return true
}

// rewrite writes the entry of this daemon again if edit, the lease or the
// peers found lost change it. edit may be nil.
func (m *Membership) rewrite(edit func(*entry)) { m.write(edit, false) }

// renew writes the entry of this daemon again in any case.
func (m *Membership) renew(edit func(*entry)) { m.write(edit, true) }

func (m *Membership) write(edit func(*entry), always bool) {
	offset, _ := m.options.AppliedPosition()
	now := time.Now()
	m.mu.Lock()
	m.raiseFloor(m.options.Self.Host, offset)
	before := m.self().entry
	after := before
	if edit != nil {
		edit(&after)
	}
	m.lease.describe(&after)
	m.describeLost(&after)
	changed := always || !before.sameContent(&after)
	if changed {
		after.inForce = offset
		after.position.Counter++
		m.table.merge(after, "", now)
		m.publishLocked(now)
		m.wakeNeighbours("")
	}
	m.mu.Unlock()
	if changed {
		m.counts.written.Inc()
		m.recordTarget(&before, &after)
	}
}

// self returns the row of this daemon.
func (m *Membership) self() *row { return m.table.rows[m.options.Self.Host] }

// describe sets what the lease says of the target.
func (l *lease) describe(e *entry) {
	e.targetState = l.current()
	e.service = l.announcement.Service
	e.slots = l.announcement.Slots
}

// recordTarget writes an event when the target's state changed.
func (m *Membership) recordTarget(before, after *entry) {
	if before.targetState == after.targetState && before.service == after.service {
		return
	}
	m.log.WithFields(logrus.Fields{
		"service":  after.service,
		"state":    after.targetState.String(),
		"instance": m.lastAnnounced().Instance,
		"sequence": m.lastAnnounced().Sequence,
	}).Info("target changed its state")
	switch after.targetState {
	case Draining:
		m.options.Events.Record(timeline.Event{Kind: timeline.Draining, Service: after.service})
	case Cold, Ready:
		m.options.Events.Record(timeline.Event{Kind: timeline.Announced, Service: after.service})
	}
}

// lastAnnounced returns the newest announcement of the target on this host.
func (m *Membership) lastAnnounced() Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.last
}

// maintain is the task that lets leases, contacts and entries age.
func (m *Membership) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.expireLease(now)
			m.age(now)
		}
	}
}

// expireLease ends an announcement that was not renewed.
func (m *Membership) expireLease(now time.Time) {
	m.mu.Lock()
	service := m.lease.announcement.Service
	lapsed := m.lease.expire(now)
	m.mu.Unlock()
	if lapsed {
		m.counts.lapses.Inc()
		m.log.Warnf("announcement of %s lapsed", service)
		m.recordWithdrawn(service, "announcement lapsed")
	}
	m.rewrite(nil)
}

// recordWithdrawn writes an event when a target is gone.
func (m *Membership) recordWithdrawn(service, reason string) {
	m.options.Events.Record(timeline.Event{Kind: timeline.Withdrawn, Service: service, Detail: reason})
}

// keepView is the task that builds views on word of other daemons.
func (m *Membership) keepView(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.rebuild:
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
func (m *Membership) askRebuild() {
	select {
	case m.rebuild <- struct{}{}:
	default:
	}
}
