package membership

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of parts of a Map. A change copies one of them.
const shardCount = 256

// Map is an immutable map from names. A changed copy shares all but one part with the
// original, so that a change costs the same in a large map as in a small one. The zero
// value is empty.
type Map[V any] struct {
	shards *[shardCount]map[string]V
	length int
}

// NewMap returns a Map with the given values.
func NewMap[V any](values map[string]V) Map[V] {
	m := Map[V]{shards: &[shardCount]map[string]V{}, length: len(values)}
	for name, value := range values {
		shard := &m.shards[shardOf(name)]
		if *shard == nil {
			*shard = make(map[string]V)
		}
		(*shard)[name] = value
	}
	return m
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// Get returns the value of a name and whether there is one.
func (m Map[V]) Get(name string) (value V, found bool) {
	if m.shards == nil {
		return value, false
	}
	value, found = m.shards[shardOf(name)][name]
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
		if m.shards == nil {
			return
		}
		for _, shard := range m.shards {
			for name, value := range shard {
				if !yield(name, value) {
					return
				}
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
	next := Map[V]{shards: &[shardCount]map[string]V{}}
	if m.shards != nil {
		*next.shards = *m.shards
	}
	number := shardOf(name)
	before := next.shards[number]
	shard := make(map[string]V, len(before)+1)
	maps.Copy(shard, before)
	change(shard)
	next.shards[number] = shard
	next.length = m.length + len(shard) - len(before)
	return next
}
