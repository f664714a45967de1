package admin

import (
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// restoring returns the publication that turns the current source of a
// workspace into the content of an old one.
func restoring(current, old *publish.WorkspaceSource) *publish.Publication {
	p := &publish.Publication{Workspace: current.GetName(), Base: current.GetVersion()}
	p.SetTemplates, p.RemoveTemplates = changes(current.GetTemplates(), old.GetTemplates())
	p.SetParameters, p.RemoveParameters = changes(current.GetParameters(), old.GetParameters())
	return p
}

// changes returns what to set and what to remove to turn one map into another.
func changes(from, to map[string]string) (map[string]string, []string) {
	set := map[string]string{}
	for name, value := range to {
		if have, ok := from[name]; !ok || have != value {
			set[name] = value
		}
	}
	var remove []string
	for name := range from {
		if _, ok := to[name]; !ok {
			remove = append(remove, name)
		}
	}
	slices.Sort(remove)
	return set, remove
}
