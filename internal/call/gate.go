package call

import (
	"context"
	"errors"
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

// waiter is one request in the queue.
type waiter struct {
	workspace string
	deadline  time.Time
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
	// serviceTime is the moving mean time that a request holds a slot.
	serviceTime time.Duration
}

func newGate(now func() time.Time) *gate {
	return &gate{now: now, lines: make(map[string][]*waiter)}
}

// enter takes a slot, waiting for one if need be. leave must follow a nil
// error.
func (g *gate) enter(ctx context.Context, workspace string, deadline time.Time, limits limits) error {
	entry, err := g.line(workspace, deadline, limits)
	if err != nil || entry == nil {
		return err
	}
	timer := time.NewTimer(limits.timeout)
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
func (g *gate) line(workspace string, deadline time.Time, limits limits) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.grant()
	if g.busy < limits.slots && g.queued == 0 {
		g.busy++
		return nil, nil
	}
	if !g.canMeet(deadline) {
		return nil, errTooLate
	}
	if g.queued >= limits.queue && !g.displace(workspace) {
		return nil, errQueueFull
	}
	entry := &waiter{workspace: workspace, deadline: deadline, settled: make(chan struct{})}
	g.push(entry)
	return entry, nil
}

// canMeet reports whether a request that queues now is expected to end in time.
func (g *gate) canMeet(deadline time.Time) bool {
	slots := max(g.limits.slots, 1)
	wait := g.serviceTime * time.Duration(g.queued+1) / time.Duration(slots)
	return g.now().Add(wait + g.serviceTime).Before(deadline)
}

// displace makes room for a workspace by refusing the last waiter of the
// longest line, if that line is longer than the workspace's own would be.
func (g *gate) displace(workspace string) bool {
	longest := ""
	for name, line := range g.lines {
		if longest == "" || len(line) > len(g.lines[longest]) {
			longest = name
		}
	}
	line := g.lines[longest]
	if len(line) <= len(g.lines[workspace])+1 {
		return false
	}
	last := line[len(line)-1]
	g.remove(last)
	last.settle(errQueueFull)
	return true
}

func (w *waiter) settle(err error) {
	w.err = err
	close(w.settled)
}

func (g *gate) push(entry *waiter) {
	if len(g.lines[entry.workspace]) == 0 {
		g.turns = append(g.turns, entry.workspace)
	}
	g.lines[entry.workspace] = append(g.lines[entry.workspace], entry)
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
		return cause
	}
	return entry.err
}

// leave frees a slot that was held for a time.
func (g *gate) leave(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	if g.serviceTime == 0 {
		g.serviceTime = held
	}
	g.serviceTime += time.Duration(serviceTimeWeight * float64(held-g.serviceTime))
	g.grant()
}

// grant gives free slots to waiters in turn and refuses those that are late.
func (g *gate) grant() {
	for g.busy < g.limits.slots && g.queued > 0 {
		entry := g.next()
		if g.now().Add(g.serviceTime).After(entry.deadline) {
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

// load is what the gate reports with answers.
func (g *gate) load() route.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return route.Load{Busy: g.busy, Slots: g.limits.slots, Queued: g.queued}
}
