package call

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// hedgeAttempt is one of the two attempts of a hedged call.
type hedgeAttempt struct {
	number  int
	member  membership.Member
	cancel  context.CancelFunc
	result  *targetResponse
	failure *Error
}

// attemptOrHedge makes an attempt and, if the route has a hedge delay and the
// first attempt takes longer, a second one on another host. It returns the first
// success, or else the last error, and sets number to the number of the last
// attempt and member to the host of the result.
func (s *Server) attemptOrHedge(ctx context.Context, c *outboundCall, number *int, member *membership.Member) (*targetResponse, *Error) {
	if !c.mayHedge() {
		return s.runAttempt(ctx, c, *number, *member)
	}
	hedged := &hedgedCall{server: s, call: c, finished: make(chan *hedgeAttempt, 2)}
	first := hedged.start(ctx, *number, *member)
	winner := hedged.awaitResponse(ctx, first, c.route.Hedge)
	*number, *member = hedged.lastNumber, winner.member
	if winner.failure != nil {
		hedged.tasks.Wait()
		return nil, winner.failure
	}
	winner.result.onRelease(func(bool) {
		winner.cancel()
		hedged.tasks.Wait()
	})
	return winner.result, nil
}

// mayHedge reports whether a call may run on two targets at once.
func (c *outboundCall) mayHedge() bool {
	return c.route.Idempotent && c.route.Hedge > 0 && c.retriesLeft > 0 && c.request.body.stream == nil
}

// hedgedCall is the first attempt of a call and its hedge.
type hedgedCall struct {
	server     *Server
	call       *outboundCall
	finished   chan *hedgeAttempt
	tasks      conc.WaitGroup
	lastNumber int
}

// start makes an attempt in a task of its own.
func (h *hedgedCall) start(ctx context.Context, number int, member membership.Member) *hedgeAttempt {
	ctx, cancel := context.WithCancel(ctx)
	attempt := &hedgeAttempt{number: number, member: member, cancel: cancel}
	h.lastNumber = number
	run := h.server.beginAttempt(h.call, number, member)
	h.tasks.Go(func() {
		attempt.result, attempt.failure = run(ctx)
		h.finished <- attempt
	})
	return attempt
}

// awaitResponse returns the attempt that succeeds first, or the last one to fail.
// The other attempt is cancelled.
func (h *hedgedCall) awaitResponse(ctx context.Context, primary *hedgeAttempt, delay time.Duration) *hedgeAttempt {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case ended := <-h.finished:
		return h.cancelFailed(ended)
	case <-timer.C:
	}
	hedge := h.startHedge(ctx, primary)
	ended := <-h.finished
	if hedge == nil {
		return h.cancelFailed(ended)
	}
	if ended.failure == nil {
		h.cancelLoser(primary, hedge, ended)
		return ended
	}
	ended.cancel()
	h.call.recordFailure(ended.member.Host, ended.failure)
	return h.cancelFailed(<-h.finished)
}

// cancelFailed cancels the context of an attempt that failed.
func (h *hedgedCall) cancelFailed(ended *hedgeAttempt) *hedgeAttempt {
	if ended.failure != nil {
		ended.cancel()
	}
	return ended
}

// startHedge makes the second attempt. It returns nil if the retry budget is used
// up or no other target has spare slots.
func (h *hedgedCall) startHedge(ctx context.Context, primary *hedgeAttempt) *hedgeAttempt {
	exclude := withHost(h.call.failedHosts, primary.member.Host)
	member, err := h.server.router.ChooseWithSpareSlots(route.Request{Service: h.call.request.service, Exclude: exclude, Version: h.call.versionFilter(false)})
	if err != nil || !h.server.budgets.Withdraw(h.call.route, h.call.request.service) {
		return nil
	}
	h.call.retriesLeft--
	h.server.counters.hedges.Inc()
	return h.start(ctx, primary.number+1, member)
}

// cancelLoser cancels the attempt that is not used and discards its response.
func (h *hedgedCall) cancelLoser(primary, hedge, winner *hedgeAttempt) {
	loser := primary
	if winner == primary {
		loser = hedge
	}
	loser.cancel()
	h.tasks.Go(func() {
		if late := <-h.finished; late.failure == nil {
			late.result.discard()
		}
	})
}
