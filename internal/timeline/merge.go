package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes in one order: by time, then by
// host and incarnation. Events of one process with equal times keep their order.
// Duplicates of an event, such as from overlapping files of one process, are
// removed.
func Merge(lists [][]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compareEvents)
	return slices.Compact(merged)
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Time.Millis, b.Time.Millis),
		cmp.Compare(a.Time.Logical, b.Time.Logical),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Filter selects events that match all fields. A zero field matches every event.
type Filter struct {
	Call string
	// Version matches the version or the offset of an event.
	Version uint64
	// Host matches events recorded by a host or with that host as peer.
	Host string
	Key  string
	// From and Until limit the physical time, in milliseconds since the Unix epoch.
	// From is inclusive, Until exclusive.
	From  int64
	Until int64
}

// Match reports whether the filter matches an event.
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

// Select returns the events that the filter matches, in the given order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, event := range events {
		if f.Match(event) {
			selected = append(selected, event)
		}
	}
	return selected
}
