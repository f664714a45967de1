package call

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/fairqueue"
)

// Requests of client workspaces wait in a queue that is fair between workspaces. All
// others wait in the queues of admissionQueue, in the order that holds without client
// workspaces. Between the two, priority comes first and then the time at which a request
// is due.

// smallShare is added to each share. The few and irregular requests of a small workspace
// would otherwise be served less often than those of others.
const smallShare = 0.03

// isOfClient reports whether the request belongs to a client workspace.
func (r admissionRequest) isOfClient() bool { return r.share > 0 }

// fair returns what the fair queue needs to know of the request. A request without a
// client workspace counts as one of a workspace of its own with the mean share.
func (r admissionRequest) fair(due time.Time) fairqueue.Request {
	request := fairqueue.Request{Workspace: r.workspace, Weight: r.share + smallShare, Priority: r.priority, Late: r.late, Due: due}
	if !r.isOfClient() {
		request.Workspace, request.Weight = "", 1
	}
	return request
}

// countClient counts a request of a client workspace for the floor of its priority.
func (a *admissionQueue) countClient(request admissionRequest) {
	if request.isOfClient() {
		a.clients.Arrive(request.priority)
	}
}

// enqueueClient adds a waiter of a client workspace.
func (a *admissionQueue) enqueueClient(w *waiter) {
	w.entry = a.clients.Push(w.fair(w.due), w)
	a.queued++
}

// removeClient takes a waiter of a client workspace out of the queue and reports whether
// it was there.
func (a *admissionQueue) removeClient(w *waiter) bool {
	if !a.clients.Remove(w.entry) {
		return false
	}
	a.queued--
	return true
}

// dequeueClient removes and returns the first waiter of a client workspace. It returns
// nil if there is none, or if a waiter of another kind goes first.
func (a *admissionQueue) dequeueClient() *waiter {
	first := a.clients.First()
	if first == nil {
		return nil
	}
	if len(a.workspaces) > 0 {
		if other := a.queues[a.workspaces[0]][0]; other.goesBefore(first.Value) {
			return nil
		}
	}
	a.queued--
	return a.clients.Pop().Value
}

// goesBefore orders waiters of which one has a client workspace and the other has none.
func (w *waiter) goesBefore(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.due.Before(other.due)
}

// clientsAhead counts the waiters that go before a request that arrives now, as far as
// the request or the waiter has a client workspace.
func (a *admissionQueue) clientsAhead(request admissionRequest, due time.Time) int {
	if a.clients.Len() == 0 && !request.isOfClient() {
		return 0
	}
	count := a.clients.Ahead(request.fair(due))
	if !request.isOfClient() {
		return count
	}
	arriving := &waiter{admissionRequest: request, due: due}
	for _, queue := range a.queues {
		for _, other := range queue {
			if !arriving.goesBefore(other) {
				count++
			}
		}
	}
	return count
}

// evictClientFor makes room for a request by refusing a waiter of a client workspace. A
// request of a client workspace may also displace a less urgent waiter without one.
func (a *admissionQueue) evictClientFor(request admissionRequest) bool {
	if request.isOfClient() {
		if last := a.lastWithoutClient(); last != nil && a.yieldsTo(last, request) {
			a.remove(last)
			last.finish(errQueueFull)
			return true
		}
	}
	evicted := a.clients.EvictFor(request.fair(request.dueFrom(a.now())), len(a.queues[request.workspace]))
	if evicted == nil {
		return false
	}
	a.queued--
	evicted.Value.finish(errQueueFull)
	return true
}

// yieldsTo reports whether a waiter without a client workspace makes room for a request
// of one: if it is the least urgent of all, or at the same priority if its kind fills more
// than half of the queue.
func (a *admissionQueue) yieldsTo(w *waiter, request admissionRequest) bool {
	if w.priority == request.priority && a.queued > 2*a.clients.Len() {
		return !a.clients.HasBelow(w.priority)
	}
	return w.priority > request.priority && !a.clients.HasBelow(w.priority)
}

// lastWithoutClient returns the waiter without a client workspace that has the lowest
// priority, nil if there is none.
func (a *admissionQueue) lastWithoutClient() *waiter {
	var last *waiter
	for _, name := range a.workspaces {
		queue := a.queues[name]
		if w := queue[len(queue)-1]; last == nil || w.queuePriority() > last.queuePriority() {
			last = w
		}
	}
	return last
}
