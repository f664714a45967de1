package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// trafficKind is the connection kind of this package in the hello and in the byte
	// counts.
	trafficKind = "quota"
	// redialInterval is the mean time between two dials to a home.
	redialInterval = 200 * time.Millisecond
)

var (
	errSilent         = errors.New("home does not answer")
	errUnexpectedHost = errors.New("unexpected host answered")
)

// link is the connection of this daemon to one home, with the task that keeps it.
type link struct {
	host, address string
	wake          chan struct{}
	cancel        context.CancelFunc
}

// reportStream carries reports to a home and its answers.
type reportStream interface {
	send(usages []Usage) error
	receive() (answer, error)
	close()
}

// keepLink is the task that reports to one home until ctx ends.
func (q *Quota) keepLink(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		err := q.reportTo(ctx, l)
		now := time.Now()
		q.mu.Lock()
		silence := q.limiter.Silence(l.host, now)
		lost := false
		if current := q.links[l.host]; current == nil || current == l {
			lost = q.limiter.Disconnected(l.host, now)
		}
		q.mu.Unlock()
		if lost && ctx.Err() == nil {
			q.log.WithError(err).WithFields(logrus.Fields{"home": l.host, "unanswered_for": silence}).Warn("home of quotas lost")
		}
		if !wait.For(ctx, redialInterval/2+rand.N(redialInterval)) {
			return
		}
	}
}

// reportTo makes a connection to a home and reports to it until it fails.
func (q *Quota) reportTo(parent context.Context, l *link) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	stream, err := q.openStream(ctx, l)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.close)
	defer stop()
	defer stream.close()
	q.mu.Lock()
	q.limiter.Connected(l.host, time.Now())
	q.mu.Unlock()
	q.log.WithField("home", l.host).Info("connected to home of quotas")
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { cancel(q.receiveAnswers(stream, l)) })
	err = q.sendReports(ctx, stream, l)
	cancel(err)
	return fmt.Errorf("report to %s: %w", l.host, context.Cause(ctx))
}

func (q *Quota) receiveAnswers(stream reportStream, l *link) error {
	for {
		next, err := stream.receive()
		if err != nil {
			return err
		}
		q.mu.Lock()
		q.limiter.Answered(l.host, next.acknowledged, next.grants, time.Now())
		q.mu.Unlock()
		notify(l.wake)
	}
}

// sendReports sends each report when it is due. It ends when the home is silent.
func (q *Quota) sendReports(ctx context.Context, stream reportStream, l *link) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.wake:
		case <-timer.C:
		}
		usages, next, scheduled, err := q.nextReport(l.host, time.Now())
		if err != nil {
			return err
		}
		if len(usages) > 0 {
			// A peer that does not read must not delay the detection of its silence.
			watchdog := time.AfterFunc(lostAfter, stream.close)
			err := stream.send(usages)
			watchdog.Stop()
			if err != nil {
				return err
			}
			q.metrics.sent.Inc()
		}
		timer.Stop()
		if scheduled {
			timer.Reset(time.Until(next))
		}
	}
}

// nextReport returns the report that is due, and when to look again.
func (q *Quota) nextReport(host string, now time.Time) (usages []Usage, next time.Time, scheduled bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limiter.Silent(host, now) {
		return nil, time.Time{}, false, errSilent
	}
	if due, ok := q.limiter.Due(host); ok && !due.After(now) {
		usages = q.limiter.Collect(host, now)
	}
	next, scheduled = q.limiter.Due(host)
	if silentAt, ok := q.limiter.SilentAt(host); ok && (!scheduled || silentAt.Before(next)) {
		next, scheduled = silentAt, true
	}
	return usages, next, scheduled, nil
}

// openStream connects to a home, which may be this host.
func (q *Quota) openStream(ctx context.Context, l *link) (reportStream, error) {
	if l.host == q.options.Self.Host {
		ctx, cancel := context.WithCancel(ctx)
		return &localStream{quota: q, ctx: ctx, cancel: cancel, follower: q.attach(l.host)}, nil
	}
	conn, err := q.options.Dialer.Dial(ctx, trafficKind, l.address)
	if err != nil {
		return nil, fmt.Errorf("report to %s: %w", l.host, err)
	}
	if conn.Peer.Host != l.host {
		_ = conn.Close()
		return nil, fmt.Errorf("report to %s at %s: %w: %s", l.host, l.address, errUnexpectedHost, conn.Peer.Host)
	}
	stream, err := NewDRPCQuotaClient(conn).Report(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("report to %s: open stream: %w", l.host, err)
	}
	return &remoteStream{conn: conn, stream: stream}, nil
}

// remoteStream is a stream to another daemon.
type remoteStream struct {
	conn   *peer.Conn
	stream DRPCQuota_ReportClient
}

func (s *remoteStream) send(usages []Usage) error { return s.stream.Send(reportToWire(usages)) }

func (s *remoteStream) receive() (answer, error) {
	message, err := s.stream.Recv()
	if err != nil {
		return answer{}, err
	}
	return answerFromWire(message), nil
}

func (s *remoteStream) close() { _ = s.conn.Close() }

// localStream connects a daemon that is a home to itself.
type localStream struct {
	quota    *Quota
	ctx      context.Context
	cancel   context.CancelFunc
	follower *follower
}

func (s *localStream) send(usages []Usage) error {
	s.quota.takeReport(s.follower, usages, time.Now())
	return nil
}

func (s *localStream) receive() (answer, error) { return s.quota.nextAnswer(s.ctx, s.follower) }

func (s *localStream) close() {
	s.cancel()
	s.quota.detach(s.follower)
}
