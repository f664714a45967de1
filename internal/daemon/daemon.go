// Package daemon builds one daemon from the slices and runs it.
package daemon

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

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
	"github.com/mulberrybank/mulberrybank/internal/route"
	"github.com/mulberrybank/mulberrybank/internal/secure"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Options of one daemon.
type Options struct {
	Settings *settings.Settings
	// Log replaces the client of the platform's log, for tests.
	Log platform.Log
	// Dial replaces plain TCP between daemons, for tests.
	Dial peer.DialFunc
	// Logger is where the daemon logs; nil discards.
	Logger *logrus.Logger
	// Adapter speaks to callers, the target and the platform, nil for the
	// mesh's own interfaces.
	Adapter Adapter
}

// Daemon is one process of the system.
type Daemon struct {
	settings *settings.Settings
	// reloaded holds the settings of the last reload, nil before one.
	reloaded atomic.Pointer[settings.Settings]
	adapter  Adapter
	stopping atomic.Bool
	started  time.Time
	identity peer.Identity
	logger   *logrus.Logger
	log      *logrus.Entry
	listen   listeners
	metrics  *metrics.Set
	traffic  *peer.TrafficCounter
	events   *timeline.Buffer

	server      *peer.Server
	enforcer    *enforce.Enforcer
	distributor *distribute.Distributor
	members     *membership.Membership
	router      *route.Router
	calls       *call.Server
	keeper      *once.Deduplicator
	proposer    *once.Proposer
	admin       *admin.Server
	// identity for TLS, nil in plain text.
	secure   *secure.Identity
	platform platform.Log
}

// New checks the settings, opens every listener and builds the slices.
// Nothing runs until Run.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings: options.Settings,
		logger:   options.Logger,
		metrics:  metrics.NewSet(),
		traffic:  peer.NewTrafficCounter(),
		platform: options.Log,
		adapter:  options.Adapter,
		started:  time.Now(),
	}
	if d.logger == nil {
		d.logger = logging.Discard()
	}
	d.log = logging.Part(d.logger, "daemon")
	d.identity = peer.Identity{
		Host:        options.Settings.Host,
		Zone:        options.Settings.Zone,
		Region:      options.Settings.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	if err := d.loadIdentity(); err != nil {
		return nil, fmt.Errorf("start %s: %w", d.identity.Host, err)
	}
	if err := d.listen.open(&d.settings.Listen); err != nil {
		return nil, fmt.Errorf("start %s: %w", d.identity.Host, err)
	}
	d.secureListeners()
	if err := d.build(options); err != nil {
		d.listen.close()
		return nil, fmt.Errorf("start %s: %w", d.identity.Host, err)
	}
	return d, nil
}

// Identity names this process.
func (d *Daemon) Identity() peer.Identity { return d.identity }

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() settings.Listen { return d.settings.Listen }

// Events returns the events still kept by this process.
func (d *Daemon) Events() []timeline.Event { return d.events.Events() }

// Version returns the version in force, 0 for none.
func (d *Daemon) Version() publish.Version {
	table := d.enforcer.Table()
	if table == nil {
		return 0
	}
	return table.Config.Version
}

// Traffic returns the control bytes by kind and scope.
func (d *Daemon) Traffic() map[peer.TrafficClass]peer.ByteCounts { return d.traffic.Snapshot() }

// Settings returns the settings in force.
func (d *Daemon) Settings() *settings.Settings {
	if reloaded := d.reloaded.Load(); reloaded != nil {
		return reloaded
	}
	return d.settings
}

// aloneTime is how long after its start a daemon that has heard of no other host
// waits before it takes callers all the same.
const aloneTime = 2 * time.Second

// Ready reports whether this daemon takes callers: it has configuration in
// force, has heard of other hosts or waited for them, and does not stop.
func (d *Daemon) Ready() bool {
	if d.enforcer.Table() == nil || d.stopping.Load() {
		return false
	}
	return len(d.members.View().Members) > 1 || time.Since(d.started) > aloneTime
}
