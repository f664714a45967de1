package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

// Rule names a promise that a run checks.
type Rule string

// Rules of a run.
const (
	// Twice: a request that may not be repeated runs at most once.
	Twice Rule = "twice"
	// Refused: a request that was refused as not run has not run and never does.
	Refused Rule = "refused"
	// Mixed: an answer belongs to its request and is whole.
	Mixed Rule = "mixed"
	// Denied: a request that every version allows is not called wrong.
	Denied Rule = "denied"
	// Unasked: only what callers sent is run, unchanged.
	Unasked Rule = "unasked"
	// Routed: a request runs at a service of its route.
	Routed Rule = "routed"
	// Drained: a target that leaves gets nothing after a while.
	Drained Rule = "drained"
	// Back: no daemon goes back to an older version.
	Back Rule = "back"
	// Behind: a version is in force everywhere soon after it was published.
	Behind Rule = "behind"
	// Lost: planned work costs no request.
	Lost Rule = "lost"
	// Ended: no daemon ends by itself.
	Ended Rule = "ended"
	// Recovered: all is served again soon after the last fault.
	Recovered Rule = "recovered"
)

// Violation is a promise that was broken.
type Violation struct {
	Rule Rule
	// At is the time since the beginning of the run.
	At time.Duration
	// Request is the id of the request concerned, empty for none.
	Request string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2fs request %q: %s", v.Rule, v.At.Seconds(), v.Request, v.Detail)
}

// drainBound is how long after its acknowledged leave a target may get requests.
const drainBound = 3500 * time.Millisecond

// sentRequest is what a caller sent.
type sentRequest struct {
	id       string
	method   string
	path     string
	body     string
	service  string
	services []string
	// idempotent requests may run more than once.
	idempotent bool
	// mayBeUnknown is set where no version in force need have the route.
	mayBeUnknown bool
	at           time.Time
	runs         int
	refused      bool
}

// ledger holds what callers and targets saw, and checks it as it comes.
type ledger struct {
	began time.Time

	mu         sync.Mutex
	requests   map[string]*sentRequest
	left       map[string]time.Time
	violations []Violation
	counts     Counts
}

// Counts sums up what happened in a run.
type Counts struct {
	Sent, Answered, Refused, Failed, Closed, Runs int
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), requests: make(map[string]*sentRequest), left: make(map[string]time.Time)}
}

// violate notes a broken promise.
func (l *ledger) violate(rule Rule, request, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(rule, request, format, args...)
}

func (l *ledger) violateLocked(rule Rule, request, format string, args ...any) {
	l.violations = append(l.violations, Violation{
		Rule: rule, At: time.Since(l.began), Request: request, Detail: fmt.Sprintf(format, args...),
	})
}

// sent notes a request before it is written.
func (l *ledger) sent(request *sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.at = time.Now()
	l.requests[request.id] = request
	l.counts.Sent++
}

// leaves notes that the leave of a target was acknowledged.
func (l *ledger) leaves(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[instance] = time.Now()
}

// ran checks a request that a target began to run.
func (l *ledger) ran(instance, service string, run upstream.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Runs++
	request := l.requests[run.ID]
	if request == nil {
		l.violateLocked(Unasked, run.ID, "%s ran a request that nobody sent", instance)
		return
	}
	request.runs++
	if run.Path != request.path || run.Body != request.body {
		l.violateLocked(Unasked, run.ID, "%s got %q %q, sent was %q %q", instance, run.Path, run.Body, request.path, request.body)
	}
	if run.Caller() != request.service {
		l.violateLocked(Unasked, run.ID, "caller %q, not %q", run.Caller(), request.service)
	}
	if !slices.Contains(request.services, service) {
		l.violateLocked(Routed, run.ID, "ran at service %s", service)
	}
	if request.runs > 1 && !request.idempotent {
		l.violateLocked(Twice, run.ID, "run number %d, at %s", request.runs, instance)
	}
	if request.refused && !request.idempotent {
		l.violateLocked(Refused, run.ID, "ran at %s after it was refused", instance)
	}
	if at, found := l.left[instance]; found && time.Since(at) > drainBound {
		l.violateLocked(Drained, run.ID, "%s got it %s after its leave was acknowledged", instance, time.Since(at).Round(time.Millisecond))
	}
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// answered checks an answer.
func (l *ledger) answered(request *sentRequest, got upstream.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if got.ID != request.id {
		l.violateLocked(Mixed, request.id, "answer bears the id %q", got.ID)
	}
	switch {
	case got.Status < http.StatusMultipleChoices:
		l.counts.Answered++
		if got.Signature == "" || got.Body != upstream.ResponseBody(request.id, request.body) {
			l.violateLocked(Mixed, request.id, "signature %q, body %q", got.Signature, got.Body)
		}
		if request.runs == 0 {
			l.violateLocked(Mixed, request.id, "answered with success and never run")
		}
	case promises(got.Status):
		l.counts.Refused++
		request.refused = true
		if request.runs > 0 && !request.idempotent {
			l.violateLocked(Refused, request.id, "status %d, and it had run", got.Status)
		}
	default:
		l.counts.Failed++
		if got.Status < http.StatusInternalServerError && !request.mayBeUnknown {
			l.violateLocked(Denied, request.id, "status %d", got.Status)
		}
	}
}

// closed checks a request whose connection ended without an answer. calm says
// that nothing but planned work was under way.
func (l *ledger) closed(request *sentRequest, calm bool, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Closed++
	if calm && request.runs > 0 {
		l.violateLocked(Lost, request.id, "it had run, and its connection ended without an answer: %v", cause)
	}
}

// result returns what was found so far.
func (l *ledger) result() ([]Violation, Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations), l.counts
}
