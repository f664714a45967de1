package timeline

import (
	"cmp"
	"slices"
)

// zonePrefix distinguishes zones from hosts in the keys of contactEvents.
const zonePrefix = "zone "

// processKey identifies one process: one start of the daemon of a host.
type processKey struct {
	host        string
	incarnation uint64
}

// process summarizes the events of one process.
type process struct {
	key  processKey
	zone string
	// started, stopping and stopped are nil when the trace has no such event.
	started, stopping, stopped *Event
	last                       *Event
	// incomplete means that events of the process were dropped.
	incomplete bool
}

// trace holds the merged events and the indexes that the checks use.
type trace struct {
	events    []Event
	processes map[processKey]*process
	// processesByHost lists the processes of a host in the order of their first events.
	processesByHost map[string][]*process
	// eventsByCall lists the events of a call in order.
	eventsByCall map[string][]*Event
	// activations lists the InForce events of a host.
	activations map[string][]*Event
	// contactEvents lists the Suspected, Unreachable and Recovered events about a
	// host or, when an event names no host, about a zone.
	contactEvents map[string][]*Event
	// incomplete means that events of any process were dropped.
	incomplete bool
}

func newTrace(events []Event) *trace {
	t := &trace{
		events:          events,
		processes:       map[processKey]*process{},
		processesByHost: map[string][]*process{},
		eventsByCall:    map[string][]*Event{},
		activations:     map[string][]*Event{},
		contactEvents:   map[string][]*Event{},
	}
	for i := range events {
		t.add(&events[i])
	}
	return t
}

func (t *trace) add(event *Event) {
	p := t.processOf(event)
	p.last = event
	switch event.Kind {
	case Started:
		p.started = event
	case Stopping:
		p.stopping = event
	case Stopped:
		p.stopped = event
	case EventsDropped:
		p.incomplete = true
		t.incomplete = true
	case InForce:
		t.activations[event.Host] = append(t.activations[event.Host], event)
	case Suspected, Unreachable, Recovered:
		name := cmp.Or(event.Peer, zonePrefix+event.Detail)
		t.contactEvents[name] = append(t.contactEvents[name], event)
	}
	if event.Call != "" {
		t.eventsByCall[event.Call] = append(t.eventsByCall[event.Call], event)
	}
}

// processOf returns the process that recorded an event and adds it when it is
// new.
func (t *trace) processOf(event *Event) *process {
	key := processKey{event.Host, event.Incarnation}
	p := t.processes[key]
	if p == nil {
		p = &process{key: key, zone: event.Zone}
		t.processes[key] = p
		t.processesByHost[event.Host] = append(t.processesByHost[event.Host], p)
	}
	return p
}

// complete reports whether the trace has all events of the process since its
// start.
func (p *process) complete() bool { return p.started != nil && !p.incomplete }

// newViolation returns a Violation with copies of the events.
func newViolation(invariant Invariant, reason string, events ...*Event) Violation {
	v := Violation{Invariant: invariant, Reason: reason}
	for _, event := range events {
		v.Events = append(v.Events, *event)
	}
	return v
}

// contactLost reports whether an observer had lost contact with a host or its
// zone at a time. An empty observer matches any host.
func (t *trace) contactLost(observer, host string, at int64) bool {
	names := []string{host}
	for _, p := range t.processesByHost[host] {
		names = append(names, zonePrefix+p.zone)
	}
	for _, name := range names {
		latest := map[string]Kind{}
		for _, event := range eventsUntil(t.contactEvents[name], at) {
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

// eventsUntil returns the events up to and including a time in milliseconds. The
// events must be ordered by time.
func eventsUntil(events []*Event, until int64) []*Event {
	end, _ := slices.BinarySearchFunc(events, until+1, func(event *Event, millis int64) int {
		return cmp.Compare(event.Time.Millis, millis)
	})
	return events[:end]
}
