package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

// Rule names an invariant. Its Go constant names the violation.
type Rule string

// Rules that a run checks.
const (
	// DuplicateRun: a request that may not be repeated runs at most once.
	DuplicateRun Rule = "twice"
	// RanAfterRefusal: a non-idempotent request whose response says that it was not
	// executed has not run and never runs.
	RanAfterRefusal Rule = "refused"
	// ResponseMismatch: a response belongs to its request and is complete.
	ResponseMismatch Rule = "mixed"
	// WronglyRejected: a request that is valid in every version gets no client
	// error.
	WronglyRejected Rule = "denied"
	// UnexpectedRequest: targets run only requests that callers sent, unmodified.
	UnexpectedRequest Rule = "unasked"
	// Misrouted: a request runs at a service of its route.
	Misrouted Rule = "routed"
	// RequestAfterDrain: a drained target gets no requests after drainGrace.
	RequestAfterDrain Rule = "drained"
	// VersionRegression: no daemon process reverts to an older version.
	VersionRegression Rule = "back"
	// VersionLag: the newest version is active everywhere within
	// recoveryTimeout after the last fault.
	VersionLag Rule = "behind"
	// RequestLost: planned operations break off no request that a target works on,
	// and leave no request without an answer.
	RequestLost Rule = "lost"
	// UnexpectedExit: no daemon exits unless told to, and none outlasts stopGrace.
	UnexpectedExit Rule = "ended"
	// NotRecovered: all hosts serve again within recoveryTimeout after the
	// last fault.
	NotRecovered Rule = "recovered"
	// WrongKey: a request runs for the workspace of its key only, none runs with an
	// unknown or removed key, and no key reaches a target.
	WrongKey Rule = "key"
	// OverQuota: in each window all daemons together admit no more requests of a
	// workspace than its quota allows.
	OverQuota Rule = "quota"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule
	// At is the time since the start of the run.
	At time.Duration
	// Request is the ID of the affected request, empty if there is none.
	Request string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2fs request %q: %s", v.Rule, v.At.Seconds(), v.Request, v.Detail)
}

// drainGrace is how long a target may still get requests after its drain was
// acknowledged.
const drainGrace = 3500 * time.Millisecond

// sentRequest is a request sent by a caller, with what has been seen of it.
type sentRequest struct {
	id       string
	method   string
	path     string
	body     string
	service  string
	services []string
	// idempotent requests may run more than once.
	idempotent bool
	// routeMayBeMissing says that the active version need not have the route.
	routeMayBeMissing bool
	// deadline is the deadline that the caller sends.
	deadline time.Duration
	// key is the API key that the request carries and tenant its workspace, empty for
	// none.
	key, tenant string
	// host is the host whose daemon gets the request.
	host *host
	// daemonStopping says that the daemon was already told to exit.
	daemonStopping bool
	at             time.Time
	runs           []*targetRun
	refused        bool
}

// checker records what callers and targets see and checks the rules as it
// arrives.
type checker struct {
	start time.Time

	mu        sync.Mutex
	requests  map[string]*sentRequest
	drainedAt map[string]time.Time
	// stoppedAt holds when the latest SIGTERM was sent to a host's daemon.
	stoppedAt map[*host]time.Time
	// exitedAt holds when a target exited.
	exitedAt   map[string]time.Time
	violations []Violation
	counts     Counts
	// quotaRuns holds when the requests of the workspace with a quota began to run.
	quotaRuns []time.Time
}

// Counts summarises the requests of a run.
type Counts struct {
	Sent, Answered, Refused, Failed, Closed, Runs int
	// SentWhileStopping counts requests sent to a daemon after its SIGTERM.
	SentWhileStopping int
}

func newChecker() *checker {
	return &checker{
		start:     time.Now(),
		requests:  make(map[string]*sentRequest),
		drainedAt: make(map[string]time.Time),
		stoppedAt: make(map[*host]time.Time),
		exitedAt:  make(map[string]time.Time),
	}
}

func (c *checker) addViolation(rule Rule, request, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, request, format, args...)
}

func (c *checker) addViolationLocked(rule Rule, request, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule: rule, At: time.Since(c.start), Request: request, Detail: fmt.Sprintf(format, args...),
	})
}

// requestSent records a request. It must be called before the request is written.
func (c *checker) requestSent(request *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.at = time.Now()
	c.requests[request.id] = request
	c.counts.Sent++
	if request.daemonStopping {
		c.counts.SentWhileStopping++
	}
}

// drainAcknowledged records that the drain of a target was acknowledged.
func (c *checker) drainAcknowledged(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedAt[instance] = time.Now()
}

// requestRan checks a request that the target of a host started to run.
func (c *checker) requestRan(h *host, instance, service string, run upstream.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Runs++
	request := c.requests[run.ID]
	if request == nil {
		c.addViolationLocked(UnexpectedRequest, run.ID, "%s ran a request that nobody sent", instance)
		return
	}
	request.runs = append(request.runs, &targetRun{host: h, instance: instance})
	if run.Path != request.path || run.Body != request.body {
		c.addViolationLocked(UnexpectedRequest, run.ID, "%s got %q %q, sent was %q %q", instance, run.Path, run.Body, request.path, request.body)
	}
	if run.Caller() != request.service {
		c.addViolationLocked(UnexpectedRequest, run.ID, "caller %q, not %q", run.Caller(), request.service)
	}
	c.checkKey(request, run)
	if !slices.Contains(request.services, service) {
		c.addViolationLocked(Misrouted, run.ID, "ran at service %s", service)
	}
	if len(request.runs) > 1 && !request.idempotent {
		c.addViolationLocked(DuplicateRun, run.ID, "run number %d, at %s", len(request.runs), instance)
	}
	if request.refused && !request.idempotent {
		c.addViolationLocked(RanAfterRefusal, run.ID, "ran at %s after it was refused", instance)
	}
	if at, found := c.drainedAt[instance]; found && time.Since(at) > drainGrace {
		c.addViolationLocked(RequestAfterDrain, run.ID, "%s got it %s after its leave was acknowledged", instance, time.Since(at).Round(time.Millisecond))
	}
}

// meansNotRun reports whether a status guarantees that the request has not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// responseReceived checks a response.
func (c *checker) responseReceived(request *sentRequest, response upstream.Response, end requestEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.ID != request.id {
		c.addViolationLocked(ResponseMismatch, request.id, "answer bears the id %q", response.ID)
	}
	switch {
	case response.Status < http.StatusMultipleChoices:
		c.counts.Answered++
		if response.Signature == "" || response.Body != upstream.ResponseBody(request.id, request.body) {
			c.addViolationLocked(ResponseMismatch, request.id, "signature %q, body %q", response.Signature, response.Body)
		}
		if len(request.runs) == 0 {
			c.addViolationLocked(ResponseMismatch, request.id, "answered with success and never run")
		}
	case meansNotRun(response.Status):
		c.counts.Refused++
		request.refused = true
		if len(request.runs) > 0 && !request.idempotent {
			c.addViolationLocked(RanAfterRefusal, request.id, "status %d, and it had run", response.Status)
		}
	default:
		c.counts.Failed++
		if response.Status < http.StatusInternalServerError && !request.routeMayBeMissing {
			c.addViolationLocked(WronglyRejected, request.id, "status %d", response.Status)
		}
	}
	if response.Status >= http.StatusMultipleChoices && response.Signature == "" {
		c.checkBrokenOff(request, response.Status, end)
	}
}

// result returns the violations found so far and the counts.
func (c *checker) result() ([]Violation, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations), c.counts
}
