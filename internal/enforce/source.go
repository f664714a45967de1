package enforce

import "github.com/mulberrybank/mulberrybank/internal/publish"

// Source returns the source of a workspace and its version at the applied offset.
// It reports false when there is no such source.
func (e *Enforcer) Source(workspace string) (*publish.Source, publish.Version, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Source(workspace)
}
