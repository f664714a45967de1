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

// outboundCall is the state of a call while attempts are made on targets.
type outboundCall struct {
	route *publish.Route
	// versioned restricts the targets by their version, nil for all.
	versioned VersionedCall
	// request is copied for each attempt.
	request request
	// retriesLeft is the number of retries that the call may still use.
	retriesLeft int
	// refusals counts the retries that were free because a host refused the call
	// before it reached a target.
	refusals int
	trace    *trace
	// resetIfCut says that the caller takes the end of its connection for that of a response.
	resetIfCut bool
	// giveBackQuota returns the call to the quota of its workspace if it has not run.
	giveBackQuota func()
	// failedHosts holds the hosts on which an attempt failed.
	failedHosts map[string]bool
	// mayHaveRun is set when a failed attempt may have run on a target.
	mayHaveRun bool
}

// execute makes attempts until one gets a response or no further attempt is allowed.
// The limit on calls in progress is held until the response is released.
func (s *Server) execute(ctx context.Context, c *outboundCall) (*targetResponse, *Error) {
	service := c.request.service.Name
	if !s.callLimit.acquire(service) {
		return nil, s.fail(NotRun, StepAdmit, http.StatusServiceUnavailable, errTooManyCalls)
	}
	s.budgets.Deposit(c.route, c.request.service)
	result, failure := s.runAttempts(ctx, c)
	if failure != nil {
		s.callLimit.release(service)
		return nil, failure
	}
	result.onRelease(func(bool) { s.callLimit.release(service) })
	return result, nil
}

func (s *Server) runAttempts(ctx context.Context, c *outboundCall) (*targetResponse, *Error) {
	var last *Error
	for attempt := 1; ; attempt++ {
		choice, failure := s.chooseHost(c)
		if failure != nil {
			if last != nil {
				s.logNoHostLeft(c, attempt, failure)
			}
			return nil, c.finalError(last, failure)
		}
		member := choice.Member
		c.request.freeSlotOnly = choice.FreeSlotOnly
		result, failure := s.attemptOrHedge(ctx, c, &attempt, &member)
		if failure == nil && !c.shedByTarget(result) {
			return result, nil
		}
		c.recordFailure(member.Host, failure)
		decision := s.decideRetry(c, failure)
		if decision == retryAllowed && !s.backOff(ctx, c, attempt) {
			decision = retryCallEnded
		}
		s.logAttemptFailed(c, attempt, member, failure, decision)
		if decision != retryAllowed {
			if failure == nil {
				return result, nil
			}
			return nil, c.finalError(failure, failure)
		}
		if failure == nil {
			result.discard()
		}
		last = failure
		s.counters.retries.Inc()
	}
}

// chooseHost returns the host for the next attempt: the home of the key, or one
// that the router chooses. A draining daemon excludes its own host.
func (s *Server) chooseHost(c *outboundCall) (route.Choice, *Error) {
	if c.request.key != "" {
		member, failure := s.homeOf(c)
		return route.Choice{Member: member}, failure
	}
	exclude := c.failedHosts
	if s.inflight.isDraining() {
		exclude = withHost(exclude, s.self.Host)
	}
	wanted := c.routeRequest(exclude, c.versionFilter(len(c.failedHosts) == 0))
	wanted.NearOnly = !s.budgets.AllowsFull(c.request.service)
	choice, err := s.chooseVersion(c, wanted)
	if err != nil {
		return route.Choice{}, s.fail(NotRun, StepPick, http.StatusServiceUnavailable, err)
	}
	return choice, nil
}

// routeRequest returns what the router needs to know of the call.
func (c *outboundCall) routeRequest(exclude map[string]bool, version *route.VersionFilter) route.Request {
	return route.Request{Service: c.request.service, Exclude: exclude, Priority: c.request.rank(), Repeatable: c.route.Idempotent, Version: version}
}

func withHost(hosts map[string]bool, host string) map[string]bool {
	extended := make(map[string]bool, len(hosts)+1)
	for name := range hosts {
		extended[name] = true
	}
	extended[host] = true
	return extended
}

// homeOf returns the only host that may run a call with the key.
func (s *Server) homeOf(c *outboundCall) (membership.Member, *Error) {
	if s.keys == nil {
		return membership.Member{}, s.fail(NotRun, StepHome, http.StatusServiceUnavailable, errKeysNotServed)
	}
	host, err := s.keys.Home(c.request.config, c.request.service.Name, c.request.key)
	if err != nil {
		return membership.Member{}, s.fail(NotRun, StepHome, http.StatusConflict, err)
	}
	member, found := s.directory.View().Members.Get(host)
	if !found || member.CallsAddress == "" && host != s.self.Host {
		return membership.Member{}, s.fail(NotRun, StepHome, http.StatusServiceUnavailable, fmt.Errorf("%w: %s", errHomeUnknown, host))
	}
	return member, nil
}

// runAttempt makes one attempt on a host.
func (s *Server) runAttempt(ctx context.Context, c *outboundCall, number int, member membership.Member) (*targetResponse, *Error) {
	return s.beginAttempt(c, number, member)(ctx)
}

// beginAttempt records that an attempt is sent and returns the function that makes
// it.
func (s *Server) beginAttempt(c *outboundCall, number int, member membership.Member) func(context.Context) (*targetResponse, *Error) {
	q := c.request
	q.attempt = number
	q.retries = route.NextHopRetries(c.retriesLeft)
	if member.Host != s.self.Host {
		s.allowGiveUp(&q, c, member.Host)
	}
	c.trace.sent(number, member.Host)
	s.router.Begin(member.Host)
	if c.versioned != nil {
		c.versioned.Began(member.TargetVersion)
	}
	return func(ctx context.Context) (*targetResponse, *Error) {
		start := s.now()
		attempt := s.attemptRemote
		if member.Host == s.self.Host {
			attempt = s.attemptLocal
		}
		result, failure := attempt(ctx, &q, member)
		c.attemptEnded(&member, result, failure, s.now().Sub(start))
		return result, failure
	}
}

func (s *Server) attemptLocal(ctx context.Context, q *request, member membership.Member) (*targetResponse, *Error) {
	result, failure := s.serveTarget(ctx, q)
	load := s.admission.loadFor(q.rank())
	if failure != nil {
		s.router.Done(s.self.Host, route.Result{Outcome: routeOutcomeOfError(failure), Priority: q.rank(), Version: member.Version, Load: &load})
		return nil, failure
	}
	result.host, result.attempt = s.self.Host, q.attempt
	result.onRelease(func(complete bool) {
		s.router.Done(s.self.Host, route.Result{Outcome: result.routeOutcome(complete), Priority: q.rank(), Load: &load})
	})
	return result, nil
}

// attemptRemote sends an attempt to the daemon of another host.
func (s *Server) attemptRemote(ctx context.Context, q *request, member membership.Member) (*targetResponse, *Error) {
	q.header = s.peerHeader(q)
	q.header.Set(HeaderTo, member.Host)
	start := s.now()
	response, failed, err := s.roundTripToPeer(ctx, q, member)
	s.counters.peer.Update(s.now().Sub(start).Seconds())
	if err != nil {
		s.recordPeerFailure(ctx, member.CallsAddress, failed, err)
		failure := &Error{
			Outcome: sendOutcome(failed.mayHaveSent),
			Step:    StepPeer,
			Peer:    member.Host,
			Status:  statusOf(ctx, err),
			Err:     err,
		}
		s.router.Done(member.Host, route.Result{Outcome: routeOutcomeOfError(failure), Version: member.Version})
		return nil, failure
	}
	if failure := checkPeerResponse(q, member.Host, response); failure != nil {
		s.router.Done(member.Host, route.Result{Outcome: route.Failure, Version: member.Version})
		return nil, failure
	}
	s.observeClock(response.Header)
	load := parseLoad(response.Header)
	if failure := readError(member.Host, response); failure != nil {
		_ = response.Body.Close()
		s.router.Done(member.Host, route.Result{Outcome: routeOutcomeOfError(failure), Priority: q.rank(), Version: member.Version, Load: load})
		return nil, failure
	}
	return s.acceptPeerResponse(ctx, q, member.Host, response, load)
}

// roundTripToPeer is roundTrip to the daemon of another host. An attempt that may be
// repeated waits only until that daemon is gone.
func (s *Server) roundTripToPeer(ctx context.Context, q *request, member membership.Member) (*http.Response, sendFailure, error) {
	if q.takeRetry == nil {
		return s.roundTrip(ctx, s.peerConns, member.CallsAddress, q, func() {}, nil)
	}
	ctx, served, stop := s.watchPeer(ctx, q, member)
	defer stop()
	response, failed, err := s.roundTrip(ctx, s.peerConns, member.CallsAddress, q, func() {}, nil)
	if err == nil && !served() {
		_ = response.Body.Close()
		return nil, sendFailure{mayHaveSent: true}, errPeerGone
	}
	return response, failed, err
}

// recordPeerFailure records an attempt that got no response from another daemon. One
// that waited for a byte of it until its deadline shows that the connections to that
// daemon may be dead.
func (s *Server) recordPeerFailure(ctx context.Context, address string, failed sendFailure, err error) {
	if errors.Is(err, errConnWait) {
		s.counters.connTimeouts.Inc()
	}
	if errors.Is(err, errPeerGone) {
		s.counters.peersGone.Inc()
	}
	if failed.unanswered && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.peerConns.silent.record(address, failed.acquired, time.Now())
	}
}

func (s *Server) acceptPeerResponse(ctx context.Context, q *request, host string, response *http.Response, load *route.Load) (*targetResponse, *Error) {
	status := response.StatusCode
	q.headArrived()
	result, err := newTargetResponse(response, q.body.streamed(), maxBufferedBody, func(complete bool) {
		s.router.Done(host, route.Result{Outcome: routeOutcomeOfStatus(status, complete), Priority: q.rank(), Load: load})
	})
	if err != nil {
		return nil, &Error{Outcome: Unknown, Step: StepAnswer, Peer: host, Status: statusOf(ctx, err), Err: err}
	}
	result.host, result.attempt = host, q.attempt
	result.targetTime = parseTargetTime(response.Header)
	return result, nil
}

// checkPeerResponse returns an error if a response does not belong to the request
// or does not come from the host that the request was sent to. Such a response
// says nothing about the request, except when another host at the same address
// refused it with StepHost.
func checkPeerResponse(q *request, host string, response *http.Response) *Error {
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
		Err:     fmt.Errorf("%w: call %q at %q", errResponseMismatched, id, peer),
	}
}

// peerHeader returns the headers of a request to the daemon of another host.
func (s *Server) peerHeader(q *request) http.Header {
	header := q.header.Clone()
	header.Set(HeaderService, q.service.Name)
	header.Set(headerWorkspace, q.workspace)
	if q.share > 0 {
		header.Set(headerShare, strconv.FormatFloat(q.share, 'g', shareDigits, 64))
	}
	header.Set(headerPriority, strconv.Itoa(q.priority))
	if q.objective > 0 {
		header.Set(headerObjective, q.objective.String())
	}
	if q.late {
		header.Set(headerLate, "1")
	}
	if q.freeSlotOnly {
		header.Set(headerFreeSlotOnly, "1")
	}
	if q.timed {
		header.Set(headerTimed, "1")
	}
	header.Set(HeaderVersion, strconv.FormatUint(uint64(q.config.Version), 10))
	if s.clock != nil {
		header.Set(HeaderClock, s.clock.Now().String())
	}
	return header
}

// parseLoad returns the load that a response reports, nil if there is none.
func parseLoad(header http.Header) *route.Load {
	text := header.Get(HeaderLoad)
	if text == "" {
		return nil
	}
	load, err := route.ParseLoad(text)
	if err != nil {
		return nil
	}
	// The service time and the failure rate are 0 if missing or malformed.
	load.ServiceTime, _ = time.ParseDuration(header.Get(headerServiceTime))
	load.FailureRate, _ = strconv.ParseFloat(header.Get(headerFailureRate), 64)
	return &load
}

// routeOutcomeOfError maps the error of an attempt to its outcome for the router.
// Limits, drains and callers that disconnected don't count against the host.
func routeOutcomeOfError(failure *Error) route.Outcome {
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
		if failure.Status != statusClientClosedRequest {
			return route.Failure
		}
	}
	return route.Neutral
}

// routeOutcome returns the outcome of the response for the router.
func (r *targetResponse) routeOutcome(complete bool) route.Outcome {
	return routeOutcomeOfStatus(r.status, complete)
}

func routeOutcomeOfStatus(status int, complete bool) route.Outcome {
	switch {
	case status >= http.StatusInternalServerError:
		return route.Failure
	case complete:
		return route.Success
	default:
		return route.Neutral
	}
}

// onRelease adds a function to be called when the response is released.
func (r *targetResponse) onRelease(next func(complete bool)) {
	previous := r.release
	r.release = func(complete bool) {
		previous(complete)
		next(complete)
	}
}
