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

// Options are what a Membership needs. Self, Identity and Dialer are required.
type Options struct {
	// Self holds the host, zone, region and addresses of this daemon.
	Self     Member
	Identity peer.Identity
	Dialer   *peer.Dialer
	// Seeds are control addresses of daemons to ask first.
	Seeds []string
	// AppliedPosition returns the highest offset in force here and the digest of its fold.
	AppliedPosition func() (offset uint64, digest []byte)
	// OnPeerPosition is told the position of a peer with every heartbeat.
	OnPeerPosition func(host, control string, offset uint64, digest []byte)
	// LeaseDuration is how long an announcement of the target holds without renewal, 0
	// for announcementLease.
	LeaseDuration time.Duration
	// HostLog is a log in which daemons find each other without seeds, nil for
	// none.
	HostLog platform.KeyedLog
	Events  timeline.Recorder
	Logger  *logrus.Logger
	Metrics *metrics.Set
}

// withDefaults returns options in which nothing optional is nil.
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

// jitter returns a duration between a half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
