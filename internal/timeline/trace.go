package timeline

import (
	"cmp"
	"slices"
)

// zonePrefix tells zones from hosts as keys of contacts.
const zonePrefix = "zone "

// process identifies one process of the system.
type process struct {
	host        string
	incarnation uint64
}

// life is what a trace shows of one process.
type life struct {
	process process
	zone    string
	// started and stopped are nil when the trace has no such event.
	started, stopping, stopped *Event
	// last is the last event of the process.
	last *Event
	// partial means that events of the process were dropped.
	partial bool
}

// trace holds merged events and the indices that the checks share.
type trace struct {
	events []Event
	lives  map[process]*life
	// byHost lists the lives of a host in the order of their first events.
	byHost map[string][]*life
	// byCall lists the events of one call in order.
	byCall map[string][]*Event
	// inForce lists the tables that a host had in force.
	inForce map[string][]*Event
	// contact lists what other hosts noted of their contact with a host or,
	// when an event names no host, with a zone.
	contact map[string][]*Event
	// partial means that events of any process were dropped.
	partial bool
}

func newTrace(events []Event) *trace {
	t := &trace{
		events:  events,
		lives:   map[process]*life{},
		byHost:  map[string][]*life{},
		byCall:  map[string][]*Event{},
		inForce: map[string][]*Event{},
		contact: map[string][]*Event{},
	}
	for i := range events {
		t.add(&events[i])
	}
	return t
}

func (t *trace) add(event *Event) {
	l := t.life(event)
	l.last = event
	switch event.Kind {
	case Started:
		l.started = event
	case Stopping:
		l.stopping = event
	case Stopped:
		l.stopped = event
	case EventsDropped:
		l.partial = true
		t.partial = true
	case InForce:
		t.inForce[event.Host] = append(t.inForce[event.Host], event)
	case Suspected, Unreachable, Recovered:
		name := cmp.Or(event.Peer, zonePrefix+event.Detail)
		t.contact[name] = append(t.contact[name], event)
	}
	if event.Call != "" {
		t.byCall[event.Call] = append(t.byCall[event.Call], event)
	}
}

// life returns the life of the process of an event.
func (t *trace) life(event *Event) *life {
	key := process{event.Host, event.Incarnation}
	l := t.lives[key]
	if l == nil {
		l = &life{process: key, zone: event.Zone}
		t.lives[key] = l
		t.byHost[event.Host] = append(t.byHost[event.Host], l)
	}
	return l
}

// whole reports whether the trace has every event of a process.
func (l *life) whole() bool { return l.started != nil && !l.partial }

// violation builds a Violation from pointers to its events.
func violation(promise Invariant, reason string, events ...*Event) Violation {
	v := Violation{Invariant: promise, Reason: reason}
	for _, event := range events {
		v.Events = append(v.Events, *event)
	}
	return v
}

// lost reports whether an observer had lost contact with a host at a time. An
// empty observer stands for any.
func (t *trace) lost(observer, host string, at int64) bool {
	names := []string{host}
	for _, l := range t.byHost[host] {
		names = append(names, zonePrefix+l.zone)
	}
	for _, name := range names {
		latest := map[string]Kind{}
		for _, event := range before(t.contact[name], at) {
			latest[event.Host] = event.Kind
		}
		for by, kind := range latest {
			if kind != Recovered && (observer == "" || by == observer) {
				return true
			}
		}
	}
	return false
}

// before returns the events up to a time in milliseconds, from events in order.
func before(events []*Event, until int64) []*Event {
	end, _ := slices.BinarySearchFunc(events, until+1, func(event *Event, millis int64) int {
		return cmp.Compare(event.Time.Millis, millis)
	})
	return events[:end]
}
