package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// floorTimeout limits how long a starting daemon queries peers for the offset
	// floor of this host.
	floorTimeout = 2 * time.Second
	// membersDelay is how long a starting daemon waits for its peers to report the
	// other members.
	membersDelay = 500 * time.Millisecond
	// firstStartTimeout limits the wait for other hosts when all daemons start for
	// the first time.
	firstStartTimeout = time.Second
	// eventSampleRatio is the share of calls whose events are kept, besides those
	// that fail, are retried or carry a key.
	eventSampleRatio = 0.01
)

// Run serves until ctx is cancelled or a component fails, then stops gracefully: it
// announces to its peers that it is leaving, refuses new calls and finishes those in
// progress. It returns the first error of a component.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Infof("starting daemon on host %s in zone %s", d.identity.Host, d.identity.Zone)
	d.events.Record(timeline.Event{Kind: timeline.Started})
	// The components outlive ctx, because a graceful stop still needs them.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	running := newComponents()
	running.maxHead = int(d.settings.Clients.MaxHead)
	d.startComponents(runCtx, running)
	select {
	case <-ctx.Done():
	case <-running.failed:
		d.log.WithError(running.err).Error("component failed, stopping daemon")
	}
	running.answerUntil = d.stop()
	cancel()
	if err := running.wait(); err != nil {
		return fmt.Errorf("run %s: %w", d.identity.Host, err)
	}
	d.log.Infof("daemon on host %s stopped", d.identity.Host)
	return nil
}

// startComponents starts the listeners and the other components.
func (d *Daemon) startComponents(ctx context.Context, c *components) {
	c.start(ctx, func(ctx context.Context) error { return d.server.Serve(ctx, d.listeners.control) })
	c.startCalls(ctx, d.listeners.callers, d.callerHandler())
	c.startCalls(ctx, d.listeners.calls, d.calls.PeerHandler())
	c.startHTTP(ctx, d.listeners.admin, d.admin.Handler())
	c.startHTTP(ctx, d.listeners.target, d.announceHandler())
	if d.listeners.ready != nil {
		c.startHTTP(ctx, d.listeners.ready, d.readyHandler())
	}
	if d.listeners.metrics != nil {
		c.startHTTP(ctx, d.listeners.metrics, d.metricsHandler())
	}
	c.start(ctx, d.members.Run)
	c.start(ctx, d.distributeAboveFloor)
	c.start(ctx, d.logVersions)
	if d.settings.Keys != settings.SwitchOff {
		c.start(ctx, d.proposer.Run)
	}
	if d.quotas != nil {
		c.start(ctx, d.quotas.Run)
	}
	if d.rollouts != nil {
		c.start(ctx, d.rollouts.Run)
	}
	if d.tlsIdentity != nil {
		c.start(ctx, d.tlsIdentity.Run)
	}
}

// distributeAboveFloor queries peers for the offset that was active on this host
// and then runs the distributor, so that no configuration below that offset is
// activated.
func (d *Daemon) distributeAboveFloor(ctx context.Context) error {
	queryCtx, cancel := context.WithTimeout(ctx, floorTimeout)
	floor, answered := d.members.QueryOffsetFloor(queryCtx)
	cancel()
	d.enforcer.RaiseFloor(floor)
	d.log.Infof("offset floor is %d, %d peers answered", floor, answered)
	if answered > 0 {
		// A daemon that knows few hosts of its zone would choose itself as a
		// reader of the log. The peers that answered report the other members.
		wait.For(ctx, membersDelay)
	}
	if d.settings.FirstStart == settings.SwitchOn {
		d.awaitMembers(ctx)
	}
	return d.distributor.Run(ctx)
}

// logVersions logs each configuration version that becomes active.
func (d *Daemon) logVersions(ctx context.Context) error {
	logged := publish.Version(0)
	for {
		changed := d.enforcer.Changed()
		if version := d.Version(); version != logged {
			logged = version
			offset, _ := d.enforcer.Position()
			d.log.WithFields(logrus.Fields{"version": version, "offset": offset, "source": d.distributor.Source()}).Info("configuration version activated")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// awaitMembers waits until another host is known and has had time to report the
// others. Otherwise each of many daemons that start together for the first time
// would read the log.
func (d *Daemon) awaitMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstStartTimeout)
	defer cancel()
	for {
		changed := d.members.Changed()
		if d.members.View().Members.Len() > 1 {
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
