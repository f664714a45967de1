package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// outbound is one call of a caller on its way to a target.
type outbound struct {
	route *publish.Route
	// request is the template of each attempt.
	request request
	// left is how many further targets the call may still be sent to.
	left int
	// refusals counts the hosts that refused the call before it reached their
	// target.
	refusals int
	trace    *trace
	// tried holds the hosts that failed this call.
	tried map[string]bool
	// mayHaveRun is set once an attempt that failed may have run.
	mayHaveRun bool
}

// carry makes attempts until one is answered or none may be made any more.
func (s *Server) carry(ctx context.Context, c *outbound) (*answer, *Error) {
	service := c.request.service.Name
	if !s.shares.take(service) {
		return nil, s.fail(NotRun, StepAdmit, http.StatusServiceUnavailable, errTooManyCalls)
	}
	s.budgets.Deposit(c.route, c.request.service)
	result, failure := s.attempts(ctx, c)
	if failure != nil {
		s.shares.give(service)
		return nil, failure
	}
	result.onRelease(func(bool) { s.shares.give(service) })
	return result, nil
}

func (s *Server) attempts(ctx context.Context, c *outbound) (*answer, *Error) {
	var last *Error
	for attempt := 1; ; attempt++ {
		choice, failure := s.choose(c)
		if failure != nil {
			return nil, c.conclude(last, failure)
		}
		member := choice.Member
		c.request.freeSlotOnly = choice.FreeSlotOnly
		result, failure := s.attemptOrHedge(ctx, c, &attempt, &member)
		if failure == nil && !c.shedByTarget(result) {
			return result, nil
		}
		c.failed(member.Host, failure)
		again := s.mayRetry(c, failure) && s.pause(ctx, c, attempt)
		s.logAttempt(c, attempt, member, failure, again)
		if !again {
			if failure == nil {
				return result, nil
			}
			return nil, c.conclude(failure, failure)
		}
		if failure == nil {
			result.discard()
		}
		last = failure
		s.counters.retries.Inc()
	}
}

// choose returns the host for the next attempt.
func (s *Server) choose(c *outbound) (route.Choice, *Error) {
	if c.request.key != "" {
		member, failure := s.home(c)
		return route.Choice{Member: member}, failure
	}
	exclude := c.tried
	if s.inflight.isDraining() {
		exclude = with(exclude, s.self.Host)
	}
	want := route.Request{Service: c.request.service, Exclude: exclude, Priority: c.request.priority, Repeatable: c.route.Idempotent}
	choice, err := s.router.Choose(want)
	if err != nil {
		return route.Choice{}, s.fail(NotRun, StepPick, http.StatusServiceUnavailable, err)
	}
	return choice, nil
}

func with(hosts map[string]bool, host string) map[string]bool {
	more := make(map[string]bool, len(hosts)+1)
	for name := range hosts {
		more[name] = true
	}
	more[host] = true
	return more
}

// home returns the only host that may run the call's key.
func (s *Server) home(c *outbound) (membership.Member, *Error) {
	if s.keys == nil {
		return membership.Member{}, s.fail(NotRun, StepHome, http.StatusServiceUnavailable, errNoKeys)
	}
	host, err := s.keys.Home(c.request.config, c.request.service.Name, c.request.key)
	if err != nil {
		return membership.Member{}, s.fail(NotRun, StepHome, http.StatusConflict, err)
	}
	member, found := s.directory.View().Members[host]
	if !found || member.CallsAddress == "" && host != s.self.Host {
		return membership.Member{}, s.fail(NotRun, StepHome, http.StatusServiceUnavailable, fmt.Errorf("%w: %s", errNoHome, host))
	}
	return member, nil
}

// attempt makes one attempt on a host.
func (s *Server) attempt(ctx context.Context, c *outbound, number int, member membership.Member) (*answer, *Error) {
	return s.stage(c, number, member)(ctx)
}

// stage counts an attempt as sent and returns what makes it.
func (s *Server) stage(c *outbound, number int, member membership.Member) func(context.Context) (*answer, *Error) {
	q := c.request
	q.attempt = number
	q.retries = route.NextHopRetries(c.left)
	c.trace.sent(number, member.Host)
	s.router.Begin(member.Host)
	return func(ctx context.Context) (*answer, *Error) {
		if member.Host == s.self.Host {
			return s.attemptHere(ctx, &q, member)
		}
		return s.attemptThere(ctx, &q, member)
	}
}

func (s *Server) attemptHere(ctx context.Context, q *request, member membership.Member) (*answer, *Error) {
	result, failure := s.serveTarget(ctx, q)
	load := s.gate.loadFor(q.priority)
	if failure != nil {
		s.router.Done(s.self.Host, route.Result{Outcome: verdictOf(failure), Priority: q.priority, Version: member.Version, Load: &load})
		return nil, failure
	}
	result.host, result.attempt = s.self.Host, q.attempt
	result.onRelease(func(whole bool) {
		s.router.Done(s.self.Host, route.Result{Outcome: result.verdict(whole), Priority: q.priority, Load: &load})
	})
	return result, nil
}

// attemptThere hands an attempt to the daemon of another host.
func (s *Server) attemptThere(ctx context.Context, q *request, member membership.Member) (*answer, *Error) {
	q.header = s.hopHeader(q)
	q.header.Set(HeaderTo, member.Host)
	began := s.now()
	response, failed, err := s.exchange(ctx, s.peers, member.CallsAddress, q, func() {}, nil)
	s.counters.peer.Update(s.now().Sub(began).Seconds())
	if err != nil {
		failure := &Error{
			Outcome: outcomeOf(failed.handed),
			Step:    StepPeer,
			Peer:    member.Host,
			Status:  statusOf(ctx, err),
			Err:     err,
		}
		s.router.Done(member.Host, route.Result{Outcome: verdictOf(failure), Version: member.Version})
		return nil, failure
	}
	if failure := crossed(q, member.Host, response); failure != nil {
		s.router.Done(member.Host, route.Result{Outcome: route.Failure, Version: member.Version})
		return nil, failure
	}
	s.observeClock(response.Header)
	load := loadOf(response.Header)
	if failure := readError(member.Host, response); failure != nil {
		_ = response.Body.Close()
		s.router.Done(member.Host, route.Result{Outcome: verdictOf(failure), Priority: q.priority, Version: member.Version, Load: load})
		return nil, failure
	}
	return s.takeAnswer(ctx, q, member.Host, response, load)
}

func (s *Server) takeAnswer(ctx context.Context, q *request, host string, response *http.Response, load *route.Load) (*answer, *Error) {
	status := response.StatusCode
	result, err := newAnswer(response, func(whole bool) {
		s.router.Done(host, route.Result{Outcome: answerVerdict(status, whole), Priority: q.priority, Load: load})
	})
	if err != nil {
		return nil, &Error{Outcome: Unknown, Step: StepAnswer, Peer: host, Status: statusOf(ctx, err), Err: err}
	}
	result.host, result.attempt = host, q.attempt
	return result, nil
}

// crossed returns an error for an answer that is not one to the request, or
// not of the host it was sent to. Such an answer says nothing of the request,
// unless another host at the address refused it for that reason.
func crossed(q *request, host string, response *http.Response) *Error {
	id, peer := response.Header.Get(HeaderCall), response.Header.Get(HeaderPeer)
	if id == q.id && (peer == host || response.Header.Get(HeaderStep) == StepHost) {
		return nil
	}
	_ = response.Body.Close()
	return &Error{
		Outcome: Unknown,
		Step:    StepAnswer,
		Peer:    host,
		Status:  http.StatusBadGateway,
		Err:     fmt.Errorf("%w: call %q at %q", errCrossed, id, peer),
	}
}

// hopHeader returns the headers for the daemon of another host.
func (s *Server) hopHeader(q *request) http.Header {
	header := q.header.Clone()
	header.Set(HeaderService, q.service.Name)
	header.Set(headerWorkspace, q.workspace)
	header.Set(headerPriority, strconv.Itoa(q.priority))
	if q.objective > 0 {
		header.Set(headerObjective, q.objective.String())
	}
	if q.late {
		header.Set(headerLate, "1")
	}
	if q.freeSlotOnly {
		header.Set(headerFreeSlot, "1")
	}
	header.Set(HeaderVersion, strconv.FormatUint(uint64(q.config.Version), 10))
	if s.clock != nil {
		header.Set(HeaderClock, s.clock.Now().String())
	}
	return header
}

// loadOf returns the load that came with an answer, nil for none.
func loadOf(header http.Header) *route.Load {
	text := header.Get(HeaderLoad)
	if text == "" {
		return nil
	}
	load, err := route.ParseLoad(text)
	if err != nil {
		return nil
	}
	// An answer without a time, or with one that cannot be read, tells none.
	load.ServiceTime, _ = time.ParseDuration(header.Get(headerTook))
	load.FailureRate, _ = strconv.ParseFloat(header.Get(headerFailing), 64)
	return &load
}

// verdictOf says what a failed attempt shows of its host. Limits and drains
// are no fault, nor is a caller that went away.
func verdictOf(failure *Error) route.Outcome {
	switch failure.Step {
	case StepDrain, StepConfiguration, StepHost:
		return route.Leaving
	}
	if errors.Is(failure.Err, syscall.ECONNREFUSED) {
		return route.Leaving
	}
	switch failure.Step {
	case StepAdmit:
		return route.Full
	case StepPeer, StepTarget, StepAnswer:
		if failure.Status != statusCallerGone {
			return route.Failure
		}
	}
	return route.Neutral
}

// verdict says what an answer shows of its target.
func (a *answer) verdict(whole bool) route.Outcome { return answerVerdict(a.status, whole) }

func answerVerdict(status int, whole bool) route.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return route.Failure
	case whole:
		return route.Success
	default:
		return route.Neutral
	}
}

// onRelease adds what is done when the answer has been read or given up.
func (a *answer) onRelease(more func(whole bool)) {
	before := a.release
	a.release = func(whole bool) {
		before(whole)
		more(whole)
	}
}
