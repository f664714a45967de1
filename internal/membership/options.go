package membership

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/peer"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Options configure a Membership. Self, Identity and Dialer are required.
type Options struct {
	// Self holds the host, zone, region and addresses of this daemon.
	Self     Member
	Identity peer.Identity
	Dialer   *peer.Dialer
	// Seeds are the control addresses of the daemons to dial first.
	Seeds []string
	// AppliedPosition returns the highest configuration offset applied on this
	// host and the digest of the configuration at that offset.
	AppliedPosition func() (offset uint64, digest []byte)
	// OnPeerPosition is called after every heartbeat with the applied position of
	// the peer.
	OnPeerPosition func(host, control string, offset uint64, digest []byte)
	// LeaseDuration is how long an announcement of the target holds without
	// renewal, 0 for defaultLeaseDuration.
	LeaseDuration time.Duration
	// HostLog is a log through which daemons discover each other without seeds.
	// It may be nil.
	HostLog platform.KeyedLog
	Events  timeline.Recorder
	Logger  *logrus.Logger
	Metrics *metrics.Set
}

// withDefaults returns the options with defaults for AppliedPosition,
// OnPeerPosition, Events, Logger and Metrics.
func (o Options) withDefaults() Options {
	if o.AppliedPosition == nil {
		o.AppliedPosition = func() (uint64, []byte) { return 0, nil }
	}
	if o.OnPeerPosition == nil {
		o.OnPeerPosition = func(string, string, uint64, []byte) {}
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

// jitter returns a random duration between d/2 and 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
