package membership

import (
	"context"
	"time"

	"storj.io/drpc/drpccache"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// inboundIdleTimeout is the time without a heartbeat after which an accepted
// connection is closed.
const inboundIdleTimeout = 5 * crossRegionHeartbeatInterval

// inboundConn is a connection that a peer opened for heartbeats.
type inboundConn struct {
	ctx       context.Context
	lastHeard time.Time
	progress  sendProgress
}

// inboundConnKey is the key of the inboundConn in the cache that drpc keeps
// for each connection.
type inboundConnKey struct{}

// inboundConnFor returns the connection on which a request arrived.
func (m *Membership) inboundConnFor(ctx context.Context) *inboundConn {
	create := func() any {
		return &inboundConn{ctx: context.WithoutCancel(ctx), lastHeard: time.Now()}
	}
	conn := drpccache.FromContext(ctx).LoadOrCreate(inboundConnKey{}, create).(*inboundConn)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[conn] = true
	return conn
}

// removeIdleInbound removes and returns the accepted connections on which no heartbeat
// arrives any more. A peer that still runs has abandoned them and dialled again.
func (m *Membership) removeIdleInbound(now time.Time) []*inboundConn {
	var idle []*inboundConn
	for conn := range m.inbound {
		if now.Sub(conn.lastHeard) >= inboundIdleTimeout {
			delete(m.inbound, conn)
			idle = append(idle, conn)
		}
	}
	return idle
}

// closeInbound closes accepted connections. The caller does not hold the mutex.
func closeInbound(conns []*inboundConn) {
	for _, conn := range conns {
		peer.CloseConn(conn.ctx)
	}
}
