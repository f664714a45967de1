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
	// heartbeatInterval is the time between heartbeats to a peer of the same region.
	heartbeatInterval = time.Second
	// crossRegionHeartbeatInterval is the time between heartbeats to another region.
	crossRegionHeartbeatInterval = 2 * time.Second
	// heartbeatTimeout bounds one dial and one heartbeat.
	heartbeatTimeout = time.Second
	// minSendInterval is the minimum time between two heartbeats to one peer.
	// Each entry in the first of them adds perEntryInterval.
	minSendInterval  = 5 * time.Millisecond
	perEntryInterval = 2 * time.Millisecond
	// redialInterval and maxRedialInterval are the limits of the back-off between
	// dials.
	redialInterval    = 200 * time.Millisecond
	maxRedialInterval = 5 * time.Second
	// initialChangeWindow is the age up to which changes are sent to a new neighbour.
	initialChangeWindow = 5 * time.Second
	// firstDialSpread is the mean random delay of the first dial to a neighbour.
	firstDialSpread = 100 * time.Millisecond
	// minSelectionInterval is the minimum time between two selections of neighbours.
	minSelectionInterval = 100 * time.Millisecond
	// maxSelectionInterval is the mean time after which neighbours are selected
	// again without a reason.
	maxSelectionInterval = time.Second
	// trafficKind is the connection kind of this package in the hello and in the
	// byte counts.
	trafficKind = "membership"
)

// errUnexpectedHost is returned when a host other than the expected one
// answers at an address, or this host itself.
var errUnexpectedHost = errors.New("unexpected host answered")

// desiredPeer is a daemon to which this one should keep a connection.
type desiredPeer struct {
	address string
	// host is empty if any host may answer, as for a seed.
	host  string
	scope peer.Scope
	role  role
}

// role is the reason why a peer is dialled.
type role int

const (
	// zoneRole peers are members of the same zone that this daemon observes.
	zoneRole role = iota
	bridgeRole
	seedRole
	// unknownRole peers are hosts from the log that no entry names.
	unknownRole
	// goneRole peers left or became unreachable and may return.
	goneRole
)

// isPermanent reports whether a peer in this role is dialled for as long as it
// is a member, rather than to discover others.
func (r role) isPermanent() bool { return r == zoneRole || r == bridgeRole }

// neighbour is a peer that this daemon dials, with the state of its task.
// connected and sendProgress are guarded by the mutex of Membership, the rest
// belongs to the task.
type neighbour struct {
	desiredPeer
	cancel    context.CancelFunc
	wake      chan struct{}
	connected bool
	sendProgress
	failures int
	// mismatches counts consecutive heartbeats with different summaries.
	mismatches     int
	nextComparison time.Time
	// backlog lists hosts whose entries are to be sent outside the order of
	// changes: this host at the start of a connection, and those that a
	// comparison found missing at the peer.
	backlog []string
	// lastEntryCount is the number of entries in the last heartbeat sent.
	lastEntryCount int
}

// manageNeighbours is the task that starts and stops the tasks of neighbours.
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

// reconcile starts and stops neighbour tasks to match desiredPeers. A daemon
// that has left keeps its tasks, which still send that to their peers.
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

// runNeighbour is the task of one neighbour. It keeps a connection open and
// redials with exponential back-off.
func (m *Membership) runNeighbour(ctx context.Context, n *neighbour) {
	defer n.cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = redialInterval
	retry.MaxInterval = maxRedialInterval
	if n.role == goneRole {
		retry.MaxInterval = maxGoneRedialInterval
	}
	if !wait.For(ctx, m.firstDialDelay(n)) {
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
		m.log.WithError(err).Debugf("connection to host %q at %s failed", n.host, n.address)
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

// firstDialDelay returns how long the task of a neighbour waits before it dials.
func (m *Membership) firstDialDelay(n *neighbour) time.Duration {
	if n.role == unknownRole {
		return m.unknownHostDelay(n.address)
	}
	return jitter(firstDialSpread)
}

// runConnection opens a connection and sends heartbeats until one fails. It
// returns the number of heartbeats that were answered.
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

// dial connects to a host. If host is empty, any host but this one may answer.
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
		return nil, fmt.Errorf("dial host %q at %s: %w: %s", host, address, errUnexpectedHost, conn.Peer.Host)
	}
	return conn, nil
}

// waitForNextHeartbeat waits until the next heartbeat is due and reports false
// if ctx ended first.
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

// wakeNeighbours makes the tasks of all neighbours but one host send without
// waiting for the interval.
func (m *Membership) wakeNeighbours(except string) {
	for _, n := range m.neighbours {
		if n.host != except || except == "" {
			n.wakeUp()
		}
	}
}

// wakeNeighboursOf makes the tasks that dial a host act without waiting.
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
