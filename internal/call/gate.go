package call

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/route"
)

// Reasons why a gate does not admit a request.
var (
	errQueueFull    = errors.New("queue is full")
	errQueueTimeout = errors.New("no slot became free in time")
	errTooLate      = errors.New("deadline cannot be met")
)

// serviceTimeWeight is the weight of a new sample in the mean service time.
const serviceTimeWeight = 0.1

// limits of a gate, read from the configuration of each request.
type limits struct {
	slots   int
	queue   int
	timeout time.Duration
}

// ticket is a request before a gate.
type ticket struct {
	workspace string
	// priority is the rank of the request, 0 the highest.
	priority int
	// late says that half of the objective had passed when the call came.
	late     bool
	deadline time.Time
	// objective is the time within which an answer has its full value, 0 when
	// none is given.
	objective time.Duration
}

// rank orders requests of one line: by priority, then those that can still meet
// their objective first.
func (t ticket) rank() int {
	if t.late {
		return 2*t.priority + 1
	}
	return 2 * t.priority
}

// waiter is one request in the queue.
type waiter struct {
	ticket
	since time.Time
	// place is how many waiters were ahead when it came, itself included.
	place int
	// settled is closed when the waiter has left the queue; err says how.
	settled chan struct{}
	err     error
}

// gate admits requests to the slots of one target. Requests beyond wait in a
// short queue, each workspace in its own line, and lines take turns.
type gate struct {
	now func() time.Time

	mu     sync.Mutex
	busy   int
	queued int
	lines  map[string][]*waiter
	// turns holds the workspaces with waiters, the next one first.
	turns []string
	// limits are those of the latest request.
	limits limits
	// serviceTime is the moving mean time that a request holds a slot, and
	// rankTimes the same for the requests of each rank.
	serviceTime time.Duration
	rankTimes   map[int]time.Duration
	// waits holds, by rank, what a place in the queue has cost of late.
	waits map[int]*placeWait
	// tally counts how requests ended at the target.
	tally route.FailureTracker
}

func newGate(now func() time.Time) *gate {
	return &gate{now: now, lines: make(map[string][]*waiter), rankTimes: make(map[int]time.Duration), waits: make(map[int]*placeWait)}
}

// enter takes a slot, waiting for one if need be. leave must follow a nil
// error.
func (g *gate) enter(ctx context.Context, request ticket, limits limits) error {
	entry, err := g.line(request, limits)
	if err != nil || entry == nil {
		return err
	}
	timer := time.NewTimer(min(limits.timeout, g.mayWait(request)))
	defer timer.Stop()
	select {
	case <-entry.settled:
		return entry.err
	case <-timer.C:
		return g.giveUp(entry, errQueueTimeout)
	case <-ctx.Done():
		return g.giveUp(entry, ctx.Err())
	}
}

// line takes a free slot or queues. It returns nil when it took a slot.
func (g *gate) line(request ticket, limits limits) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.grant()
	if g.busy < limits.slots && g.queued == 0 {
		g.busy++
		return nil, nil
	}
	if limits.queue == 0 {
		return nil, errQueueFull
	}
	if !g.canMeet(request) {
		return nil, errTooLate
	}
	if g.queued >= limits.queue && !g.displace(request) {
		return nil, errQueueFull
	}
	entry := &waiter{ticket: request, since: g.now(), place: g.ahead(request) + 1, settled: make(chan struct{})}
	g.push(entry)
	return entry, nil
}

// timeOf returns the mean time that a request of a rank holds a slot.
func (g *gate) timeOf(priority int) time.Duration {
	if known, found := g.rankTimes[priority]; found {
		return known
	}
	return g.serviceTime
}

// ahead counts the waiters that get a slot before a request that comes now.
func (g *gate) ahead(request ticket) int {
	count := 0
	for workspace, line := range g.lines {
		for _, other := range line {
			if workspace != request.workspace || other.rank() <= request.rank() {
				count++
			}
		}
	}
	return count
}

// displace makes room for a request by refusing the last waiter of the longest
// line: of another workspace, if that line is longer than the request's own
// would be, or of the same one, if that waiter is less urgent.
func (g *gate) displace(request ticket) bool {
	longest := ""
	for name, line := range g.lines {
		if longest == "" || len(line) > len(g.lines[longest]) {
			longest = name
		}
	}
	if own := g.lines[request.workspace]; len(own) > 0 && own[len(own)-1].rank() > request.rank() {
		longest = request.workspace
	}
	line := g.lines[longest]
	if len(line) == 0 {
		return false
	}
	last := line[len(line)-1]
	lessUrgent := longest == request.workspace && last.rank() > request.rank()
	if !lessUrgent && len(line) <= len(g.lines[request.workspace])+1 {
		return false
	}
	g.remove(last)
	last.settle(errQueueFull)
	return true
}

func (w *waiter) settle(err error) {
	w.err = err
	close(w.settled)
}

// push puts a waiter into the line of its workspace, behind those that are as
// urgent.
func (g *gate) push(entry *waiter) {
	if len(g.lines[entry.workspace]) == 0 {
		g.turns = append(g.turns, entry.workspace)
	}
	line := g.lines[entry.workspace]
	at := len(line)
	for at > 0 && line[at-1].rank() > entry.rank() {
		at--
	}
	g.lines[entry.workspace] = slices.Insert(line, at, entry)
	g.queued++
}

// remove takes a waiter out of its line and reports whether it was there.
func (g *gate) remove(entry *waiter) bool {
	line := g.lines[entry.workspace]
	for i, other := range line {
		if other != entry {
			continue
		}
		g.setLine(entry.workspace, append(line[:i:i], line[i+1:]...))
		g.queued--
		return true
	}
	return false
}

func (g *gate) setLine(workspace string, line []*waiter) {
	if len(line) > 0 {
		g.lines[workspace] = line
		return
	}
	delete(g.lines, workspace)
	for i, name := range g.turns {
		if name == workspace {
			g.turns = append(g.turns[:i:i], g.turns[i+1:]...)
			return
		}
	}
}

// giveUp ends the wait of an entry, unless it was settled meanwhile.
func (g *gate) giveUp(entry *waiter, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.remove(entry) {
		g.learn(entry)
		return cause
	}
	return entry.err
}

// ended counts how a request ended at the target.
func (g *gate) ended(failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally.Add(failed, g.now())
}

// leave frees a slot that was held for a time. The time of a request that failed
// counts only if it was long: a target that fails at once is not a fast one.
func (g *gate) leave(priority int, held time.Duration, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	if answered || held > g.timeOf(priority) {
		g.serviceTime = moved(g.serviceTime, held)
		g.rankTimes[priority] = moved(g.rankTimes[priority], held)
	}
	g.grant()
}

// moved returns a moving mean after a new sample. A mean of 0 has none yet.
func moved(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(serviceTimeWeight*float64(sample-mean))
}

// grant gives free slots to waiters in turn and refuses those that are late.
func (g *gate) grant() {
	for g.busy < g.limits.slots && g.queued > 0 {
		entry := g.next()
		g.learn(entry)
		if g.now().Add(g.timeOf(entry.priority)).After(entry.deadline) {
			entry.settle(errTooLate)
			continue
		}
		g.busy++
		entry.settle(nil)
	}
}

// next takes the first waiter of the workspace whose turn it is.
func (g *gate) next() *waiter {
	workspace := g.turns[0]
	g.turns = append(g.turns[1:len(g.turns):len(g.turns)], workspace)
	entry := g.lines[workspace][0]
	g.remove(entry)
	return entry
}

// load is what the gate reports with answers, not to a call of any rank.
func (g *gate) load() route.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return route.Load{Busy: g.busy, Slots: g.limits.slots, Queued: g.queued}
}

// loadFor is what the gate reports with answers to a call of a rank.
func (g *gate) loadFor(priority int) route.Load {
	load := g.load()
	g.mu.Lock()
	defer g.mu.Unlock()
	load.ServiceTime = g.rankTimes[priority]
	load.FailureRate = g.tally.Rate(g.now())
	return load
}
