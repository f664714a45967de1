package membership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// heartbeatInterval is the time between heartbeats to a peer of the region.
	heartbeatInterval = time.Second
	// farHeartbeatInterval is the time between heartbeats to another region.
	crossRegionHeartbeatInterval = 2 * time.Second
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
	// pushInterval is the least time between two messages to one peer, and
	// entryInterval what each entry of the first adds to it.
	minSendInterval  = 5 * time.Millisecond
	perEntryInterval = 2 * time.Millisecond
	// redialInterval and maxRedialInterval bound the time between dials.
	redialInterval    = 200 * time.Millisecond
	maxRedialInterval = 5 * time.Second
	// recentChanges is how far back the changes told to a new neighbour lie.
	initialChangeWindow = 5 * time.Second
	// startSpread is the span over which first dials are spread.
	firstDialSpread = 100 * time.Millisecond
	// choiceInterval is the least time between two choices of neighbours.
	minSelectionInterval = 100 * time.Millisecond
	// reconcileInterval is the longest time between two choices of neighbours.
	maxSelectionInterval = time.Second
	// kind names this slice in the byte counts.
	trafficKind = "membership"
)

// errOtherHost is returned when another host answers at an address, or this
// one itself.
var errUnexpectedHost = errors.New("another host answered")

// wantedPeer is a daemon that this one should talk with.
type desiredPeer struct {
	address string
	// host is empty for a seed.
	host  string
	scope peer.Scope
	role  role
}

// role says why a peer is wanted.
type role int

const (
	// zoneRole peers are observed for the zone.
	zoneRole role = iota
	bridgeRole
	seedRole
	// returnRole peers are gone and may come back.
	goneRole
)

// neighbour is a peer that this daemon dials and its task's state. connected
// and toldState are guarded by the mutex of Membership, the rest is the task's.
type neighbour struct {
	desiredPeer
	cancel    context.CancelFunc
	wake      chan struct{}
	connected bool
	sendProgress
	failures int
	// unequal counts heartbeats in a row with different summaries.
	mismatches     int
	nextComparison time.Time
	// owed are hosts whose entries the peer lacks.
	backlog []string
	// paid is the number of entries of the last message.
	lastEntryCount int
}

// keepNeighbours is the task that starts and ends the tasks of neighbours.
func (m *Membership) manageNeighbours(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for {
		changed := m.Changed()
		m.reconcile(ctx, &tasks)
		timer := time.NewTimer(jitter(maxSelectionInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-m.selectionRequests:
		case <-timer.C:
		}
		timer.Stop()
		if !wait.For(ctx, minSelectionInterval) {
			return
		}
	}
}

// reconcile makes the running tasks those of the wanted peers. A daemon that
// has left keeps those it has, which still tell their peers.
func (m *Membership) reconcile(ctx context.Context, tasks *conc.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.selfRow().state == Left {
		return
	}
	desired := m.desiredPeers()
	for address, n := range m.neighbours {
		spec, ok := desired[address]
		if !ok || spec != n.desiredPeer {
			n.cancel()
			delete(m.neighbours, address)
		}
	}
	for address, spec := range desired {
		if _, ok := m.neighbours[address]; ok {
			continue
		}
		n := &neighbour{desiredPeer: spec, wake: make(chan struct{}, 1)}
		n.sentSequence = m.table.sequenceBefore(time.Now().Add(-initialChangeWindow))
		peerCtx, cancel := context.WithCancel(ctx)
		n.cancel = cancel
		m.neighbours[address] = n
		tasks.Go(func() { m.runNeighbour(peerCtx, n) })
	}
}

// runNeighbour is the task of one neighbour. It keeps a connection open.
func (m *Membership) runNeighbour(ctx context.Context, n *neighbour) {
	defer n.cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = redialInterval
	retry.MaxInterval = maxRedialInterval
	if n.role == goneRole {
		retry.MaxInterval = maxGoneRedialInterval
	}
	if !wait.For(ctx, jitter(firstDialSpread)) {
		return
	}
	for ctx.Err() == nil {
		heartbeats, err := m.runConnection(ctx, n)
		if ctx.Err() != nil {
			return
		}
		if heartbeats > 0 {
			retry.Reset()
		}
		m.log.WithError(err).Debugf("no contact with %s at %s", n.host, n.address)
		m.metrics.contactFailures.Inc()
		m.handleFailure(ctx, n, err)
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-n.wake:
		}
		timer.Stop()
	}
}

// connect opens a connection and sends heartbeats until one fails. It returns
// the number of heartbeats that were answered.
func (m *Membership) runConnection(ctx context.Context, n *neighbour) (heartbeats int, err error) {
	conn, err := m.dial(ctx, n.host, n.address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	defer m.setConnected(n, false)
	client := NewDRPCMembershipClient(conn)
	for {
		more, err := m.sendHeartbeat(ctx, client, conn.Peer, n, heartbeats == 0)
		if err != nil {
			return heartbeats, fmt.Errorf("heartbeat to %s: %w", conn.Peer.Host, err)
		}
		heartbeats++
		if !m.waitForNextHeartbeat(ctx, n, more) {
			return heartbeats, ctx.Err()
		}
	}
}

// dial connects to a host. An empty host stands for whoever answers.
func (m *Membership) dial(ctx context.Context, host, address string) (*peer.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	conn, err := m.options.Dialer.Dial(ctx, trafficKind, address)
	if err != nil {
		return nil, err
	}
	unexpected := host != "" && conn.Peer.Host != host
	if unexpected || conn.Peer.Host == m.options.Self.Host {
		_ = conn.Close()
		return nil, fmt.Errorf("dial %s at %s: %w: %s", host, address, errUnexpectedHost, conn.Peer.Host)
	}
	return conn, nil
}

// awaitBeat waits until the next heartbeat is due and reports false when ctx
// ended first.
func (m *Membership) waitForNextHeartbeat(ctx context.Context, n *neighbour, more bool) bool {
	if !wait.For(ctx, minSendInterval+time.Duration(n.lastEntryCount)*perEntryInterval) {
		return false
	}
	if more {
		return true
	}
	interval := heartbeatInterval
	if n.scope == peer.BetweenRegions {
		interval = crossRegionHeartbeatInterval
	}
	timer := time.NewTimer(interval - interval/10 + jitter(interval/10))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-n.wake:
	}
	return true
}

func (m *Membership) setConnected(n *neighbour, connected bool) {
	m.mu.Lock()
	n.connected = connected
	m.mu.Unlock()
	m.acknowledged.Notify()
}

// wakeNeighbours makes all neighbours but one send at once.
func (m *Membership) wakeNeighbours(except string) {
	for _, n := range m.neighbours {
		if n.host != except || except == "" {
			n.wakeUp()
		}
	}
}

// wakeHost makes the tasks of one host act at once.
func (m *Membership) wakeNeighboursOf(host string) {
	for _, n := range m.neighbours {
		if n.host == host {
			n.wakeUp()
		}
	}
}

func (n *neighbour) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
