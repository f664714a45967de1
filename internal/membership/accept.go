package membership

import (
	"context"
	"time"

	"storj.io/drpc/drpccache"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// acceptedTimeout is how long an accepted connection may stay silent.
const acceptedTimeout = 5 * farHeartbeatInterval

// accepted is a connection that a peer opened for heartbeats.
type accepted struct {
	ctx   context.Context
	heard time.Time
	told  toldState
}

// acceptedKey is the key of the accepted connection in the cache that drpc
// keeps for each connection.
type acceptedKey struct{}

// accept returns the connection of a request.
func (m *Membership) accept(ctx context.Context) *accepted {
	create := func() any { return &accepted{ctx: context.WithoutCancel(ctx)} }
	conn := drpccache.FromContext(ctx).LoadOrCreate(acceptedKey{}, create).(*accepted)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted[conn] = true
	return conn
}

// closeSilent closes accepted connections on which nothing arrives any more.
// The peer, if it lives, has given them up and dialled again.
func (m *Membership) closeSilent(now time.Time) {
	for conn := range m.accepted {
		if now.Sub(conn.heard) < acceptedTimeout {
			continue
		}
		delete(m.accepted, conn)
		peer.CloseConn(conn.ctx)
	}
}
