package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// Times of the proposer.
const (
	// DefaultReach is how far ahead of now grants assign key time.
	DefaultReach = 15 * time.Minute
	// renewShare is the share of the reach after which the next grant is due.
	renewShare = 3
	// rankDelay is how long each rank waits for the ranks before it.
	rankDelay = 4 * time.Second
	// maxRankDelay bounds the wait of the last ranks.
	maxRankDelay = time.Minute
	// maxJitter is the random part of each wait.
	maxJitter = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// retryDelay is the wait after an append, for its record to be folded.
	retryDelay = 10 * time.Second
)

// Chain is the chain of grants in force on this daemon.
type Chain interface {
	// Grants returns the chain, and false while no configuration is in force.
	Grants() (Grants, bool)
	// Changed returns a channel that is closed when the offset next grows.
	Changed() <-chan struct{}
}

// ProposerOptions of a proposer.
type ProposerOptions struct {
	// Host is the name of this host.
	Host      string
	Log       platform.Log
	Directory membership.Directory
	Chain     Chain
	// Encode makes the payload of a record from a grant.
	Encode func(*Grant) ([]byte, error)
	// Reach is DefaultReach when 0.
	Reach  time.Duration
	Now    func() time.Time
	Rand   *rand.Rand
	Events timeline.Recorder
	Logger *logrus.Logger
}

// Proposer appends the next grant when it is due and no daemon of a better
// rank did.
type Proposer struct {
	options ProposerOptions
	log     *logrus.Entry
}

// NewProposer returns the proposer of one daemon.
func NewProposer(options ProposerOptions) *Proposer {
	if options.Reach == 0 {
		options.Reach = DefaultReach
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Events == nil {
		options.Events = timeline.Discard{}
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	return &Proposer{options: options, log: logging.Part(options.Logger, "once")}
}

// Run proposes grants until ctx ends.
func (p *Proposer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.step(ctx)
	}
	return nil
}

// step waits for the next grant to be due and appends it, or returns early
// when the configuration has changed.
func (p *Proposer) step(ctx context.Context) {
	changed := p.options.Chain.Changed()
	grants, known := p.options.Chain.Grants()
	if !known {
		wait(ctx, changed, retryDelay)
		return
	}
	view := p.options.Directory.View()
	delay := p.untilDue(grants) + p.turn(grants, view)
	if delay > 0 && !wait(ctx, changed, delay) {
		return
	}
	if ctx.Err() != nil {
		return
	}
	p.propose(ctx, grants)
	wait(ctx, changed, retryDelay)
}

// untilDue is the time until the chain should be extended, at least 0.
func (p *Proposer) untilDue(grants Grants) time.Duration {
	left := time.UnixMilli(grants.End()).Sub(p.options.Now())
	return max(0, left-(p.options.Reach-p.options.Reach/renewShare))
}

// turn is how long this daemon leaves the next grant to those of better rank.
func (p *Proposer) turn(grants Grants, view *membership.View) time.Duration {
	rank := rankOf(p.options.Host, view, grants.End())
	jitter := time.Duration(p.options.Rand.Int64N(int64(maxJitter)))
	return min(time.Duration(rank)*rankDelay, maxRankDelay) + jitter
}

func (p *Proposer) propose(ctx context.Context, grants Grants) {
	grant := NextGrant(grants, p.options.Directory.View(), p.options.Now(), p.options.Reach)
	if grant == nil {
		return
	}
	payload, err := p.options.Encode(grant)
	if err != nil {
		p.log.WithError(err).Error("cannot encode a grant")
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.options.Log.Append(appendCtx, platform.ConfigurationStream, payload)
	if err != nil {
		p.log.WithError(fmt.Errorf("append grant: %w", err)).Warn("grant not appended")
		return
	}
	p.options.Events.Record(timeline.Event{
		Kind:   timeline.Granted,
		Offset: offset,
		Detail: fmt.Sprintf("%d to %d", grant.GetFromMs(), grant.GetUntilMs()),
	})
}

// wait returns true when the delay has passed, false when changed was closed
// or ctx ended before.
func wait(ctx context.Context, changed <-chan struct{}, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return false
	case <-ctx.Done():
		return false
	}
}
