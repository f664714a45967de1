package call

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

const (
	// longBody is the length in bytes from which a response body is paced.
	longBody = 16 << 10
	// pacedShare is the share of the host's link that paced bodies may use. The rest is
	// for short responses and control traffic, which would otherwise wait behind them.
	pacedShare = 0.75
	// pacedBurst is the number of bytes that may be sent at once.
	pacedBurst = 2 * copyBufferSize
	// bytesPerMegabit converts Mbit to bytes.
	bytesPerMegabit = 1e6 / 8
)

// pacer limits the rate at which long response bodies leave this host.
type pacer struct {
	limiter *rate.Limiter
	// link is the speed of the link in bytes a second, rate.Inf if it is not known.
	link rate.Limit
}

// newPacer returns a pacer for a link of a number of Mbit/s, 0 for one of unknown speed,
// which is not paced.
func newPacer(linkMbps float64) *pacer {
	if linkMbps <= 0 {
		return &pacer{limiter: rate.NewLimiter(rate.Inf, pacedBurst), link: rate.Inf}
	}
	link := rate.Limit(linkMbps * bytesPerMegabit)
	return &pacer{limiter: rate.NewLimiter(pacedShare*link, pacedBurst), link: link}
}

// useWholeLink ends the limit to a share of the link.
func (p *pacer) useWholeLink() { p.limiter.SetLimit(p.link) }

// wait returns when a number of bytes, at most copyBufferSize, of a body may be sent, or
// fails if that is later than the deadline of ctx.
func (p *pacer) wait(ctx context.Context, bytes int) error {
	if err := p.limiter.WaitN(ctx, bytes); err != nil {
		return fmt.Errorf("pace response: %w", err)
	}
	return nil
}

// paced reports whether a body of a length is paced. One of unknown length is as long as what
// has been read of it.
func paced(length int64) bool { return length > longBody }
