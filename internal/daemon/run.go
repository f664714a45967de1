package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// floorTimeout bounds how long a start asks peers for the floor of this host.
	floorTimeout = 2 * time.Second
	// membersDelay is how long a start waits for its peers' word of the others.
	membersDelay = 500 * time.Millisecond
	// firstMembersTimeout bounds the wait for other hosts at the first start of all.
	firstMembersTimeout = time.Second
	// leaveTime is how long before the end of its linger a stopping daemon tells
	// the others that its target takes no new calls.
	leaveTime = 700 * time.Millisecond
	// eventSampleShare is the share of ordinary calls whose events are kept.
	eventSampleShare = 0.01
)

// Run serves until ctx ends, then stops in order: it tells its peers that it
// leaves, takes no new calls and finishes those in progress.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Infof("host %s in zone %s starts", d.identity.Host, d.identity.Zone)
	d.events.Record(timeline.Event{Kind: timeline.Started})
	// The slices outlive ctx, so that a stop in order can still use them.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tasks := pool.New().WithContext(inner).WithCancelOnError().WithFirstError()
	d.start(tasks)
	tasks.Go(func(inner context.Context) error {
		defer cancel()
		select {
		case <-ctx.Done():
			d.stop()
		case <-inner.Done():
		}
		return nil
	})
	if err := tasks.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run %s: %w", d.identity.Host, err)
	}
	d.log.Infof("host %s has stopped", d.identity.Host)
	return nil
}

// start begins the task of each listener and each slice.
func (d *Daemon) start(tasks *pool.ContextPool) {
	tasks.Go(func(ctx context.Context) error { return d.server.Serve(ctx, d.listen.control) })
	tasks.Go(func(ctx context.Context) error { return serveHTTP(ctx, d.listen.callers, d.callerHandler()) })
	tasks.Go(func(ctx context.Context) error { return serveHTTP(ctx, d.listen.calls, d.calls.PeerHandler()) })
	tasks.Go(func(ctx context.Context) error { return serveHTTP(ctx, d.listen.admin, d.admin.Handler()) })
	tasks.Go(func(ctx context.Context) error { return serveHTTP(ctx, d.listen.target, d.announceHandler()) })
	if d.listen.ready != nil {
		tasks.Go(func(ctx context.Context) error { return serveHTTP(ctx, d.listen.ready, d.readyHandler()) })
	}
	if d.listen.metrics != nil {
		tasks.Go(func(ctx context.Context) error { return serveHTTP(ctx, d.listen.metrics, d.metricsHandler()) })
	}
	tasks.Go(d.members.Run)
	tasks.Go(d.distributeAboveFloor)
	tasks.Go(d.logVersions)
	if d.settings.Keys != settings.SwitchOff {
		tasks.Go(d.proposer.Run)
	}
	if d.secure != nil {
		tasks.Go(d.secure.Run)
	}
}

// distributeAboveFloor asks peers which offset was in force on this host
// before it takes configuration, so that none below it is ever in force.
func (d *Daemon) distributeAboveFloor(ctx context.Context) error {
	asked, cancel := context.WithTimeout(ctx, floorTimeout)
	floor, answered := d.members.QueryOffsetFloor(asked)
	cancel()
	d.enforcer.RaiseFloor(floor)
	d.log.Infof("floor is %d by %d peers", floor, answered)
	if answered > 0 {
		// A daemon that knows few hosts of its zone takes itself for a reader
		// of the log; peers that answered tell of the others.
		wait.For(ctx, membersDelay)
	}
	if d.settings.FirstStart == settings.SwitchOn {
		d.awaitMembers(ctx)
	}
	return d.distributor.Run(ctx)
}

// logVersions writes a line for each version that comes into force.
func (d *Daemon) logVersions(ctx context.Context) error {
	logged := publish.Version(0)
	for {
		changed := d.enforcer.Changed()
		if version := d.Version(); version != logged {
			logged = version
			offset, _ := d.enforcer.Position()
			d.log.WithFields(logrus.Fields{"version": version, "offset": offset, "source": d.distributor.Source()}).Info("version is in force")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// awaitMembers waits until another host is known and has told of the others, so
// that a first start of many does not make each of them read the log.
func (d *Daemon) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstMembersTimeout)
	defer cancel()
	for {
		changed := d.members.Changed()
		if len(d.members.View().Members) > 1 {
			wait.For(ctx, membersDelay)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// stop ends the daemon's work in order within the stop timeout.
func (d *Daemon) stop() {
	d.log.Infof("host %s stops", d.identity.Host)
	began := time.Now()
	d.stopping.Store(true)
	d.events.Record(timeline.Event{Kind: timeline.Stopping})
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.StopTimeout))
	defer cancel()
	// Callers learn of the stop and move; the target keeps its capacity until
	// just before the end.
	d.calls.DisableKeepAlives()
	linger := time.Duration(d.settings.StopLinger)
	wait.For(ctx, linger-leaveTime)
	if err := d.members.BeginLeave(ctx); err != nil {
		d.log.WithError(err).Warn("some peers were not told of the stop")
	}
	if err := d.calls.Drain(ctx); err != nil {
		d.log.WithError(err).Warn("calls in progress were cut")
	}
	wait.For(ctx, time.Until(began.Add(linger)))
	if err := d.calls.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("calls in progress were cut")
	}
	if err := d.members.FinishLeave(ctx); err != nil {
		d.log.WithError(err).Debug("some peers were not told of the end")
	}
	d.events.Record(timeline.Event{Kind: timeline.Stopped})
}
