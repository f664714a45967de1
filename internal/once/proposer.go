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

const (
	// DefaultHorizon is how far past now grants assign key timestamps.
	DefaultHorizon = 15 * time.Minute
	// renewDivisor sets when the next grant is due: after the horizon divided by it.
	renewDivisor = 3
	// delayPerRank is how long each rank waits for the rank before it.
	delayPerRank = 4 * time.Second
	// maxRankDelay bounds the delay of the last ranks, and so the rate at which all
	// daemons together try to append during an outage of the log.
	maxRankDelay = 5 * time.Minute
	// maxJitter bounds the random part of each delay.
	maxJitter     = delayPerRank / 2
	appendTimeout = 5 * time.Second
	// recheckInterval bounds a wait, since ranks change with the membership.
	recheckInterval = 30 * time.Second
	// additionDelay is how long a service stays without homes before it gets some,
	// so that more of its targets are known by then.
	additionDelay = 2 * time.Second
	// retryDelay is the minimum delay between appends, in which the appended record
	// is applied. It doubles with each failed append up to maxRetryDelay.
	retryDelay    = 10 * time.Second
	maxRetryDelay = time.Minute
)

// Chain provides the chain of grants of the active configuration.
type Chain interface {
	// Grants returns the chain, and false while no configuration is active.
	Grants() (Grants, bool)
	// Changed returns a channel that is closed when the offset next increases.
	Changed() <-chan struct{}
}

// ProposerOptions configures a Proposer.
type ProposerOptions struct {
	// Host is the name of this host.
	Host      string
	Log       platform.Log
	Directory membership.Directory
	Chain     Chain
	// Encode encodes a grant as the payload of a record.
	Encode func(*Grant) ([]byte, error)
	// Horizon is DefaultHorizon when 0.
	Horizon time.Duration
	Now     func() time.Time
	Rand    *rand.Rand
	Events  timeline.Recorder
	Logger  *logrus.Logger
}

// Proposer appends the next grant when it is due and no daemon of a lower rank
// has done so.
type Proposer struct {
	options ProposerOptions
	log     *logrus.Entry
	// notBefore is the earliest time of the next append of a grant.
	notBefore time.Time
	// nextRetryDelay is the delay after the next append.
	nextRetryDelay time.Duration
	// missingSince is when services without homes were first seen, zero while there
	// are none.
	missingSince time.Time
	// additionNotBefore is the earliest time of the next append of an addition.
	additionNotBefore time.Time
	// jitter is drawn once for each end of the chain.
	jitter    time.Duration
	jitterEnd int64
}

// NewProposer returns the proposer of one daemon.
func NewProposer(options ProposerOptions) *Proposer {
	if options.Horizon == 0 {
		options.Horizon = DefaultHorizon
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
	log := logging.ForComponent(options.Logger, "once")
	return &Proposer{options: options, log: log, nextRetryDelay: retryDelay, jitterEnd: -1}
}

// Run proposes grants until ctx ends.
func (p *Proposer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.proposeNext(ctx)
	}
	return nil
}

// proposeNext waits until this daemon should append the next grant or addition
// and appends it, or returns early when the configuration or the membership has
// changed.
func (p *Proposer) proposeNext(ctx context.Context) {
	configChanged := p.options.Chain.Changed()
	membersChanged := p.options.Directory.Changed()
	grants, active := p.options.Chain.Grants()
	if !active {
		waitUnchanged(ctx, configChanged, nil, recheckInterval)
		return
	}
	grantAt, additionAt := p.grantTime(grants), p.additionTime(grants)
	if !additionAt.IsZero() && additionAt.Before(grantAt) {
		p.proposeAddition(ctx, grants, configChanged, membersChanged, additionAt)
		return
	}
	delay := grantAt.Sub(p.options.Now())
	if delay > 0 && !waitUnchanged(ctx, configChanged, membersChanged, min(delay, recheckInterval)) {
		return
	}
	if delay > recheckInterval || ctx.Err() != nil {
		return
	}
	p.notBefore = p.options.Now().Add(p.nextRetryDelay + p.rankDelay(grants))
	p.nextRetryDelay = min(2*p.nextRetryDelay, maxRetryDelay)
	if p.appendGrant(ctx, NextGrant(grants, p.options.Directory.View(), p.options.Now(), p.options.Horizon)) {
		p.nextRetryDelay = retryDelay
	}
}

// proposeAddition waits until this daemon should append homes for services
// without any, and appends the addition.
func (p *Proposer) proposeAddition(ctx context.Context, grants Grants, configChanged, membersChanged <-chan struct{}, additionAt time.Time) {
	delay := additionAt.Sub(p.options.Now())
	if delay > 0 && !waitUnchanged(ctx, configChanged, membersChanged, delay) {
		return
	}
	if ctx.Err() != nil {
		return
	}
	p.additionNotBefore = p.options.Now().Add(retryDelay + p.rankDelay(grants))
	p.appendGrant(ctx, NextAddition(grants, p.options.Directory.View(), p.options.Now()))
}

// additionTime returns when this daemon may append homes for services without
// any, zero while there are no such services.
func (p *Proposer) additionTime(grants Grants) time.Time {
	now := p.options.Now()
	if NextAddition(grants, p.options.Directory.View(), now) == nil {
		p.missingSince = time.Time{}
		return time.Time{}
	}
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	additionAt := p.missingSince.Add(additionDelay + p.rankDelay(grants))
	if additionAt.Before(p.additionNotBefore) {
		return p.additionNotBefore
	}
	return additionAt
}

// grantTime returns when this daemon may append the next grant of a chain.
func (p *Proposer) grantTime(grants Grants) time.Time {
	if p.notBefore.IsZero() {
		p.notBefore = p.options.Now().Add(p.rankDelay(grants))
	}
	remaining := p.options.Horizon - p.options.Horizon/renewDivisor
	due := time.UnixMilli(grants.End()).Add(-remaining)
	grantAt := due.Add(p.rankDelay(grants))
	if grantAt.Before(p.notBefore) {
		return p.notBefore
	}
	return grantAt
}

// rankDelay is how long this daemon waits for lower ranks to append the next grant.
func (p *Proposer) rankDelay(grants Grants) time.Duration {
	end := grants.End()
	if p.jitterEnd != end {
		p.jitterEnd = end
		p.jitter = time.Duration(p.options.Rand.Int64N(int64(maxJitter)))
	}
	rank := proposerRank(p.options.Host, p.options.Directory.View(), end)
	return min(time.Duration(rank)*delayPerRank, maxRankDelay) + p.jitter
}

// appendGrant appends a grant to the log. It reports whether the append
// succeeded, or true when there is no grant.
func (p *Proposer) appendGrant(ctx context.Context, grant *Grant) bool {
	if grant == nil {
		return true
	}
	payload, err := p.options.Encode(grant)
	if err != nil {
		p.log.WithError(err).Error("failed to encode grant")
		return false
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.options.Log.Append(appendCtx, platform.ConfigurationStream, payload)
	if err != nil {
		p.log.WithError(fmt.Errorf("append grant: %w", err)).Warn("failed to append grant")
		return false
	}
	p.options.Events.Record(timeline.Event{
		Kind:   timeline.Granted,
		Offset: offset,
		Detail: fmt.Sprintf("%d to %d", grant.GetFromMs(), grant.GetUntilMs()),
	})
	return true
}

// waitUnchanged returns true when the delay has passed, and false when one of the
// channels was closed or ctx ended first.
func waitUnchanged(ctx context.Context, configChanged, membersChanged <-chan struct{}, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-configChanged:
		return false
	case <-membersChanged:
		return false
	case <-ctx.Done():
		return false
	}
}
