package once

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Limits of the keys that a home accepts and remembers.
const (
	// KeyTTL is how long after its timestamp a key may be run or replayed.
	KeyTTL = 5 * time.Minute
	// MaxFutureSkew is how far the timestamp of a key may be ahead of the home's
	// clock.
	MaxFutureSkew = 2 * time.Second
	// MaxBackwardStep is how far a host's clock may step back over a restart.
	MaxBackwardStep = time.Second
	// restartMargin is the range of key timestamps after a start that an earlier
	// process of the host may have accepted, the last millisecond included.
	restartMargin = MaxFutureSkew + MaxBackwardStep + time.Millisecond
	// DefaultMaxKeys bounds the remembered keys.
	DefaultMaxKeys = 1 << 17
	// DefaultMaxResponseBytes bounds the stored responses, in bytes.
	DefaultMaxResponseBytes = 32 << 20
)

// Options configures a Deduplicator.
type Options struct {
	// Host is the name of this host, used by one process at a time.
	Host        string
	Incarnation uint64
	// Started is the time at which this process started by the host's clock.
	Started time.Time
	Now     func() time.Time
	// MaxKeys and MaxResponseBytes have defaults when 0.
	MaxKeys          int
	MaxResponseBytes int
	Events           timeline.Recorder
	Metrics          *metrics.Set
}

// Deduplicator remembers the keys that this host ran and runs each at most once.
type Deduplicator struct {
	options Options
	// earliestMillis is the first key timestamp that no earlier process of the host
	// can have accepted.
	earliestMillis int64
	homes          *homeResolver

	mu    sync.Mutex
	store *keyStore
}

// NewDeduplicator returns the deduplicator of one daemon process.
func NewDeduplicator(options Options) *Deduplicator {
	if options.MaxKeys == 0 {
		options.MaxKeys = DefaultMaxKeys
	}
	if options.MaxResponseBytes == 0 {
		options.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Events == nil {
		options.Events = timeline.Discard{}
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	deduplicator := &Deduplicator{
		options:        options,
		earliestMillis: options.Started.Add(restartMargin).UnixMilli(),
		homes:          newHomeResolver(),
		store:          newKeyStore(options.MaxKeys, options.MaxResponseBytes),
	}
	options.Metrics.GetOrCreateGauge("mulberrybank_once_keys", deduplicator.keyCount)
	return deduplicator
}

// Home returns the host that may run a key. The error is a *Refusal.
func (d *Deduplicator) Home(grants Grants, service, text string) (string, error) {
	key, err := ParseKey(text)
	if err != nil {
		return "", &Refusal{Reason: InvalidKey, Detail: err.Error()}
	}
	return d.homes.home(grants, service, key)
}

// Claim claims a key on its home. It returns a Claim that must be ended by
// Complete or Release, a Claim that replays a stored response, or a *Refusal.
func (d *Deduplicator) Claim(grants Grants, service, text string) (*Claim, error) {
	claim, err := d.claim(grants, service, text)
	if err != nil {
		d.recordRefusal(service, text, err)
		return nil, err
	}
	return claim, nil
}

func (d *Deduplicator) claim(grants Grants, service, text string) (*Claim, error) {
	key, err := ParseKey(text)
	if err != nil {
		return nil, &Refusal{Reason: InvalidKey, Detail: err.Error()}
	}
	home, err := d.homes.home(grants, service, key)
	if err != nil {
		return nil, err
	}
	if home != d.options.Host {
		return nil, &Refusal{Reason: NotHome, Detail: "the home is " + home, EarlierMayHaveRun: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.admit(entryID{service: service, key: key})
}

// admit decides on a key whose home is this host.
func (d *Deduplicator) admit(id entryID) (*Claim, error) {
	now := d.options.Now()
	d.store.raiseWatermark(now.Add(-KeyTTL).UnixMilli())
	if err := d.checkTimestamp(id.key.Millis(), now); err != nil {
		return nil, err
	}
	existing := d.store.entries[id]
	if existing == nil {
		return &Claim{deduplicator: d, entry: d.store.insert(id)}, nil
	}
	if existing.response != nil {
		return &Claim{replay: existing.response}, nil
	}
	if !existing.ended {
		return nil, &Refusal{
			Reason:            InProgress,
			Detail:            "another attempt with the key is running",
			EarlierMayHaveRun: true,
			Done:              existing.done,
		}
	}
	return nil, &Refusal{
		Reason:            AlreadyRan,
		Detail:            "the response of the earlier attempt is not stored",
		EarlierMayHaveRun: true,
	}
}

// checkTimestamp refuses keys that this process cannot be sure to remember.
func (d *Deduplicator) checkTimestamp(millis int64, now time.Time) error {
	switch {
	case millis > now.Add(MaxFutureSkew).UnixMilli():
		return &Refusal{
			Reason:            FutureKey,
			Detail:            fmt.Sprintf("the timestamp of the key is %d ms ahead", millis-now.UnixMilli()),
			EarlierMayHaveRun: true,
		}
	case millis < d.earliestMillis:
		return &Refusal{
			Reason:            BeforeStart,
			Detail:            "an earlier process of the home may have run the key",
			EarlierMayHaveRun: true,
		}
	case millis < d.store.watermark:
		return &Refusal{
			Reason:            ExpiredKey,
			Detail:            "the key is older than the keys that the home still remembers",
			EarlierMayHaveRun: true,
		}
	}
	return nil
}

func (d *Deduplicator) recordRefusal(service, text string, err error) {
	refusal, ok := err.(*Refusal)
	if !ok {
		return
	}
	name := fmt.Sprintf("mulberrybank_once_refusals_total{reason=%q}", refusal.Reason)
	d.options.Metrics.GetOrCreateCounter(name).Inc()
	d.options.Events.Record(timeline.Event{
		Kind:    timeline.KeyRefused,
		Key:     text,
		Service: service,
		Outcome: string(refusal.Reason),
		Detail:  refusal.Detail,
	})
}

func (d *Deduplicator) keyCount() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(len(d.store.entries))
}
