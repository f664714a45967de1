package publish

import (
	"maps"
	"slices"
)

// Source is the input from which the configuration of one workspace is rendered.
// It must not be modified after it is built.
type Source struct {
	Name string
	// Templates holds text/template texts by file name.
	Templates map[string]string
	// Parameters holds JSON values by name.
	Parameters map[string]string
}

// Clone returns a copy that may be modified.
func (s *Source) Clone() *Source {
	return &Source{
		Name:       s.Name,
		Templates:  maps.Clone(s.Templates),
		Parameters: maps.Clone(s.Parameters),
	}
}

// Diff returns a publication that turns the current source into the next one. Only
// the changes of templates and parameters and the workspace are set; the caller sets
// the other fields. A nil current source stands for an empty one.
func Diff(current, next *Source) *Publication {
	if current == nil {
		current = &Source{Name: next.Name}
	}
	publication := &Publication{Workspace: next.Name}
	publication.SetTemplates, publication.RemoveTemplates = diffMap(current.Templates, next.Templates)
	publication.SetParameters, publication.RemoveParameters = diffMap(current.Parameters, next.Parameters)
	return publication
}

func diffMap(current, next map[string]string) (map[string]string, []string) {
	set := map[string]string{}
	for name, value := range next {
		if old, found := current[name]; !found || old != value {
			set[name] = value
		}
	}
	var removed []string
	for name := range current {
		if _, found := next[name]; !found {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return set, removed
}

// patch returns the source that results from applying a publication to the current
// source, which is nil for a new workspace.
func patch(current *Source, publication *Publication) *Source {
	next := &Source{
		Name:       publication.GetWorkspace(),
		Templates:  map[string]string{},
		Parameters: map[string]string{},
	}
	if current != nil {
		maps.Copy(next.Templates, current.Templates)
		maps.Copy(next.Parameters, current.Parameters)
	}
	patchMap(next.Templates, publication.GetSetTemplates(), publication.GetRemoveTemplates())
	patchMap(next.Parameters, publication.GetSetParameters(), publication.GetRemoveParameters())
	return next
}

func patchMap(values, set map[string]string, remove []string) {
	for _, name := range remove {
		delete(values, name)
	}
	maps.Copy(values, set)
}

// size returns the number of bytes of names, templates and parameters.
func (s *Source) size() int {
	total := 0
	for name, text := range s.Templates {
		total += len(name) + len(text)
	}
	for name, value := range s.Parameters {
		total += len(name) + len(value)
	}
	return total
}
