package call

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/pace"
)

// Functions exported for the tests in package call_test.
var (
	ParseDeadline = parseDeadline
	ParseKey      = parseKey
	SplitPath     = splitPath
	CallRank      = callRank

	ErrUnexpectedBytes = errUnexpectedBytes
)

// Limits on the waits of attempts at other daemons.
const (
	MaxConnWait    = maxConnWait
	PeerWatchDelay = peerWatchDelay
)

// AdmissionQueue exports an admissionQueue to tests.
type AdmissionQueue struct{ admission *admissionQueue }

// NewAdmissionQueue returns a queue that uses the wall clock.
func NewAdmissionQueue() *AdmissionQueue { return &AdmissionQueue{newAdmissionQueue(time.Now)} }

// Acquire takes a slot for a request of the highest priority.
func (a *AdmissionQueue) Acquire(ctx context.Context, workspace string, deadline time.Time, slots, queue int, timeout time.Duration) error {
	return a.AcquireAs(ctx, workspace, 0, deadline, slots, queue, timeout)
}

// AcquireAs takes a slot for a request of a priority.
func (a *AdmissionQueue) AcquireAs(ctx context.Context, workspace string, priority int, deadline time.Time, slots, queue int, timeout time.Duration) error {
	request := admissionRequest{workspace: workspace, priority: priority, deadline: deadline}
	return a.admission.acquire(ctx, request, admissionLimits{slots: slots, queue: queue, timeout: timeout})
}

// AcquireForClient takes a slot for a request of a client workspace, or of another
// workspace if the share is 0.
func (a *AdmissionQueue) AcquireForClient(ctx context.Context, workspace string, share float64, priority int, objective time.Duration, deadline time.Time, slots, queue int) error {
	request := admissionRequest{workspace: workspace, share: share, priority: priority, objective: objective, deadline: deadline}
	return a.admission.acquire(ctx, request, admissionLimits{slots: slots, queue: queue, timeout: time.Until(deadline)})
}

// Adapt makes the queue find the concurrency limit of the target.
func (a *AdmissionQueue) Adapt() { a.admission.adapt() }

// Answer records how a request without an objective of its own ended and frees its slot.
func (a *AdmissionQueue) Answer(outcome pace.Outcome, held, objective time.Duration) {
	rank := callRank(0, 0)
	if a.admission.pace != nil {
		a.admission.recordAnswer(pace.Answer{Outcome: outcome, Rank: rank, Time: held, Objective: objective})
	}
	a.admission.release(rank, held, outcome == pace.Succeeded)
}

// SetRateLimit sets the limit that an instance has named.
func (a *AdmissionQueue) SetRateLimit(instance string, limit RateLimit) {
	a.admission.setRateLimit(instance, limit)
}

// AcquireFor takes a slot for a request to an instance of the target.
func (a *AdmissionQueue) AcquireFor(ctx context.Context, instance string, deadline time.Time, slots, queue int) error {
	request := admissionRequest{workspace: "huts", deadline: deadline}
	limits := admissionLimits{slots: slots, queue: queue, timeout: time.Until(deadline), instance: instance}
	return a.admission.acquire(ctx, request, limits)
}

// UsableSlots returns the slots that are reported to callers.
func (a *AdmissionQueue) UsableSlots() int { return a.admission.load().Slots }

// Release frees the slot of a request that succeeded.
func (a *AdmissionQueue) Release(held time.Duration) { a.ReleaseAs(held, true) }

// ReleaseAs frees the slot of a request that succeeded or failed.
func (a *AdmissionQueue) ReleaseAs(held time.Duration, succeeded bool) {
	a.admission.release(0, held, succeeded)
}

// ServiceTime returns the mean time that a request holds a slot.
func (a *AdmissionQueue) ServiceTime() time.Duration { return a.admission.loadFor(0).ServiceTime }

// Load returns the numbers of occupied slots and of waiting requests.
func (a *AdmissionQueue) Load() (busy, queued int) {
	load := a.admission.load()
	return load.Busy, load.Queued
}

// CallLimiter exports a callLimiter to tests.
type CallLimiter struct{ limiter *callLimiter }

// NewCallLimiter returns a limiter of at most limit calls.
func NewCallLimiter(limit int) *CallLimiter { return &CallLimiter{newCallLimiter(limit)} }

// Acquire reports whether another call of a service is allowed, and counts it.
func (l *CallLimiter) Acquire(service string) bool { return l.limiter.acquire(service) }

func (l *CallLimiter) Release(service string) { l.limiter.release(service) }

// CombineErrors returns the error of a call of which one attempt may have run and the
// last one failed with the given error.
func CombineErrors(last *Error) *Error {
	return (&outboundCall{mayHaveRun: true}).finalError(last, last)
}

// NewPacer returns a pacer for a link of a speed.
func NewPacer(linkMbps float64) *pacer { return newPacer(linkMbps) }

// UseWholeLink makes a pacer send at the speed of the link.
func UseWholeLink(p *pacer) { p.useWholeLink() }

// RelayBody relays a response with a body of a length.
func RelayBody(ctx context.Context, pace *pacer, length int64) error {
	response := &targetResponse{
		status:  http.StatusOK,
		length:  length,
		body:    io.NopCloser(io.LimitReader(zeros{}, length)),
		release: func(bool) {},
	}
	return response.relay(ctx, discardWriter{}, pace)
}

// LinkQueue exports a linkQueue to tests.
type LinkQueue struct{ queue linkQueue }

// Limits on responses that are held, in bytes.
const (
	MaxHeldBody  = maxHeldBody
	MaxHeldBytes = maxHeldBytes
)

// NewLinkQueue returns a queue for a link of a number of bytes a second.
func NewLinkQueue(rate float64) *LinkQueue {
	return &LinkQueue{linkQueue{rate: rate, lengths: make(map[int]float64)}}
}

func (l *LinkQueue) Hold(length int64) bool { return l.queue.hold(length) }

func (l *LinkQueue) Drop(length int64) { l.queue.drop(length) }

func (l *LinkQueue) Add(change int64) { l.queue.add(change) }

func (l *LinkQueue) Observe(rank int, length int64) { l.queue.observe(rank, length) }

func (l *LinkQueue) Admit(rank int, within time.Duration) (reserved int64, admitted bool) {
	return l.queue.admit(rank, within)
}

// RelayStream is RelayBody for a body of which the response does not state the length.
func RelayStream(ctx context.Context, pace *pacer, length int64) error {
	response := &targetResponse{
		status:  http.StatusOK,
		length:  -1,
		body:    io.NopCloser(io.LimitReader(zeros{}, length)),
		release: func(bool) {},
	}
	return response.relay(ctx, discardWriter{}, pace)
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// discardWriter is a response writer that drops the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header { return http.Header{} }

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func (discardWriter) WriteHeader(int) {}

// TrackedConn is a connection of a transport.
type TrackedConn = trackedConn

func NewTrackedConn(conn net.Conn) *TrackedConn {
	return newTrackedConn(conn, "target", newSilentAddresses())
}

func (c *trackedConn) BeginRequest() { c.beginRequest() }
