package call

import (
	"context"
	"errors"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// peerWatchDelay is how long an attempt waits for the response of another daemon before
// it asks membership whether that daemon is gone.
const peerWatchDelay = 500 * time.Millisecond

// errPeerGone is the error of an attempt at a daemon that is gone.
var errPeerGone = errors.New("daemon of the host is gone")

// watchPeer returns a context under which an attempt is cancelled once membership
// knows that its daemon is gone and the call can be made elsewhere. served must be
// called when a response has come, stop when the attempt has ended.
func (s *Server) watchPeer(ctx context.Context, q *request, member membership.Member) (watched context.Context, served func() bool, stop func()) {
	watched, attempt := newWaitCanceller(ctx)
	ended := make(chan struct{})
	timer := time.AfterFunc(peerWatchDelay, func() {
		if s.awaitPeerGone(ended, q, member) {
			attempt.cancelWith(errPeerGone)
		}
	})
	return watched, attempt.settle, func() {
		timer.Stop()
		close(ended)
	}
}

// awaitPeerGone waits until the daemon of an attempt is gone and the call can be made
// elsewhere, and reports whether that came before ended was
// closed.
func (s *Server) awaitPeerGone(ended <-chan struct{}, q *request, member membership.Member) bool {
	for {
		changed := s.directory.Changed()
		if peerGone(s.directory.View(), member) && q.takeRetry() {
			return true
		}
		select {
		case <-ended:
			return false
		case <-changed:
		}
	}
}

// peerGone reports whether the daemon of a member, as it was when it was chosen, has
// been replaced by another process or has become unreachable.
func peerGone(view *membership.View, member membership.Member) bool {
	current, found := view.Members.Get(member.Host)
	if !found || view.Stale {
		return false
	}
	if current.Version.Incarnation > member.Version.Incarnation {
		return true
	}
	return current.Reachability == membership.Unreachable && member.Reachability != membership.Unreachable
}
