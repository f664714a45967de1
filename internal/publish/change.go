package publish

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrybank/mulberrybank/internal/platform"
)

// ErrBaseMismatch reports a change whose base is not the workspace's current
// full configuration. The state is unchanged, and other records may still be
// applied.
var ErrBaseMismatch = errors.New("the change has another base edition")

// namedMessage is a service, route or client workspace of a full configuration.
type namedMessage interface {
	proto.Message
	GetName() string
}

// canonical returns a full configuration with its services, routes and client
// workspaces sorted by name, so that equal configurations are equal messages.
func canonical(full *Whole) *Whole {
	sorted := &Whole{
		Workspace: full.GetWorkspace(),
		Edition:   full.GetEdition(),
		Services:  slices.Clone(full.GetServices()),
		Routes:    slices.Clone(full.GetRoutes()),
		Limits:    full.GetLimits(),
		Clients:   canonicalClients(full.GetClients()),
	}
	sortByName(sorted.Services)
	sortByName(sorted.Routes)
	return sorted
}

func sortByName[T namedMessage](items []T) {
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// changeBetween returns the difference between two canonical full
// configurations, nil when either has two services, routes or client workspaces of one
// name.
func changeBetween(base, next *Whole) *WholeChange {
	setServices, removeServices, ok := diffByName(base.GetServices(), next.GetServices(), equalMessages)
	if !ok {
		return nil
	}
	setRoutes, removeRoutes, ok := diffByName(base.GetRoutes(), next.GetRoutes(), equalMessages)
	if !ok {
		return nil
	}
	setClients, removeClients, ok := diffByName(base.GetClients(), next.GetClients(), equalClient)
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
		SetClients:     setClients,
		RemoveClients:  removeClients,
	}
}

// diffByName returns the items to set and the names to remove that turn base into
// next, which must both be sorted by name. It reports false when a name occurs
// twice.
func diffByName[T namedMessage](base, next []T, equal func(a, b T) bool) (set []T, remove []string, ok bool) {
	for i, j := 0, 0; i < len(base) || j < len(next); {
		if isDuplicateName(base, i) || isDuplicateName(next, j) {
			return nil, nil, false
		}
		switch order := compareNamesAt(base, i, next, j); {
		case order < 0:
			remove = append(remove, base[i].GetName())
			i++
		case order > 0:
			set = append(set, next[j])
			j++
		default:
			if !equal(base[i], next[j]) {
				set = append(set, next[j])
			}
			i++
			j++
		}
	}
	return set, remove, true
}

func equalMessages[T proto.Message](a, b T) bool { return proto.Equal(a, b) }

// isDuplicateName reports whether an item has the same name as its predecessor.
func isDuplicateName[T namedMessage](items []T, i int) bool {
	return i > 0 && i < len(items) && items[i].GetName() == items[i-1].GetName()
}

// compareNamesAt compares the names at two indexes. An index past the end sorts
// last.
func compareNamesAt[T namedMessage](base []T, i int, next []T, j int) int {
	switch {
	case i == len(base):
		return 1
	case j == len(next):
		return -1
	default:
		return cmp.Compare(base[i].GetName(), next[j].GetName())
	}
}

// apply returns the full configuration that results from a change, of a record with a
// schema number, to its base. A change that a binary without client workspaces made lacks
// what changed in those, so it does not apply to a base that has them.
func (c *WholeChange) apply(schema uint32, base *Whole) (*Whole, error) {
	if base == nil || base.GetEdition() != c.GetBase() {
		return nil, fmt.Errorf("%w: base is %d, current edition is %d", ErrBaseMismatch, c.GetBase(), base.GetEdition())
	}
	if schema < schemaOfFullConfig(base) {
		return nil, fmt.Errorf("%w: the change has schema %d, its base has client workspaces or public routes", ErrBaseMismatch, schema)
	}
	return &Whole{
		Workspace: c.GetWorkspace(),
		Edition:   c.GetEdition(),
		Services:  applyChanges(base.GetServices(), c.GetSetServices(), c.GetRemoveServices()),
		Routes:    applyChanges(base.GetRoutes(), c.GetSetRoutes(), c.GetRemoveRoutes()),
		Limits:    c.GetLimits(),
		Clients:   applyChanges(base.GetClients(), c.GetSetClients(), c.GetRemoveClients()),
	}, nil
}

// applyChanges returns the items of base with those in set added or replaced and
// those in remove dropped, sorted by name.
func applyChanges[T namedMessage](base, set []T, remove []string) []T {
	dropped := make(map[string]bool, len(set)+len(remove))
	for _, name := range remove {
		dropped[name] = true
	}
	for _, item := range set {
		dropped[item.GetName()] = true
	}
	next := make([]T, 0, len(base)+len(set))
	for _, item := range base {
		if !dropped[item.GetName()] {
			next = append(next, item)
		}
	}
	next = append(next, set...)
	sortByName(next)
	return next
}

// CompactRecord returns the last applied record re-encoded as a difference, if
// it holds a full configuration that replaced another one and the difference is
// shorter. Otherwise it returns the record unchanged. Both forms give the same
// state when applied at the previous offset.
func (m *StateMachine) CompactRecord(record platform.Record) platform.Record {
	if record.Offset != m.offset || m.change == nil {
		return record
	}
	payload, err := encodeEntry(&Entry{Schema: m.changeSchema, Kind: &Entry_WholeChange{WholeChange: m.change}})
	if err != nil || len(payload) >= len(record.Payload) {
		return record
	}
	record.Payload = payload
	return record
}
