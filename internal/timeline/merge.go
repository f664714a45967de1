package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes in one order: by their hybrid
// logical clocks, then by host and incarnation. Events of one process with
// equal times keep their order. An event given twice, as by overlapping files
// of one process, appears once.
func Merge(lists [][]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compare)
	return slices.Compact(merged)
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time.Millis, b.Time.Millis),
		cmp.Compare(a.Time.Logical, b.Time.Logical),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Filter selects events. A zero field selects all.
type Filter struct {
	Call    string
	Version uint64
	// Host selects events at a host or about it.
	Host string
	Key  string
	// From and Until bound the physical time in milliseconds since the Unix
	// epoch; Until is excluded.
	From  int64
	Until int64
}

// Match reports whether the filter selects an event.
func (f Filter) Match(event Event) bool {
	switch {
	case f.Call != "" && event.Call != f.Call:
		return false
	case f.Version != 0 && event.Version != f.Version && event.Offset != f.Version:
		return false
	case f.Host != "" && event.Host != f.Host && event.Peer != f.Host:
		return false
	case f.Key != "" && event.Key != f.Key:
		return false
	case event.Time.Millis < f.From:
		return false
	case f.Until != 0 && event.Time.Millis >= f.Until:
		return false
	}
	return true
}

// Select returns the events that the filter matches, in their order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, event := range events {
		if f.Match(event) {
			selected = append(selected, event)
		}
	}
	return selected
}
