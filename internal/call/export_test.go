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
	return g.gate.enter(ctx, workspace, deadline, limits{slots: slots, queue: queue, timeout: timeout})
}

// Leave frees a slot.
func (g *Gate) Leave(held time.Duration) { g.gate.leave(held) }

// Load returns how many requests hold slots and how many wait.
func (g *Gate) Load() (busy, queued int) {
	load := g.gate.load()
	return load.Busy, load.Queued
}
