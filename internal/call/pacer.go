package call

import (
	"context"
	"fmt"
	"time"

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
	// turns has one body at a time wait for the limiter, so that one that ends before its turn
	// has taken nothing of the link.
	turns   turns
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
// fails once ctx has ended. Bodies get the link by their deadlines: were it shared, all would be
// late together. left is the number of bytes that are left of the body. One that could not be
// sent by the deadline of ctx if it were alone takes nothing of the link.
func (p *pacer) wait(ctx context.Context, bytes int, left int64) error {
	if p.fits(ctx, left) && p.turns.acquire(ctx) {
		taken := p.fits(ctx, left) && p.limiter.WaitN(ctx, bytes) == nil
		p.turns.release()
		if taken {
			return nil
		}
	}
	<-ctx.Done()
	return fmt.Errorf("pace response: %w", context.Cause(ctx))
}

// fits reports whether a number of bytes can be sent by the deadline of ctx, by the whole link.
func (p *pacer) fits(ctx context.Context, bytes int64) bool {
	deadline, limited := ctx.Deadline()
	return !limited || float64(bytes-pacedBurst) <= float64(p.link)*time.Until(deadline).Seconds()
}

// paced reports whether a body of a length is paced. One of unknown length is as long as what
// has been read of it.
func paced(length int64) bool { return length > longBody }
