package once

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Limits of what a home takes and remembers.
const (
	// KeyWindow is how long after its time a key may be run or replayed.
	KeyWindow = 5 * time.Minute
	// MaxAhead is how far the time of a key may lie ahead of the home's clock.
	MaxAhead = 2 * time.Second
	// MaxClockStep is how far a host's clock may step back over a restart.
	MaxClockStep = time.Second
	// startMargin is the key time after a start that an earlier process of the
	// host may have taken, the last millisecond included.
	startMargin = MaxAhead + MaxClockStep + time.Millisecond
	// DefaultMaxKeys bounds the keys remembered.
	DefaultMaxKeys = 1 << 17
	// DefaultMaxResponseBytes bounds the answers stored, in bytes.
	DefaultMaxResponseBytes = 32 << 20
)

// Options of a keeper.
type Options struct {
	// Host is the name of this host; one process bears it at a time.
	Host        string
	Incarnation uint64
	// Started is the time at which this process started by the host's clock.
	Started time.Time
	Now     func() time.Time
	// MaxKeys and MaxAnswerBytes are defaults when 0.
	MaxKeys          int
	MaxResponseBytes int
	Events           timeline.Recorder
	Metrics          *metrics.Set
}

// Deduplicator remembers the keys that this host ran and lets each run once.
type Deduplicator struct {
	options  Options
	earliest int64
	homes    *homeTable

	mu     sync.Mutex
	memory *memory
}

// NewDeduplicator returns the keeper of one daemon process.
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
	keeper := &Deduplicator{
		options:  options,
		earliest: options.Started.Add(startMargin).UnixMilli(),
		homes:    newHomeTable(),
		memory:   newMemory(options.MaxKeys, options.MaxResponseBytes),
	}
	options.Metrics.GetOrCreateGauge("mulberrybank_once_keys", keeper.keys)
	return keeper
}

// Home returns the host that may run a key. The error is a *Refusal.
func (k *Deduplicator) Home(grants Grants, service, text string) (string, error) {
	key, err := ParseKey(text)
	if err != nil {
		return "", &Refusal{Reason: InvalidKey, Detail: err.Error()}
	}
	return k.homes.home(grants, service, key)
}

// Claim admits the first attempt with a key on its home. It returns a Run
// that must be ended by Finish or Abandon, a Run that replays a stored answer,
// or a *Refusal.
func (k *Deduplicator) Claim(grants Grants, service, text string) (*Claim, error) {
	run, err := k.begin(grants, service, text)
	if err != nil {
		k.refused(service, text, err)
		return nil, err
	}
	return run, nil
}

func (k *Deduplicator) begin(grants Grants, service, text string) (*Claim, error) {
	key, err := ParseKey(text)
	if err != nil {
		return nil, &Refusal{Reason: InvalidKey, Detail: err.Error()}
	}
	home, err := k.homes.home(grants, service, key)
	if err != nil {
		return nil, err
	}
	if home != k.options.Host {
		return nil, &Refusal{Reason: NotHome, Detail: "the home is " + home, EarlierMayHaveRun: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admit(memoryKey{service: service, key: key})
}

// admit decides on a key whose home is this host.
func (k *Deduplicator) admit(id memoryKey) (*Claim, error) {
	now := k.options.Now()
	k.memory.raise(now.Add(-KeyWindow).UnixMilli())
	if err := k.checkTime(id.key.Millis(), now); err != nil {
		return nil, err
	}
	known := k.memory.entries[id]
	if known == nil {
		return &Claim{keeper: k, entry: k.memory.insert(id)}, nil
	}
	if known.answer != nil {
		return &Claim{replay: known.answer}, nil
	}
	if !known.ended {
		return nil, &Refusal{
			Reason:            InProgress,
			Detail:            "another attempt with the key is running",
			EarlierMayHaveRun: true,
			Done:              known.done,
		}
	}
	return nil, &Refusal{
		Reason:            AlreadyRan,
		Detail:            "the answer of the earlier attempt is not stored",
		EarlierMayHaveRun: true,
	}
}

// checkTime refuses keys that this process may not remember.
func (k *Deduplicator) checkTime(millis int64, now time.Time) error {
	switch {
	case millis > now.Add(MaxAhead).UnixMilli():
		return &Refusal{
			Reason:            FutureKey,
			Detail:            fmt.Sprintf("the key lies %d ms ahead", millis-now.UnixMilli()),
			EarlierMayHaveRun: true,
		}
	case millis < k.earliest:
		return &Refusal{
			Reason:            BeforeStart,
			Detail:            "an earlier process of the home may have run the key",
			EarlierMayHaveRun: true,
		}
	case millis < k.memory.watermark:
		return &Refusal{
			Reason:            ExpiredKey,
			Detail:            "the key is older than the home remembers",
			EarlierMayHaveRun: true,
		}
	}
	return nil
}

func (k *Deduplicator) refused(service, text string, err error) {
	refusal, ok := err.(*Refusal)
	if !ok {
		return
	}
	name := fmt.Sprintf("mulberrybank_once_refusals_total{reason=%q}", refusal.Reason)
	k.options.Metrics.GetOrCreateCounter(name).Inc()
	k.options.Events.Record(timeline.Event{
		Kind:    timeline.KeyRefused,
		Key:     text,
		Service: service,
		Outcome: string(refusal.Reason),
		Detail:  refusal.Detail,
	})
}

func (k *Deduplicator) keys() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return float64(len(k.memory.entries))
}
