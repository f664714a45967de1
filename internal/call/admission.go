package call

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/fairqueue"
	"github.com/mulberrybank/mulberrybank/internal/pace"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// Reasons for not admitting a request.
var (
	errQueueFull       = errors.New("queue is full")
	errQueueTimeout    = errors.New("no slot became free in time")
	errDeadlineTooSoon = errors.New("deadline cannot be met")
)

// serviceTimeWeight is the weight of a new sample in the moving mean of the
// service time.
const serviceTimeWeight = 0.1

// admissionLimits are the limits of an admissionQueue, read from the active
// configuration for each request.
type admissionLimits struct {
	slots   int
	queue   int
	timeout time.Duration
	// instance is the target process that runs the request.
	instance string
}

// admissionRequest is what an admissionQueue needs to know of a request.
type admissionRequest struct {
	workspace string
	// share is the share of the client workspace relative to the others, 0 for a
	// request without one.
	share float64
	// priority is the priority of the client workspace, else of the route, 0 the
	// highest.
	priority int
	// late says that half of the objective had passed when the call arrived.
	late     bool
	deadline time.Time
	// objective is the response time up to which a response has its full value, 0
	// for none.
	objective time.Duration
}

// queuePriority orders the requests of one workspace, the lowest value first: by
// priority, and within a priority those that are not late first. Requests of the same
// value are ordered by when they are due.
func (r admissionRequest) queuePriority() int {
	if r.late {
		return 2*r.priority + 1
	}
	return 2 * r.priority
}

// rank is the rank of the request among all.
func (r admissionRequest) rank() int { return callRank(r.priority, r.objective) }

// dueFrom returns when a request that arrives at a time is due: at the end of its
// objective, or without one at its deadline.
func (r admissionRequest) dueFrom(arrived time.Time) time.Time {
	if r.objective > 0 {
		return arrived.Add(r.objective)
	}
	return r.deadline
}

// waiter is one request in the queue.
type waiter struct {
	admissionRequest
	enqueued time.Time
	// due orders the waiters of one queuePriority.
	due time.Time
	// position is the number of waiters ahead on arrival, plus one.
	position int
	// entry is set while the waiter is in admissionQueue.clients.
	entry *fairqueue.Entry[*waiter]
	// done is closed when the waiter has left the queue; err is the result.
	done chan struct{}
	err  error
}

// admissionQueue admits requests to the slots of one target. Requests in excess
// wait in a short queue per workspace; free slots are granted to the workspaces in
// turn.
type admissionQueue struct {
	now func() time.Time

	mu     sync.Mutex
	busy   int
	queued int
	// closed is set when no request is admitted any more.
	closed bool
	queues map[string][]*waiter
	// clients holds the waiters of client workspaces, queues all others.
	clients fairqueue.Queue[*waiter]
	// workspaces holds the workspaces with waiters, the next one to get a slot
	// first.
	workspaces []string
	// limits are those of the latest request.
	limits admissionLimits
	// rate is the limit that the target has named, and wake the timer that grants
	// slots once it allows another request, nil while it is not set.
	rate rateLimiter
	wake *time.Timer
	// serviceTime is the moving mean of the time that a request holds a slot, and
	// serviceTimes the same by rank.
	serviceTime  time.Duration
	serviceTimes map[int]time.Duration
	// positionWaits holds the recent wait per position in the queue.
	positionWaits map[waitClass]*positionWait
	// failures tracks the fraction of requests that the target failed.
	failures route.FailureTracker
	// pace is the concurrency limit found for the target, nil if it is not used, and
	// paceWake the timer that grants slots once it allows another request.
	pace     *pace.Limit
	paceWake *time.Timer
}

func newAdmissionQueue(now func() time.Time) *admissionQueue {
	return &admissionQueue{now: now, queues: make(map[string][]*waiter), serviceTimes: make(map[int]time.Duration), positionWaits: make(map[waitClass]*positionWait)}
}

// acquire takes a slot, waiting for one if none is free. After a nil error the
// slot must be freed with release.
func (a *admissionQueue) acquire(ctx context.Context, request admissionRequest, limits admissionLimits) error {
	w, err := a.acquireOrEnqueue(request, limits)
	if err != nil || w == nil {
		return err
	}
	timer := time.NewTimer(min(limits.timeout, a.maxWait(request)))
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return a.cancelWait(w, errQueueTimeout)
	case <-ctx.Done():
		return a.cancelWait(w, context.Cause(ctx))
	}
}

// acquireOrEnqueue takes a free slot or enqueues the request. It returns nil if it
// took a slot.
func (a *admissionQueue) acquireOrEnqueue(request admissionRequest, limits admissionLimits) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, errDraining
	}
	a.limits = limits
	a.rate.reset(limits.instance)
	if err := a.checkPace(request); err != nil {
		return nil, err
	}
	a.grantSlots()
	if a.hasFreeSlot() && a.queued == 0 && a.rate.take(a.now()) {
		a.occupySlot()
		return nil, nil
	}
	if limits.queue == 0 {
		return nil, errQueueFull
	}
	a.countClient(request)
	if !a.canMeetDeadline(request) {
		return nil, errDeadlineTooSoon
	}
	if a.queued >= limits.queue && !a.evictFor(request) {
		return nil, errQueueFull
	}
	now := a.now()
	w := &waiter{admissionRequest: request, enqueued: now, due: request.dueFrom(now), position: a.waitersAhead(request) + 1, done: make(chan struct{})}
	a.enqueue(w)
	a.grantSlots()
	return w, nil
}

// setRateLimit replaces the limit on the rate of an instance of the target. It reports
// whether that changed the limit.
func (a *admissionQueue) setRateLimit(instance string, limit RateLimit) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if instance != a.rate.instance || limit == a.rate.limit {
		return false
	}
	a.rate.set(limit, a.now())
	a.grantSlots()
	return true
}

// rateLimit returns the limit that the target has named.
func (a *admissionQueue) rateLimit() RateLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rate.limit
}

// serviceTimeOf returns the mean time that a request of a rank holds a slot.
func (a *admissionQueue) serviceTimeOf(rank int) time.Duration {
	if known, found := a.serviceTimes[rank]; found {
		return known
	}
	return a.serviceTime
}

// waitersAhead counts the waiters that are expected to get a slot before a request
// that arrives now.
func (a *admissionQueue) waitersAhead(request admissionRequest) int {
	due := request.dueFrom(a.now())
	count := a.clientsAhead(request, due)
	if request.isOfClient() {
		return count
	}
	for workspace, queue := range a.queues {
		for _, other := range queue {
			if workspace != request.workspace || !other.isBehind(request.queuePriority(), due) {
				count++
			}
		}
	}
	return count
}

// evictFor makes room for a request by refusing the last waiter of the longest
// queue: of another workspace if that queue is longer than the request's own would
// become, or of the same workspace if that waiter has a lower priority.
func (a *admissionQueue) evictFor(request admissionRequest) bool {
	if a.evictClientFor(request) {
		return true
	}
	if request.isOfClient() {
		return false
	}
	longest := ""
	for name, queue := range a.queues {
		if longest == "" || len(queue) > len(a.queues[longest]) {
			longest = name
		}
	}
	if own := a.queues[request.workspace]; len(own) > 0 && own[len(own)-1].queuePriority() > request.queuePriority() {
		longest = request.workspace
	}
	queue := a.queues[longest]
	if len(queue) == 0 {
		return false
	}
	last := queue[len(queue)-1]
	lessUrgent := longest == request.workspace && last.queuePriority() > request.queuePriority()
	if !lessUrgent && len(queue) <= len(a.queues[request.workspace])+1 {
		return false
	}
	a.remove(last)
	last.finish(errQueueFull)
	return true
}

func (w *waiter) finish(err error) {
	w.err = err
	close(w.done)
}

// isBehind reports whether a request that arrives later, with a queuePriority and a
// time at which it is due, goes before the waiter.
func (w *waiter) isBehind(queuePriority int, due time.Time) bool {
	if own := w.queuePriority(); own != queuePriority {
		return own > queuePriority
	}
	return w.due.After(due)
}

// enqueue inserts a waiter into the queue of its workspace.
func (a *admissionQueue) enqueue(w *waiter) {
	if w.isOfClient() {
		a.enqueueClient(w)
		return
	}
	if len(a.queues[w.workspace]) == 0 {
		a.workspaces = append(a.workspaces, w.workspace)
	}
	queue := a.queues[w.workspace]
	at := len(queue)
	for at > 0 && queue[at-1].isBehind(w.queuePriority(), w.due) {
		at--
	}
	a.queues[w.workspace] = slices.Insert(queue, at, w)
	a.queued++
}

// remove takes a waiter out of its queue and reports whether it was there.
func (a *admissionQueue) remove(w *waiter) bool {
	if w.isOfClient() {
		return a.removeClient(w)
	}
	queue := a.queues[w.workspace]
	for i, other := range queue {
		if other != w {
			continue
		}
		a.setQueue(w.workspace, append(queue[:i:i], queue[i+1:]...))
		a.queued--
		return true
	}
	return false
}

func (a *admissionQueue) setQueue(workspace string, queue []*waiter) {
	if len(queue) > 0 {
		a.queues[workspace] = queue
		return
	}
	delete(a.queues, workspace)
	for i, name := range a.workspaces {
		if name == workspace {
			a.workspaces = append(a.workspaces[:i:i], a.workspaces[i+1:]...)
			return
		}
	}
}

// cancelWait ends the wait of a waiter with cause, unless it has been granted a
// slot or refused meanwhile.
func (a *admissionQueue) cancelWait(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.remove(w) {
		a.recordWait(w)
		return cause
	}
	return w.err
}

// close refuses the waiters and all later requests, so that they have time left for
// another target. Requests that hold a slot keep it.
func (a *admissionQueue) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for a.queued > 0 {
		a.dequeue().finish(errDraining)
	}
}

// recordOutcome counts a request that succeeded or failed at the target.
func (a *admissionQueue) recordOutcome(failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failures.Add(failed, a.now())
}

// release frees a slot that was held for a time. The time of a failed request
// counts only if it is above the mean: a target that fails immediately is not a
// fast one.
func (a *admissionQueue) release(rank int, held time.Duration, succeeded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy--
	if succeeded || held > a.serviceTimeOf(rank) {
		a.serviceTime = movingMean(a.serviceTime, held)
		a.serviceTimes[rank] = movingMean(a.serviceTimes[rank], held)
	}
	a.grantSlots()
}

// movingMean returns a moving mean after a new sample. A mean of 0 stands for no
// samples.
func movingMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(serviceTimeWeight*float64(sample-mean))
}

// grantSlots gives free slots to waiters in turn, as the rate limit allows, and refuses
// those that can no longer meet their deadline.
func (a *admissionQueue) grantSlots() {
	for a.hasFreeSlot() && a.queued > 0 {
		if !a.rate.take(a.now()) {
			a.grantSlotsLater()
			return
		}
		w := a.dequeue()
		a.recordWait(w)
		if a.now().Add(a.serviceTimeOf(w.rank())).After(w.deadline) {
			a.rate.giveBack()
			w.finish(errDeadlineTooSoon)
			continue
		}
		a.occupySlot()
		w.finish(nil)
	}
	a.grantSlotsAsPaced()
}

// grantSlotsLater grants slots once the rate limit allows another request.
func (a *admissionQueue) grantSlotsLater() {
	if a.wake != nil {
		return
	}
	a.wake = time.AfterFunc(a.rate.delay(a.now()), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.wake = nil
		a.grantSlots()
	})
}

// dequeue removes and returns the first waiter of the workspace whose turn it is.
func (a *admissionQueue) dequeue() *waiter {
	if w := a.dequeueClient(); w != nil {
		return w
	}
	workspace := a.workspaces[0]
	a.workspaces = append(a.workspaces[1:len(a.workspaces):len(a.workspaces)], workspace)
	w := a.queues[workspace][0]
	a.remove(w)
	return w
}

// load returns the load of the target without the values that depend on the
// rank of a call.
func (a *admissionQueue) load() route.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return route.Load{Busy: a.busy, Slots: a.rate.usableSlots(a.reportedSlots(), a.serviceTime), Queued: a.queued}
}

// loadFor returns the load that is reported in the response to a call of a rank.
func (a *admissionQueue) loadFor(rank int) route.Load {
	load := a.load()
	a.mu.Lock()
	defer a.mu.Unlock()
	load.ServiceTime = a.serviceTimes[rank]
	load.FailureRate = a.failures.Rate(a.now())
	return load
}
