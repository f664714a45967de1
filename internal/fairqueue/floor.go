package fairqueue

import (
	"math"
	"slices"
)

// The floor of a priority is the least share of its requests that is served, relative to
// that of all requests. It is above the promised quarter, since some of the requests served
// end too late.
const (
	// leastFloor is what the floors of less and less urgent priorities approach.
	leastFloor = 0.35
	// floorSpread is by how much the floor of the most urgent priority exceeds leastFloor.
	// It is halved for each less urgent one, so that none is served better than a more
	// urgent one.
	floorSpread = 0.15
)

// countHorizon is the number of arrivals after which all counts of priorities are halved.
const countHorizon = 1024

// class counts the requests of one priority. Older requests weigh less.
type class struct {
	priority        int
	arrived, served float64
}

// classes holds the counts of all priorities that have requests, ordered by priority.
type classes struct {
	each            []class
	arrived, served float64
}

func (c *classes) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(c.each, priority, func(c class, priority int) int { return c.priority - priority })
}

// arrive counts a request of a priority.
func (c *classes) arrive(priority int) {
	at, found := c.find(priority)
	if !found {
		c.each = slices.Insert(c.each, at, class{priority: priority})
	}
	c.each[at].arrived++
	c.arrived++
	if c.arrived < countHorizon {
		return
	}
	c.arrived, c.served = 0, 0
	c.each = slices.DeleteFunc(c.each, func(each class) bool { return each.arrived < 1 })
	for i := range c.each {
		c.each[i].arrived /= 2
		c.each[i].served /= 2
		c.arrived += c.each[i].arrived
		c.served += c.each[i].served
	}
}

// serve counts a request of a priority that is served.
func (c *classes) serve(priority int) {
	if at, found := c.find(priority); found {
		c.each[at].served++
		c.served++
	}
}

// floor returns the floor of the priority at an index.
func (c *classes) floor(at int) float64 {
	return leastFloor + math.Ldexp(floorSpread, -at)
}

// belowFloor reports whether a priority has been served at least one request less than
// its floor.
func (c *classes) belowFloor(priority int) bool {
	at, found := c.find(priority)
	return found && c.served*c.floor(at)*c.each[at].arrived >= c.arrived*(c.each[at].served+1)
}

// reserved returns how many of the waiting requests a priority may have before one of its
// requests makes room for another priority: its floor, and at least one if it is below it.
func (c *classes) reserved(priority, waiting int) int {
	at, found := c.find(priority)
	if !found {
		return 0
	}
	reserved := int(c.floor(at) * c.each[at].arrived / c.arrived * float64(waiting))
	if reserved == 0 && c.belowFloor(priority) {
		return 1
	}
	return reserved
}

// Arrive counts a request that finds no free slot, before Ahead and Push. Without such
// counts the priorities have no floor.
func (q *Queue[T]) Arrive(priority int) { q.classes.arrive(priority) }

// next returns which of n waiting priorities, the most urgent first, is served next: the
// most urgent one that is below its floor, else the most urgent one.
func (c *classes) next(n int, priority func(at int) int) int {
	for at := range n {
		if c.belowFloor(priority(at)) {
			return at
		}
	}
	return 0
}

// nextLevel returns the index of the level that is served next.
func (q *Queue[T]) nextLevel() int {
	if len(q.levels) == 1 {
		return 0
	}
	return q.classes.next(len(q.levels), func(at int) int { return q.levels[at].priority })
}

// levelCount is the number of requests that wait in one priority.
type levelCount struct{ priority, waiting int }

// aheadOfLevels returns how many requests are served before one that has a number of
// requests of its own priority ahead of it.
func (q *Queue[T]) aheadOfLevels(priority, own int) int {
	if len(q.levels) == 0 || len(q.levels) == 1 && q.levels[0].priority == priority {
		return own
	}
	counts := make([]levelCount, 0, len(q.levels)+1)
	for _, l := range q.levels {
		if l.priority != priority {
			counts = append(counts, levelCount{l.priority, l.waiting})
		}
	}
	at, _ := slices.BinarySearchFunc(counts, priority, func(c levelCount, priority int) int { return c.priority - priority })
	counts = slices.Insert(counts, at, levelCount{priority, own + 1})
	future := classes{each: slices.Clone(q.classes.each), arrived: q.classes.arrived, served: q.classes.served}
	for ahead := 0; ; ahead++ {
		next := future.next(len(counts), func(at int) int { return counts[at].priority })
		counts[next].waiting--
		future.serve(counts[next].priority)
		if counts[next].waiting > 0 {
			continue
		}
		if counts[next].priority == priority {
			return ahead
		}
		counts = slices.Delete(counts, next, next+1)
	}
}

// evictionLevel returns the index of the level that makes room for a request: the least
// urgent one with more requests than are reserved for it. It returns -1 if there is none,
// or if those are more urgent and the request has no reserved place.
func (q *Queue[T]) evictionLevel(request Request) int {
	own, reserved := 0, 0
	if at, found := q.findLevel(request.Priority); found {
		own = q.levels[at].waiting
	}
	// Reserved places are for workspaces only.
	if request.Workspace != "" {
		reserved = q.classes.reserved(request.Priority, q.waiting)
	}
	for at := len(q.levels) - 1; at >= 0; at-- {
		l := q.levels[at]
		waiting := l.waiting
		if l.priority == request.Priority {
			waiting++
		}
		if l.priority < request.Priority && own >= reserved {
			return -1
		}
		if waiting > q.classes.reserved(l.priority, q.waiting) {
			return at
		}
	}
	return -1
}
