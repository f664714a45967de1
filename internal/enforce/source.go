package enforce

import "github.com/mulberrybank/mulberrybank/internal/publish"

// Source returns the source of a workspace at the offset folded and its
// version, false when there is no such workspace.
func (e *Enforcer) Source(workspace string) (*publish.Source, publish.Version, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fold.Source(workspace)
}
