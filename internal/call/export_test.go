package call

import (
	"context"
	"time"
)

// Functions exported for the tests in package call_test.
var (
	ParseDeadline = parseDeadline
	ParseKey      = parseKey
	SplitPath     = splitPath
)

// AdmissionQueue exports an admissionQueue to tests.
type AdmissionQueue struct{ admission *admissionQueue }

// NewAdmissionQueue returns a queue that uses the wall clock.
func NewAdmissionQueue() *AdmissionQueue { return &AdmissionQueue{newAdmissionQueue(time.Now)} }

// Acquire takes a slot for a request of the highest priority.
func (g *AdmissionQueue) Acquire(ctx context.Context, workspace string, deadline time.Time, slots, queue int, timeout time.Duration) error {
	return g.AcquireAs(ctx, workspace, 0, deadline, slots, queue, timeout)
}

// AcquireAs takes a slot for a request of a priority.
func (g *AdmissionQueue) AcquireAs(ctx context.Context, workspace string, priority int, deadline time.Time, slots, queue int, timeout time.Duration) error {
	request := admissionRequest{workspace: workspace, priority: priority, deadline: deadline}
	return g.admission.acquire(ctx, request, admissionLimits{slots: slots, queue: queue, timeout: timeout})
}

// Release frees the slot of a request that was answered.
func (g *AdmissionQueue) Release(held time.Duration) { g.ReleaseAs(held, true) }

// ReleaseAs frees the slot of a request that was answered or failed.
func (g *AdmissionQueue) ReleaseAs(held time.Duration, answered bool) {
	g.admission.release(0, held, answered)
}

// ServiceTime returns the mean time that a request holds a slot.
func (g *AdmissionQueue) ServiceTime() time.Duration { return g.admission.loadFor(0).ServiceTime }

// Load returns the numbers of occupied slots and of waiting requests.
func (g *AdmissionQueue) Load() (busy, queued int) {
	load := g.admission.load()
	return load.Busy, load.Queued
}

// CallLimiter exports a callLimiter to tests.
type CallLimiter struct{ limiter *callLimiter }

// NewCallLimiter returns a limiter of at most limit calls.
func NewCallLimiter(limit int) *CallLimiter { return &CallLimiter{newCallLimiter(limit)} }

// Acquire reports whether another call of a service is allowed, and counts it.
func (s *CallLimiter) Acquire(service string) bool { return s.limiter.acquire(service) }

func (s *CallLimiter) Release(service string) { s.limiter.release(service) }
