package publish

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// ErrBaseMismatch says that a change does not apply to the whole in force. The state is
// unchanged, and other records may still be folded.
var ErrBaseMismatch = errors.New("the change is to another edition")

// named is a part of a whole configuration.
type named interface {
	proto.Message
	GetName() string
}

// canonical returns a whole with its parts sorted by name, so that equal
// configurations are equal messages.
func canonical(whole *Whole) *Whole {
	sorted := &Whole{
		Workspace: whole.GetWorkspace(),
		Edition:   whole.GetEdition(),
		Services:  slices.Clone(whole.GetServices()),
		Routes:    slices.Clone(whole.GetRoutes()),
		Limits:    whole.GetLimits(),
	}
	sortByName(sorted.Services)
	sortByName(sorted.Routes)
	return sorted
}

func sortByName[T named](parts []T) {
	slices.SortStableFunc(parts, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// changeOf returns the change from one canonical whole to the next, nil when
// either names a part twice.
func changeOf(base, next *Whole) *WholeChange {
	setServices, removeServices, ok := difference(base.GetServices(), next.GetServices())
	if !ok {
		return nil
	}
	setRoutes, removeRoutes, ok := difference(base.GetRoutes(), next.GetRoutes())
	if !ok {
		return nil
	}
	return &WholeChange{
		Workspace:      next.GetWorkspace(),
		Base:           base.GetEdition(),
		Edition:        next.GetEdition(),
		SetServices:    setServices,
		RemoveServices: removeServices,
		SetRoutes:      setRoutes,
		RemoveRoutes:   removeRoutes,
		Limits:         next.GetLimits(),
	}
}

// difference compares parts that are sorted by name. It reports false when a
// name stands twice.
func difference[T named](base, next []T) (set []T, remove []string, ok bool) {
	for i, j := 0, 0; i < len(base) || j < len(next); {
		if repeated(base, i) || repeated(next, j) {
			return nil, nil, false
		}
		switch order := compareAt(base, i, next, j); {
		case order < 0:
			remove = append(remove, base[i].GetName())
			i++
		case order > 0:
			set = append(set, next[j])
			j++
		default:
			if !proto.Equal(base[i], next[j]) {
				set = append(set, next[j])
			}
			i++
			j++
		}
	}
	return set, remove, true
}

// repeated reports whether a part bears the name of the one before it.
func repeated[T named](parts []T, i int) bool {
	return i > 0 && i < len(parts) && parts[i].GetName() == parts[i-1].GetName()
}

// compareAt compares the names at two places. A place past the end is last.
func compareAt[T named](base []T, i int, next []T, j int) int {
	switch {
	case i == len(base):
		return 1
	case j == len(next):
		return -1
	default:
		return cmp.Compare(base[i].GetName(), next[j].GetName())
	}
}

// apply returns the whole that a change makes of its base.
func (c *WholeChange) apply(base *Whole) (*Whole, error) {
	if base == nil || base.GetEdition() != c.GetBase() {
		return nil, fmt.Errorf("%w: from %d, in force is %d", ErrBaseMismatch, c.GetBase(), base.GetEdition())
	}
	return &Whole{
		Workspace: c.GetWorkspace(),
		Edition:   c.GetEdition(),
		Services:  replaced(base.GetServices(), c.GetSetServices(), c.GetRemoveServices()),
		Routes:    replaced(base.GetRoutes(), c.GetSetRoutes(), c.GetRemoveRoutes()),
		Limits:    c.GetLimits(),
	}, nil
}

// replaced returns parts with some set and some removed, sorted by name.
func replaced[T named](base, set []T, remove []string) []T {
	gone := make(map[string]bool, len(set)+len(remove))
	for _, name := range remove {
		gone[name] = true
	}
	for _, part := range set {
		gone[part.GetName()] = true
	}
	next := make([]T, 0, len(base)+len(set))
	for _, part := range base {
		if !gone[part.GetName()] {
			next = append(next, part)
		}
	}
	next = append(next, set...)
	sortByName(next)
	return next
}

// CompactRecord returns the record that was folded last as the change that it made,
// if it holds a whole configuration that replaced another one and the change is
// shorter. It gives the same state to a fold that stands at the offset before.
func (f *StateMachine) CompactRecord(record platform.Record) platform.Record {
	if record.Offset != f.offset || f.change == nil {
		return record
	}
	payload, err := encodeEntry(&Entry{Schema: Schema, Kind: &Entry_WholeChange{WholeChange: f.change}})
	if err != nil || len(payload) >= len(record.Payload) {
		return record
	}
	record.Payload = payload
	return record
}
