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
	// maxRankDelay bounds the wait of the last ranks, and so how often all
	// daemons together append during an outage.
	maxRankDelay = 5 * time.Minute
	// maxJitter is the random part of each wait.
	maxJitter = rankDelay / 2
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// recheckDelay bounds a wait, for the ranks follow the living.
	recheckDelay = 30 * time.Second
	// additionDelay is how long a service stays without homes before it is
	// given some, so that more of its targets are known.
	additionDelay = 2 * time.Second
	// retryDelay is the wait after an append, for its record to be folded. It
	// doubles with each failed append up to maxRetryDelay.
	retryDelay    = 10 * time.Second
	maxRetryDelay = time.Minute
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
	// notBefore is when the next append may be made.
	notBefore time.Time
	// retry is the wait after the next append.
	retry time.Duration
	// lackingSince is when services without homes were first seen, zero while
	// there are none.
	lackingSince time.Time
	// jitter is drawn once for each end of the chain.
	jitter    time.Duration
	jitterEnd int64
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
	log := logging.Part(options.Logger, "once")
	return &Proposer{options: options, log: log, retry: retryDelay, jitterEnd: -1}
}

// Run proposes grants until ctx ends.
func (p *Proposer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.step(ctx)
	}
	return nil
}

// step waits until this daemon should append the next grant and appends it,
// or returns early when the configuration or the members have changed.
func (p *Proposer) step(ctx context.Context) {
	changed := p.options.Chain.Changed()
	moved := p.options.Directory.Changed()
	grants, known := p.options.Chain.Grants()
	if !known {
		wait(ctx, changed, nil, recheckDelay)
		return
	}
	turn, addition := p.turn(grants), p.additionTurn(grants)
	if !addition.IsZero() && addition.Before(turn) {
		p.stepAddition(ctx, grants, changed, moved, addition)
		return
	}
	delay := turn.Sub(p.options.Now())
	if delay > 0 && !wait(ctx, changed, moved, min(delay, recheckDelay)) {
		return
	}
	if delay > recheckDelay || ctx.Err() != nil {
		return
	}
	p.notBefore = p.options.Now().Add(p.retry + p.rankDelay(grants))
	p.retry = min(2*p.retry, maxRetryDelay)
	if p.propose(ctx, NextGrant(grants, p.options.Directory.View(), p.options.Now(), p.options.Reach)) {
		p.retry = retryDelay
	}
}

// stepAddition waits until this daemon should give homes to services without
// any, and appends the addition.
func (p *Proposer) stepAddition(ctx context.Context, grants Grants, changed, moved <-chan struct{}, turn time.Time) {
	delay := turn.Sub(p.options.Now())
	if delay > 0 && !wait(ctx, changed, moved, delay) {
		return
	}
	if ctx.Err() != nil {
		return
	}
	p.lackingSince = p.options.Now().Add(retryDelay)
	p.propose(ctx, NextAddition(grants, p.options.Directory.View(), p.options.Now()))
}

// additionTurn is when this daemon may give homes to services without any,
// zero while there are none.
func (p *Proposer) additionTurn(grants Grants) time.Time {
	now := p.options.Now()
	if NextAddition(grants, p.options.Directory.View(), now) == nil {
		p.lackingSince = time.Time{}
		return time.Time{}
	}
	if p.lackingSince.IsZero() {
		p.lackingSince = now
	}
	return p.lackingSince.Add(additionDelay + p.rankDelay(grants))
}

// turn is when this daemon may append the grant that follows a chain.
func (p *Proposer) turn(grants Grants) time.Time {
	if p.notBefore.IsZero() {
		p.notBefore = p.options.Now().Add(p.rankDelay(grants))
	}
	left := p.options.Reach - p.options.Reach/renewShare
	due := time.UnixMilli(grants.End()).Add(-left)
	turn := due.Add(p.rankDelay(grants))
	if turn.Before(p.notBefore) {
		return p.notBefore
	}
	return turn
}

// rankDelay is how long this daemon leaves the next grant to better ranks.
func (p *Proposer) rankDelay(grants Grants) time.Duration {
	end := grants.End()
	if p.jitterEnd != end {
		p.jitterEnd = end
		p.jitter = time.Duration(p.options.Rand.Int64N(int64(maxJitter)))
	}
	rank := rankOf(p.options.Host, p.options.Directory.View(), end)
	return min(time.Duration(rank)*rankDelay, maxRankDelay) + p.jitter
}

// propose appends a grant, if there is one, and reports whether the log took it.
func (p *Proposer) propose(ctx context.Context, grant *Grant) bool {
	if grant == nil {
		return true
	}
	payload, err := p.options.Encode(grant)
	if err != nil {
		p.log.WithError(err).Error("cannot encode a grant")
		return false
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.options.Log.Append(appendCtx, platform.ConfigurationStream, payload)
	if err != nil {
		p.log.WithError(fmt.Errorf("append grant: %w", err)).Warn("grant not appended")
		return false
	}
	p.options.Events.Record(timeline.Event{
		Kind:   timeline.Granted,
		Offset: offset,
		Detail: fmt.Sprintf("%d to %d", grant.GetFromMs(), grant.GetUntilMs()),
	})
	return true
}

// wait returns true when the delay has passed, false when one of the channels
// was closed or ctx ended before.
func wait(ctx context.Context, changed, moved <-chan struct{}, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return false
	case <-moved:
		return false
	case <-ctx.Done():
		return false
	}
}
