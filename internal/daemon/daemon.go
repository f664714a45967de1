// Package daemon creates the components of one daemon process and runs them.
package daemon

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/call"
	"github.com/mulberrybank/mulberrybank/internal/clientlimit"
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
	"github.com/mulberrybank/mulberrybank/internal/secure"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Options configures a Daemon.
type Options struct {
	Settings *settings.Settings
	// Log replaces the client of the platform's log in tests.
	Log platform.Log
	// Dial replaces the connections between daemons in tests.
	Dial peer.DialFunc
	// Logger receives the log lines; nil discards them.
	Logger *logrus.Logger
	// Adapter translates the interfaces of callers, the target and the platform;
	// nil uses the built-in interfaces.
	Adapter Adapter
}

// Daemon is one daemon process.
type Daemon struct {
	settings *settings.Settings
	// reloaded holds the settings of the last reload, nil before the first.
	reloaded  atomic.Pointer[settings.Settings]
	adapter   Adapter
	stopping  atomic.Bool
	started   time.Time
	identity  peer.Identity
	logger    *logrus.Logger
	log       *logrus.Entry
	listeners listeners
	metrics   *metrics.Set
	traffic   *peer.TrafficCounter
	clients   *clientlimit.Limiter
	events    *timeline.Buffer

	server      *peer.Server
	enforcer    *enforce.Enforcer
	distributor *distribute.Distributor
	members     *membership.Membership
	router      *route.Router
	calls       *call.Server
	// rollouts is nil when rollouts are off.
	rollouts     *rollout.Rollouts
	deduplicator *once.Deduplicator
	proposer     *once.Proposer
	// quotas is nil when they are off.
	quotas *quota.Quota
	admin  *admin.Server
	// tlsIdentity is nil when TLS is off.
	tlsIdentity *secure.Identity
	platformLog platform.Log
}

// New loads the TLS identity, opens every listener and creates the components.
// No task is started before Run.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings:    options.Settings,
		logger:      options.Logger,
		metrics:     metrics.NewSet(),
		traffic:     peer.NewTrafficCounter(),
		platformLog: options.Log,
		adapter:     options.Adapter,
		started:     time.Now(),
	}
	if d.logger == nil {
		d.logger = logging.Discard()
	}
	d.log = logging.ForComponent(d.logger, "daemon")
	d.identity = peer.Identity{
		Host:        options.Settings.Host,
		Zone:        options.Settings.Zone,
		Region:      options.Settings.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	if err := d.loadTLSIdentity(); err != nil {
		return nil, fmt.Errorf("start %s: %w", d.identity.Host, err)
	}
	if err := d.listeners.open(&d.settings.Listen); err != nil {
		return nil, fmt.Errorf("start %s: %w", d.identity.Host, err)
	}
	d.limitClients()
	d.wrapListenersInTLS()
	if err := d.build(options); err != nil {
		d.listeners.close()
		return nil, fmt.Errorf("start %s: %w", d.identity.Host, err)
	}
	return d, nil
}

// Identity returns the identity of this process.
func (d *Daemon) Identity() peer.Identity { return d.identity }

// Addresses returns the addresses on which the daemon listens, with the ports
// chosen by the system.
func (d *Daemon) Addresses() settings.Listen { return d.settings.Listen }

// Events returns the timeline events retained by this process.
func (d *Daemon) Events() []timeline.Event { return d.events.Events() }

// Version returns the version of the active configuration, 0 for none.
func (d *Daemon) Version() publish.Version {
	table := d.enforcer.Table()
	if table == nil {
		return 0
	}
	return table.Config.Version
}

// Traffic returns the control traffic in bytes by kind and scope.
func (d *Daemon) Traffic() map[peer.TrafficClass]peer.ByteCounts { return d.traffic.Snapshot() }

// Settings returns the current settings, as changed by the last reload.
func (d *Daemon) Settings() *settings.Settings {
	if reloaded := d.reloaded.Load(); reloaded != nil {
		return reloaded
	}
	return d.settings
}

// isolatedReadyDelay is how long after its start a daemon that knows no other host
// becomes ready anyway.
const isolatedReadyDelay = 2 * time.Second

// Ready reports whether this daemon accepts callers: it has an active
// configuration, knows other hosts or has waited for them, and is not stopping.
func (d *Daemon) Ready() bool {
	if d.enforcer.Table() == nil || d.stopping.Load() {
		return false
	}
	return d.members.View().Members.Len() > 1 || time.Since(d.started) > isolatedReadyDelay
}
