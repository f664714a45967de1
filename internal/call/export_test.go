package call

import (
	"context"
	"time"
)

// Names for tests in other packages.
var (
	ParseDeadline = parseDeadline
	ParseKey      = parseKey
	SplitPath     = splitPath
)

// Gate shows a gate to tests.
type Gate struct{ gate *gate }

// NewGate returns a gate by the wall clock.
func NewGate() *Gate { return &Gate{newGate(time.Now)} }

// Enter takes a slot.
func (g *Gate) Enter(ctx context.Context, workspace string, deadline time.Time, slots, queue int, timeout time.Duration) error {
	return g.EnterAs(ctx, workspace, 0, deadline, slots, queue, timeout)
}

// EnterAs takes a slot for a request of a rank.
func (g *Gate) EnterAs(ctx context.Context, workspace string, priority int, deadline time.Time, slots, queue int, timeout time.Duration) error {
	request := ticket{workspace: workspace, priority: priority, deadline: deadline}
	return g.gate.enter(ctx, request, limits{slots: slots, queue: queue, timeout: timeout})
}

// Leave frees a slot.
func (g *Gate) Leave(held time.Duration) { g.LeaveAs(held, true) }

// LeaveAs frees a slot after a request that was answered or failed.
func (g *Gate) LeaveAs(held time.Duration, answered bool) { g.gate.leave(0, held, answered) }

// Took returns how long a request holds a slot.
func (g *Gate) Took() time.Duration { return g.gate.loadFor(0).ServiceTime }

// Load returns how many requests hold slots and how many wait.
func (g *Gate) Load() (busy, queued int) {
	load := g.gate.load()
	return load.Busy, load.Queued
}

// Shares shows the bound on calls in progress to tests.
type Shares struct{ shares *shares }

// NewShares returns a bound of so many calls.
func NewShares(limit int) *Shares { return &Shares{newShares(limit)} }

// Take counts a call of a service if it may go on.
func (s *Shares) Take(service string) bool { return s.shares.take(service) }

// Give ends a call.
func (s *Shares) Give(service string) { s.shares.give(service) }
