package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// leaveLeadTime is how long before the end of the linger period a stopping
	// daemon announces that its target accepts no new calls.
	leaveLeadTime = 700 * time.Millisecond
	// exitFraction is the part of the stop timeout, as 1/exitFraction, that is kept
	// for the end of the process after the calls in progress have been aborted.
	exitFraction = 6
	// completionFraction is the part of the time before that, as
	// 1/completionFraction, in which no new call of a caller is accepted, so that
	// those accepted before can complete.
	completionFraction = 3
	// leaveTimeout limits how long a stopping daemon waits for its peers to
	// acknowledge that it is leaving.
	leaveTimeout = 700 * time.Millisecond
	// maxAbortTimeout limits how long aborted calls have to write their responses.
	maxAbortTimeout = 200 * time.Millisecond
	// maxFinishLeaveTimeout limits how long a daemon announces that it has stopped.
	maxFinishLeaveTimeout = 400 * time.Millisecond
	// peerAbortLead is how long before the end of the stop timeout the requests of
	// other daemons are aborted; their responses and the last announcement get
	// peerAbortTimeout of that.
	peerAbortLead    = 300 * time.Millisecond
	peerAbortTimeout = 100 * time.Millisecond
	// answerLead is how long before the end of the stop timeout the last bytes of
	// responses must have left.
	answerLead = 200 * time.Millisecond
)

// stopSchedule holds the times at which the phases of a graceful stop begin. A
// phase that takes long does not delay the next one.
type stopSchedule struct {
	// drain is when the target stops accepting new requests.
	drain time.Time
	// refuse is when new calls of callers are refused.
	refuse time.Time
	// finish is when the calls of callers that still wait for a response are aborted.
	finish time.Time
	// abortPeers is when the requests of other daemons are aborted, and responses on their
	// way to callers. Other daemons may still have time to wait for them.
	abortPeers time.Time
	// abortTimeout and finishLeaveTimeout limit what happens after finish.
	abortTimeout, finishLeaveTimeout time.Duration
	// answered is when responses that are still being written are cut.
	answered time.Time
}

// newStopSchedule returns the schedule of a stop that begins at start and has to
// have ended within timeout.
func newStopSchedule(start time.Time, linger, timeout time.Duration) stopSchedule {
	exit := timeout / exitFraction
	finish := timeout - exit
	linger = min(linger, finish-finish/completionFraction)
	return stopSchedule{
		drain:  start.Add(max(linger-leaveLeadTime, 0)),
		refuse: start.Add(linger),
		finish: start.Add(finish),

		abortPeers:         start.Add(max(finish, timeout-peerAbortLead)),
		abortTimeout:       min(maxAbortTimeout, exit*2/5),
		finishLeaveTimeout: min(maxFinishLeaveTimeout, exit*2/5),

		answered: start.Add(timeout - min(answerLead, exit/2)),
	}
}

// stop stops the daemon gracefully within the stop timeout. It returns until when
// responses that are being written may go on.
func (d *Daemon) stop() (answered time.Time) {
	began := time.Now()
	d.log.WithField("stop", call.FormatStop(began)).Infof("stopping daemon on host %s", d.identity.Host)
	schedule := newStopSchedule(began, time.Duration(d.settings.StopLinger), time.Duration(d.settings.StopTimeout))
	ctx, cancel := context.WithDeadline(context.Background(), schedule.finish)
	defer cancel()
	d.stopping.Store(true)
	d.events.Record(timeline.Event{Kind: timeline.Stopping})
	// Callers are asked to open new connections and so move to other daemons. The
	// target keeps accepting calls until shortly before the end of the linger period.
	d.calls.BeginStop(began)
	wait.For(ctx, time.Until(schedule.drain))
	d.calls.Drain()
	var announcement conc.WaitGroup
	announcement.Go(func() { d.announceLeave(ctx) })
	wait.For(ctx, time.Until(schedule.refuse))
	err := d.calls.Shutdown(ctx)
	announcement.Wait()
	if err != nil {
		d.log.WithError(err).Warn("stop timeout")
	}
	if err != nil && schedule.abortPeers.After(schedule.finish) {
		err = d.finishPeerRequests(schedule.abortPeers)
		schedule.abortTimeout = min(schedule.abortTimeout, peerAbortTimeout)
		schedule.finishLeaveTimeout = min(schedule.finishLeaveTimeout, peerAbortTimeout)
	}
	var end conc.WaitGroup
	if err != nil {
		end.Go(func() { d.abortCalls(schedule.abortTimeout) })
	}
	end.Go(func() { d.finishLeave(schedule.finishLeaveTimeout) })
	end.Wait()
	d.events.Record(timeline.Event{Kind: timeline.Stopped})
	return schedule.answered
}

// announceLeave tells the peers that this daemon takes no new work.
func (d *Daemon) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.members.BeginLeave(ctx); err != nil {
		d.log.WithError(err).Warn("could not announce the stop to all peers")
	}
}

// finishPeerRequests ends the calls of callers that wait for a response, so that each still
// gets one, and waits until a time for the responses on their way and the requests of other
// daemons. The error says how many are left.
func (d *Daemon) finishPeerRequests(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return d.calls.AbortCallers(ctx)
}

// abortCalls ends the calls in progress, so that each caller still gets a response.
func (d *Daemon) abortCalls(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.calls.Abort(ctx); err != nil {
		d.log.WithError(err).Warn("not every aborted call wrote its response")
	}
}

// finishLeave tells the peers that this daemon has stopped.
func (d *Daemon) finishLeave(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.members.FinishLeave(ctx); err != nil {
		d.log.WithError(err).Debug("could not announce the end of the process to all peers")
	}
}
