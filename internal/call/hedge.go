package call

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// leg is one of the attempts of a hedged call.
type leg struct {
	number  int
	member  membership.Member
	cancel  context.CancelFunc
	result  *answer
	failure *Error
}

// attemptOrHedge makes an attempt and, where the route asks for it, a second
// one on another host if the first takes long. It returns the better ending,
// whose number and host are left in the arguments.
func (s *Server) attemptOrHedge(ctx context.Context, c *outbound, number *int, member *membership.Member) (*answer, *Error) {
	if !c.mayHedge() {
		return s.attempt(ctx, c, *number, *member)
	}
	race := &race{server: s, call: c, legs: make(chan *leg, 2)}
	first := race.start(ctx, *number, *member)
	winner := race.first(ctx, first, c.route.Hedge)
	*number, *member = race.started, winner.member
	if winner.failure != nil {
		race.tasks.Wait()
		return nil, winner.failure
	}
	winner.result.onRelease(func(bool) {
		winner.cancel()
		race.tasks.Wait()
	})
	return winner.result, nil
}

// mayHedge reports whether a call may be run on two targets.
func (c *outbound) mayHedge() bool {
	return c.route.Idempotent && c.route.Hedge > 0 && c.left > 0 && c.request.body.stream == nil
}

// race is a call's first attempt and its hedge.
type race struct {
	server  *Server
	call    *outbound
	legs    chan *leg
	tasks   conc.WaitGroup
	started int
}

// start begins an attempt as a task of its own.
func (r *race) start(ctx context.Context, number int, member membership.Member) *leg {
	ctx, cancel := context.WithCancel(ctx)
	entry := &leg{number: number, member: member, cancel: cancel}
	r.started = number
	attempt := r.server.stage(r.call, number, member)
	r.tasks.Go(func() {
		entry.result, entry.failure = attempt(ctx)
		r.legs <- entry
	})
	return entry
}

// first returns the leg that was answered first, or the last to fail. The
// other one is cancelled.
func (r *race) first(ctx context.Context, primary *leg, delay time.Duration) *leg {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case ended := <-r.legs:
		return r.keep(ended)
	case <-timer.C:
	}
	hedge := r.hedge(ctx, primary)
	ended := <-r.legs
	if hedge == nil {
		return r.keep(ended)
	}
	if ended.failure == nil {
		r.dismiss(primary, hedge, ended)
		return ended
	}
	ended.cancel()
	r.call.failed(ended.member.Host, ended.failure)
	return r.keep(<-r.legs)
}

// keep ends the context of a leg that failed.
func (r *race) keep(ended *leg) *leg {
	if ended.failure != nil {
		ended.cancel()
	}
	return ended
}

// hedge begins the second attempt, nil if there is no budget
// or no other target with slots to spare.
func (r *race) hedge(ctx context.Context, primary *leg) *leg {
	exclude := with(r.call.tried, primary.member.Host)
	member, err := r.server.router.PickWithSpareSlots(r.call.request.service, exclude)
	if err != nil || !r.server.budgets.Withdraw(r.call.route, r.call.request.service) {
		return nil
	}
	r.call.left--
	r.server.counters.hedges.Inc()
	return r.start(ctx, primary.number+1, member)
}

// dismiss cancels the leg that lost and drops its answer.
func (r *race) dismiss(primary, hedge, winner *leg) {
	loser := primary
	if winner == primary {
		loser = hedge
	}
	loser.cancel()
	r.tasks.Go(func() {
		if late := <-r.legs; late.failure == nil {
			late.result.discard()
		}
	})
}
