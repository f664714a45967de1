package quota

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/mulberrybank/mulberrybank/internal/peer"
)

// errNoIdentity is returned for a request whose connection has no peer identity.
var errNoIdentity = errors.New("no peer identity: connection sent no hello")

// follower is a daemon that reports to this home, with what it has not been sent yet.
type follower struct {
	host string
	// wake is sent to when there is something to send.
	wake chan struct{}
	// received counts reports; it and pending are guarded by the mutex of Quota.
	received, sent uint64
	pending        map[string]bool
}

func (f *follower) wakeUp() { notify(f.wake) }

// notify sends to a channel with a buffer of one, unless something is in it.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Register adds the Quota service to the control server.
func (q *Quota) Register(mux drpc.Mux) error {
	if err := DRPCRegisterQuota(mux, &server{quota: q}); err != nil {
		return fmt.Errorf("register quota: %w", err)
	}
	return nil
}

// server answers the reports of other daemons.
type server struct{ quota *Quota }

// Report takes reports in one goroutine and sends answers in another.
func (s *server) Report(stream DRPCQuota_ReportStream) error {
	remote, ok := peer.FromContext(stream.Context())
	if !ok {
		return errNoIdentity
	}
	f := s.quota.attach(remote.Host)
	defer s.quota.detach(f)
	ctx, cancel := context.WithCancelCause(stream.Context())
	stop := context.AfterFunc(ctx, func() { peer.CloseConn(stream.Context()) })
	defer stop()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { cancel(s.receive(stream, f)) })
	for {
		next, err := s.quota.nextAnswer(ctx, f)
		if err == nil {
			err = stream.Send(answerToWire(next))
		}
		if err != nil {
			cancel(err)
			return fmt.Errorf("answer reports of %s: %w", remote.Host, context.Cause(ctx))
		}
	}
}

func (s *server) receive(stream DRPCQuota_ReportStream, f *follower) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		s.quota.takeReport(f, reportFromWire(request), time.Now())
	}
}

// attach adds a daemon that reports to this home.
func (q *Quota) attach(host string) *follower {
	f := &follower{host: host, wake: make(chan struct{}, 1), pending: make(map[string]bool)}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.followers[f] = true
	if len(q.followers) == 1 {
		notify(q.wake)
	}
	for _, workspace := range q.ledger.Watched() {
		f.pending[workspace] = true
	}
	f.wakeUp()
	return f
}

func (q *Quota) detach(f *follower) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.followers, f)
}

// takeReport applies a report of a daemon to the ledger.
func (q *Quota) takeReport(f *follower, usages []Usage, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refreshHosts(now)
	wasEmpty := q.ledger.Len() == 0
	for _, u := range usages {
		limit, ok := q.options.Limit(u.Workspace)
		if !ok {
			limit = u.Limit
		}
		if !ok && limit.Rate <= 0 {
			limit = q.ledger.LimitOf(u.Workspace)
		}
		if limit.Rate <= 0 {
			continue
		}
		if _, changed := q.ledger.Report(f.host, u, limit, now); changed {
			q.pushToAll(u.Workspace)
		}
		f.pending[u.Workspace] = true
	}
	f.received++
	f.wakeUp()
	if wasEmpty {
		notify(q.wake)
	}
	q.metrics.taken.Inc()
}

// pushToAll lets all daemons be sent their grants of a workspace. The caller holds the
// mutex.
func (q *Quota) pushToAll(workspace string) {
	for f := range q.followers {
		f.pending[workspace] = true
		f.wakeUp()
	}
}

// nextAnswer waits until there is something to send to a daemon.
func (q *Quota) nextAnswer(ctx context.Context, f *follower) (answer, error) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return answer{}, context.Cause(ctx)
		}
		if next, ok := q.collectAnswer(f, time.Now()); ok {
			return next, nil
		}
	}
}

func (q *Quota) collectAnswer(f *follower, now time.Time) (next answer, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.received == f.sent && len(f.pending) == 0 {
		return answer{}, false
	}
	next.acknowledged = f.received
	f.sent = f.received
	for workspace := range f.pending {
		if g, known := q.ledger.Grant(f.host, workspace, now); known {
			next.grants = append(next.grants, g)
		}
	}
	clear(f.pending)
	return next, true
}
