package daemon

import (
	"cmp"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/distribute"
	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/quota"
	"github.com/mulberrybank/mulberrybank/internal/rollout"
	"github.com/mulberrybank/mulberrybank/internal/route"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// build creates the components and connects them.
func (d *Daemon) build(options Options) error {
	clock := timeline.NewClock(time.Now)
	d.events = timeline.NewBuffer(clock, d.identity.Host, d.identity.Zone, d.identity.Incarnation, d.settings.Timeline.Events)
	if d.platformLog == nil {
		d.platformLog = d.newLogClient()
	}
	d.enforcer = enforce.New(publish.NewStateMachine(), d.events)
	d.server = peer.NewServer(d.identity, d.traffic, logging.ForComponent(d.logger, "peer"))
	d.server.RegisterMetrics(d.metrics)
	d.traffic.RegisterMetrics(d.metrics)
	if options.Dial == nil && d.tlsIdentity != nil {
		options.Dial = d.tlsIdentity.PeerDialFunc()
	}
	dialer := peer.NewDialer(d.identity, d.traffic, options.Dial)
	if err := d.buildMembership(dialer); err != nil {
		return err
	}
	if err := d.buildDistribution(dialer); err != nil {
		return err
	}
	if err := d.buildQuotas(dialer); err != nil {
		return err
	}
	if err := d.buildCalls(clock, dialer, call.DialFunc(options.Dial)); err != nil {
		return err
	}
	d.buildAdmin()
	d.events.RegisterMetrics(d.metrics)
	d.metrics.NewGauge(`mulberrybank_log_lines_dropped`, func() float64 { return float64(logging.DroppedLines()) })
	d.metrics.RegisterMetricsWriter(metrics.WriteProcessMetrics)
	return nil
}

func (d *Daemon) buildMembership(dialer *peer.Dialer) error {
	hostLog, _ := d.platformLog.(platform.KeyedLog)
	d.members = membership.New(membership.Options{
		Self: membership.Member{
			Host:           d.identity.Host,
			Zone:           d.identity.Zone,
			Region:         d.identity.Region,
			ControlAddress: cmp.Or(d.settings.Advertise.Control, d.settings.Listen.Control),
			CallsAddress:   cmp.Or(d.settings.Advertise.Calls, d.settings.Listen.Calls),
		},
		Identity:        d.identity,
		Dialer:          dialer,
		Seeds:           d.settings.Peers,
		AppliedPosition: d.enforcer.Position,
		OnPeerPosition:  d.reportPeerPosition,
		LeaseDuration:   time.Duration(d.settings.Target.Lease),
		HostLog:         hostLog,
		Events:          d.events,
		Logger:          d.logger,
		Metrics:         d.metrics,
	})
	return d.members.Register(d.server.Mux())
}

// reportPeerPosition reports the offset and digest of a peer to the distributor.
func (d *Daemon) reportPeerPosition(host, controlAddress string, offset uint64, digest []byte) {
	d.distributor.ReportPeerOffset(host, controlAddress, offset)
	d.distributor.CompareDigest(host, offset, digest)
}

func (d *Daemon) buildDistribution(dialer *peer.Dialer) error {
	d.distributor = distribute.New(distribute.Options{
		Self:             d.identity,
		Log:              d.platformLog,
		Enforcer:         d.enforcer,
		Directory:        d.members,
		Dialer:           dialer,
		Peers:            d.settings.Peers,
		Events:           d.events,
		Logger:           d.logger,
		Metrics:          d.metrics,
		Timing:           timingFor(d.settings.Pace),
		DisableSnapshots: d.settings.Snapshots == settings.SwitchOff,
	})
	return d.distributor.Register(d.server.Mux())
}

// buildQuotas creates the quotas of client workspaces, unless they are off.
func (d *Daemon) buildQuotas(dialer *peer.Dialer) error {
	if d.settings.Quota.Window == 0 {
		return nil
	}
	d.quotas = quota.New(quota.Options{
		Self:      d.identity,
		Directory: d.members,
		Dialer:    dialer,
		Limit:     d.quotaLimit,
		Bound: quota.Bound{
			Window:  time.Duration(d.settings.Quota.Window),
			Overage: d.settings.Quota.Overage,
			Slack:   d.settings.Quota.Slack,
		},
		Logger:  d.logger,
		Metrics: d.metrics,
	})
	return d.quotas.Register(d.server.Mux())
}

// quotaLimit returns the limit of a client workspace in the configuration in force.
func (d *Daemon) quotaLimit(workspace string) (quota.Limit, bool) {
	table := d.enforcer.Table()
	if table == nil {
		return quota.Limit{}, false
	}
	for _, publisher := range table.Config.Workspaces {
		if publisher.Clients == nil {
			continue
		}
		if client := publisher.Clients.Named(workspace); client != nil {
			return quota.Limit{Rate: client.Rate, Burst: client.Burst}, true
		}
	}
	return quota.Limit{}, false
}

// quotaLimiter returns the limiter for calls, nil when quotas are off.
func (d *Daemon) quotaLimiter() call.QuotaLimiter {
	if d.quotas == nil {
		return nil
	}
	return d.quotas
}

// buildRollouts returns nil if rollouts are off.
func (d *Daemon) buildRollouts(dialer *peer.Dialer) (call.VersionPicker, error) {
	if d.settings.Rollout.CanaryShare <= 0 {
		return nil, nil
	}
	statusLog, _ := d.platformLog.(platform.KeyedLog)
	d.rollouts = rollout.New(rollout.Options{
		Self:      d.identity,
		Limits:    rollout.Limits{CanaryShare: d.settings.Rollout.CanaryShare, Slack: d.settings.Rollout.CanarySlack},
		Config:    d.enforcer,
		Directory: d.members,
		Dialer:    dialer,
		Log:       statusLog,
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	return d.rollouts, d.rollouts.Register(d.server.Mux())
}

func (d *Daemon) buildCalls(clock *timeline.Clock, dialer *peer.Dialer, dialPeers call.DialFunc) error {
	d.router = route.New(route.Options{
		Directory: d.members,
		Self:      d.identity,
		Metrics:   d.metrics,

		AdaptiveConcurrency: d.settings.AdaptiveConcurrency == settings.SwitchOn,
	})
	d.deduplicator = once.NewDeduplicator(once.Options{
		Host:        d.identity.Host,
		Incarnation: d.identity.Incarnation,
		Started:     time.Now(),
		Events:      d.events,
		Metrics:     d.metrics,
	})
	d.proposer = once.NewProposer(once.ProposerOptions{
		Host:      d.identity.Host,
		Log:       d.platformLog,
		Directory: d.members,
		Chain:     grantChain{d.enforcer},
		Encode:    publish.EncodeGrant,
		Events:    d.events,
		Logger:    d.logger,
	})
	versions, err := d.buildRollouts(dialer)
	if err != nil {
		return err
	}
	d.calls = call.New(call.Options{
		Self:            d.identity,
		Config:          d.enforcer,
		Directory:       d.members,
		Target:          localTarget{d.members},
		Dialect:         d.dialect(),
		OnTargetLeaving: d.members.RecordTargetLeaving,
		OnRefused:       d.clients.NoteRefusal,
		RetrySlack:      d.settings.Retries.Slack,
		RetryRatio:      d.settings.Retries.Ratio,
		Keys:            idempotencyKeys{d.deduplicator},
		Versions:        versions,
		Router:          d.router,
		Events:          d.events,
		Clock:           clock,
		Logger:          d.logger,
		Metrics:         d.metrics,
		Quota:           d.quotaLimiter(),
		DialPeers:       dialPeers,
		SampleRatio:     eventSampleRatio,
		LinkMbps:        d.settings.LinkMbps,

		AdaptiveConcurrency: d.settings.AdaptiveConcurrency == settings.SwitchOn,
	})
	return nil
}

func (d *Daemon) buildAdmin() {
	d.admin = admin.New(admin.Options{
		Host:        d.identity.Host,
		Zone:        d.identity.Zone,
		Submitter:   publish.NewSubmitter(d.platformLog, d.enforcer),
		Enforcer:    d.enforcer,
		Archive:     &admin.LogArchive{Log: d.platformLog, DecodeState: distribute.DecodeSnapshotState},
		Directory:   d.members,
		Convergence: d.convergence,
		Staleness:   d.staleness,
		Drainer:     drainer{d.members},
		Rollouts:    d.rolloutList(),
		Timeline:    d.events.Handler(),
		Authorizer:  d.authorizer(),
		Quota:       d.quota(),
		MaxBody:     int64(d.settings.Admin.MaxBody),
		Logger:      d.logger,
		Metrics:     d.metrics,
	})
}

// timingFor returns the distribution timing for a value of Settings.Pace.
func timingFor(pace string) distribute.Timing {
	if pace == settings.PaceFast {
		return distribute.FastTiming
	}
	return distribute.DefaultTiming
}

// rolloutList returns the function that lists the rollouts for the administration API,
// nil if they are off.
func (d *Daemon) rolloutList() func() []admin.Rollout {
	if d.rollouts == nil {
		return nil
	}
	return func() (list []admin.Rollout) {
		for _, known := range d.rollouts.Snapshots() {
			list = append(list, admin.Rollout{
				Service:       known.Order.Service,
				TargetVersion: known.Order.Version,
				State:         known.State.String(),
				Step:          known.Step.String(),
				SharePermille: int(math.Round(1000 * known.Share)),
				Reason:        known.Reason,
				Recorded:      known.Recorded,
				Home:          known.Home,
				KnownSince:    known.KnownSince,
				Deadline:      known.KnownSince.Add(known.Order.Duration),
				SentOld:       known.SentOld,
				SentNew:       known.SentNew,
				Counts:        known.Counts,
			})
		}
		return list
	}
}
