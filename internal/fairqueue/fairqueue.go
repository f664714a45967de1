// Package fairqueue orders the requests that wait for the slots of one target: by
// priority with a floor for each, within a priority fairly between workspaces, and within
// a workspace by when they are due.
//
// The order between workspaces is start-time fair queuing. Each workspace has a virtual
// start time, which a request that is served advances by the inverse of the workspace's
// weight; the workspace with the earliest start is served next. A workspace that was idle
// starts at most credit requests before the present virtual time, so it saves up no more
// service than that and does not pay for the time in which nobody else wanted the slots.
package fairqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// credit is the number of requests that an idle workspace saves up. Without it, the rare
// and irregular requests of a small workspace often miss their turn.
const credit = 2

// minPrune is the smallest number of flows of a priority at which idle ones are searched.
const minPrune = 64

// Request is what the order depends on.
type Request struct {
	Workspace string
	// Weight is the share of the workspace relative to others, above 0.
	Weight float64
	// Priority is 0 for the highest.
	Priority int
	// Late requests of a workspace go after the others.
	Late bool
	// Due orders the requests of one workspace.
	Due time.Time
}

// isBefore reports whether a request goes before another one of its workspace.
func (r Request) isBefore(other Request) bool {
	if r.Late != other.Late {
		return other.Late
	}
	return r.Due.Before(other.Due)
}

// Entry is a waiting request with a value of the caller.
type Entry[T any] struct {
	Request
	Value T
	// arrived numbers the entries by arrival.
	arrived uint64
}

// flow holds the waiting requests of one workspace in one priority.
type flow[T any] struct {
	workspace string
	weight    float64
	// start is the virtual start time of the first entry, or of the next one to arrive.
	start   float64
	entries []*Entry[T]
}

// load is the number of waiting requests relative to the weight.
func (f *flow[T]) load(further int) float64 { return float64(len(f.entries)+further) / f.weight }

// level holds the flows of one priority.
type level[T any] struct {
	priority int
	waiting  int
	// now is the virtual time, the latest start of the entries served so far.
	now float64
	// active holds the flows with waiting requests, and flows also those whose start has
	// not passed.
	active []*flow[T]
	flows  map[string]*flow[T]
	// pruneAt is the number of flows at which those whose start has passed are
	// forgotten.
	pruneAt int
}

// Queue holds waiting requests. The zero value is empty and ready to use. It is not safe
// for concurrent use.
type Queue[T any] struct {
	// levels holds the priorities with waiting requests, the most urgent first.
	levels []*level[T]
	// idle holds the other priorities, for as long as any request waits.
	idle    map[int]*level[T]
	arrived uint64
	waiting int
	// classes counts what each priority gets.
	classes classes
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Push adds a request.
func (q *Queue[T]) Push(request Request, value T) *Entry[T] {
	q.arrived++
	entry := &Entry[T]{Request: request, Value: value, arrived: q.arrived}
	l := q.levelFor(request.Priority)
	f := l.flowOf(request.Workspace)
	f.weight = request.Weight
	if len(f.entries) == 0 {
		f.start = l.startAfter(f)
		l.active = append(l.active, f)
	}
	at := f.position(request)
	f.entries = slices.Insert(f.entries, at, entry)
	l.waiting++
	q.waiting++
	return entry
}

// flowOf returns the flow of a workspace and adds it if necessary.
func (l *level[T]) flowOf(workspace string) *flow[T] {
	f := l.flows[workspace]
	if f != nil {
		return f
	}
	if len(l.flows) >= l.pruneAt {
		maps.DeleteFunc(l.flows, func(_ string, f *flow[T]) bool {
			return len(f.entries) == 0 && f.start <= l.now-credit/f.weight
		})
		l.pruneAt = 2*len(l.flows) + minPrune
	}
	f = &flow[T]{workspace: workspace, start: math.Inf(-1)}
	l.flows[workspace] = f
	return f
}

// startAfter returns the virtual start of the next entry of an idle flow.
func (l *level[T]) startAfter(f *flow[T]) float64 {
	return max(f.start, l.now-credit/f.weight)
}

// position returns how many entries of the flow go before a request that arrives now.
func (f *flow[T]) position(request Request) int {
	at := len(f.entries)
	for at > 0 && request.isBefore(f.entries[at-1].Request) {
		at--
	}
	return at
}

// levelFor returns the level of a priority and adds it if necessary.
func (q *Queue[T]) levelFor(priority int) *level[T] {
	at, found := q.findLevel(priority)
	if !found {
		l := q.idle[priority]
		if l == nil {
			l = &level[T]{priority: priority, flows: make(map[string]*flow[T])}
		}
		delete(q.idle, priority)
		q.levels = slices.Insert(q.levels, at, l)
	}
	return q.levels[at]
}

func (q *Queue[T]) findLevel(priority int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, priority, func(l *level[T], priority int) int { return l.priority - priority })
}

// First returns the entry that is served next, nil if there is none.
func (q *Queue[T]) First() *Entry[T] {
	if len(q.levels) == 0 {
		return nil
	}
	return q.levels[q.nextLevel()].next().entries[0]
}

// next returns the flow that is served next.
func (l *level[T]) next() *flow[T] {
	next := l.active[0]
	for _, f := range l.active[1:] {
		if f.start < next.start || f.start == next.start && f.entries[0].arrived < next.entries[0].arrived {
			next = f
		}
	}
	return next
}

// Pop removes and returns the entry that is served next, nil if there is none.
func (q *Queue[T]) Pop() *Entry[T] {
	if len(q.levels) == 0 {
		return nil
	}
	at := q.nextLevel()
	l := q.levels[at]
	f := l.next()
	entry := f.entries[0]
	l.now = max(l.now, f.start)
	f.start += 1 / f.weight
	q.classes.serve(l.priority)
	q.removeAt(at, f, 0)
	return entry
}

// Remove removes an entry that is not served. It reports whether it was waiting.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	at, found := q.findLevel(entry.Priority)
	if !found {
		return false
	}
	f := q.levels[at].flows[entry.Workspace]
	if f == nil {
		return false
	}
	i := slices.Index(f.entries, entry)
	if i < 0 {
		return false
	}
	q.removeAt(at, f, i)
	return true
}

// removeAt removes an entry of a flow. The idle levels are discarded once no request
// waits, since no workspace is behind its share then.
func (q *Queue[T]) removeAt(levelIndex int, f *flow[T], i int) {
	f.entries = slices.Delete(f.entries, i, i+1)
	q.waiting--
	l := q.levels[levelIndex]
	l.waiting--
	if len(f.entries) == 0 {
		l.active = slices.DeleteFunc(l.active, func(other *flow[T]) bool { return other == f })
	}
	if l.waiting == 0 {
		q.levels = slices.Delete(q.levels, levelIndex, levelIndex+1)
		if q.idle == nil {
			q.idle = make(map[int]*level[T])
		}
		q.idle[l.priority] = l
	}
	if q.waiting == 0 {
		clear(q.idle)
	}
}

// Ahead returns how many of the waiting requests are served before a request that arrives
// now.
func (q *Queue[T]) Ahead(request Request) int {
	own := 0
	if at, found := q.findLevel(request.Priority); found {
		own = q.levels[at].ahead(request)
	}
	return q.aheadOfLevels(request.Priority, own)
}

func (l *level[T]) ahead(request Request) int {
	own := l.flows[request.Workspace]
	if own == nil {
		own = &flow[T]{weight: request.Weight, start: math.Inf(-1)}
	}
	start := own.start
	if len(own.entries) == 0 {
		start = l.startAfter(own)
	}
	count := own.position(request)
	start += float64(count) / request.Weight
	for _, f := range l.active {
		if f.workspace != request.Workspace && start >= f.start {
			// Entry k of the flow starts at f.start + k / f.weight. At equal starts the
			// entry that arrived first is served first.
			earlier := math.Floor((start-f.start)*f.weight) + 1
			count += int(min(earlier, float64(len(f.entries))))
		}
	}
	return count
}

// HasBelow reports whether a request waits that is less urgent than a priority.
func (q *Queue[T]) HasBelow(priority int) bool {
	return len(q.levels) > 0 && q.levels[len(q.levels)-1].priority > priority
}

// EvictFor removes an entry to make room for a request and returns it: the newest one of
// the workspace with the most waiting requests, relative to its weight, in the least
// urgent priority that has more than its floor. It returns nil if that would be the
// request itself. For a request that does not wait in this queue, further is the number
// of requests that wait where it does.
func (q *Queue[T]) EvictFor(request Request, further int) *Entry[T] {
	if len(q.levels) == 0 {
		return nil
	}
	at := q.evictionLevel(request)
	if at < 0 {
		return nil
	}
	l := q.levels[at]
	// The request is the newest one of its workspace, so another workspace pays only
	// if it waits with more.
	most := 0.0
	if l.priority == request.Priority {
		most = float64(further+1) / request.Weight
		if own := l.flows[request.Workspace]; own != nil {
			most = own.load(1)
		}
	}
	var from *flow[T]
	var newest *Entry[T]
	for _, f := range l.active {
		if f.workspace == request.Workspace && l.priority == request.Priority {
			continue
		}
		candidate := f.newest()
		load := f.load(0)
		if load > most || from != nil && load == most && candidate.arrived > newest.arrived {
			most, from, newest = load, f, candidate
		}
	}
	if from == nil {
		return nil
	}
	q.removeAt(at, from, slices.Index(from.entries, newest))
	return newest
}

// newest returns the entry that arrived last.
func (f *flow[T]) newest() *Entry[T] {
	return slices.MaxFunc(f.entries, func(a, b *Entry[T]) int { return cmp.Compare(a.arrived, b.arrived) })
}
