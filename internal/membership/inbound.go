package membership

import (
	"context"
	"time"

	"storj.io/drpc/drpccache"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// acceptedTimeout is how long an accepted connection may stay silent.
const inboundIdleTimeout = 5 * crossRegionHeartbeatInterval

// accepted is a connection that a peer opened for heartbeats.
type inboundConn struct {
	ctx       context.Context
	lastHeard time.Time
	progress  sendProgress
}

// acceptedKey is the key of the accepted connection in the cache that drpc
// keeps for each connection.
type inboundConnKey struct{}

// accept returns the connection of a request.
func (m *Membership) inboundConnFor(ctx context.Context) *inboundConn {
	create := func() any { return &inboundConn{ctx: context.WithoutCancel(ctx)} }
	conn := drpccache.FromContext(ctx).LoadOrCreate(inboundConnKey{}, create).(*inboundConn)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbound[conn] = true
	return conn
}

// closeSilent closes accepted connections on which nothing arrives any more.
// The peer, if it lives, has given them up and dialled again.
func (m *Membership) closeIdleInbound(now time.Time) {
	for conn := range m.inbound {
		if now.Sub(conn.lastHeard) < inboundIdleTimeout {
			continue
		}
		delete(m.inbound, conn)
		peer.CloseConn(conn.ctx)
	}
}
