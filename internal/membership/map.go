package membership

import (
	"cmp"
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// PartCount is the number of parts of a Map. A change copies one of them.
const PartCount = 256

// Map is an immutable map from names. A changed copy shares all but one part with the
// original, so that a change costs the same in a large map as in a small one. The zero
// value is empty.
type Map[V any] struct {
	parts  *[PartCount]*part[V]
	length int
}

// part holds the values of some names. A part that is nil is empty.
type part[V any] struct{ values map[string]V }

func (p *part[V]) get() map[string]V {
	if p == nil {
		return nil
	}
	return p.values
}

// NewMap returns a Map with the given values.
func NewMap[V any](values map[string]V) Map[V] {
	m := Map[V]{parts: &[PartCount]*part[V]{}, length: len(values)}
	for name, value := range values {
		p := &m.parts[partOf(name)]
		if *p == nil {
			*p = &part[V]{values: make(map[string]V)}
		}
		(*p).values[name] = value
	}
	return m
}

func partOf(name string) int { return int(xxhash.Sum64String(name) % PartCount) }

// Get returns the value of a name and whether there is one.
func (m Map[V]) Get(name string) (value V, found bool) {
	if m.parts == nil {
		return value, false
	}
	value, found = m.parts[partOf(name)].get()[name]
	return value, found
}

// At returns the value of a name, the zero value if there is none.
func (m Map[V]) At(name string) V {
	value, _ := m.Get(name)
	return value
}

// Len returns the number of names.
func (m Map[V]) Len() int { return m.length }

// All iterates over all names and values, in no order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.parts == nil {
			return
		}
		for _, p := range m.parts {
			for name, value := range p.get() {
				if !yield(name, value) {
					return
				}
			}
		}
	}
}

// ChangedParts iterates over the parts that differ from those of an earlier copy, by their
// number below PartCount. A name is in the same part of all maps.
func (m Map[V]) ChangedParts(before Map[V]) iter.Seq2[int, map[string]V] {
	return func(yield func(int, map[string]V) bool) {
		if m.parts == before.parts {
			return
		}
		var none [PartCount]*part[V]
		next, former := cmp.Or(m.parts, &none), cmp.Or(before.parts, &none)
		for number, p := range next {
			if p != former[number] && !yield(number, p.get()) {
				return
			}
		}
	}
}

// With returns a copy in which a name has a value.
func (m Map[V]) With(name string, value V) Map[V] {
	return m.changed(name, func(shard map[string]V) { shard[name] = value })
}

// Without returns a copy without a name.
func (m Map[V]) Without(name string) Map[V] {
	return m.changed(name, func(shard map[string]V) { delete(shard, name) })
}

// changed returns a copy whose part that holds a name is changed.
func (m Map[V]) changed(name string, change func(map[string]V)) Map[V] {
	next := Map[V]{parts: &[PartCount]*part[V]{}}
	if m.parts != nil {
		*next.parts = *m.parts
	}
	number := partOf(name)
	before := next.parts[number].get()
	values := make(map[string]V, len(before)+1)
	maps.Copy(values, before)
	change(values)
	next.parts[number] = &part[V]{values: values}
	next.length = m.length + len(values) - len(before)
	return next
}
