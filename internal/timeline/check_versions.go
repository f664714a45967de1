package timeline

import (
	"fmt"
	"slices"
	"time"
)

// checkVersionsGrow holds every host, over all its incarnations, to offsets
// and versions that never fall.
func (t *trace) checkVersionsGrow() []Violation {
	var violations []Violation
	highest := map[string]*Event{}
	for i := range t.events {
		event := &t.events[i]
		if event.Kind != InForce {
			continue
		}
		earlier := highest[event.Host]
		if earlier == nil {
			highest[event.Host] = event
			continue
		}
		if event.Offset < earlier.Offset || event.Version < earlier.Version {
			reason := fmt.Sprintf("host %s went from offset %d, version %d back to offset %d, version %d",
				event.Host, earlier.Offset, earlier.Version, event.Offset, event.Version)
			violations = append(violations, violation(VersionsMonotonic, reason, earlier, event))
			continue
		}
		highest[event.Host] = event
	}
	return violations
}

// checkRoutesResolve finds tables in force with routes that lack a service.
func (t *trace) checkRoutesResolve() []Violation {
	var violations []Violation
	for i := range t.events {
		event := &t.events[i]
		if event.Kind == InForce && event.Dangling != 0 {
			reason := fmt.Sprintf("%d routes of host %s lack their service", event.Dangling, event.Host)
			violations = append(violations, violation(RoutesResolve, reason, event))
		}
	}
	return violations
}

// checkVersionsWhole holds what is in force against the verdicts and against
// what other hosts have in force at the same offset.
func (t *trace) checkVersionsWhole() []Violation {
	var violations []Violation
	verdicts := map[uint64]*Event{}
	tables := map[uint64]*Event{}
	for i := range t.events {
		event := &t.events[i]
		switch event.Kind {
		case VerdictReached:
			violations = append(violations, compareVerdicts(verdicts, event)...)
		case InForce:
			violations = append(violations, compareTables(tables, event)...)
		}
	}
	for i := range t.events {
		event := &t.events[i]
		if event.Kind == InForce {
			violations = append(violations, t.checkAccepted(verdicts, event)...)
		}
	}
	return violations
}

// compareVerdicts holds the verdicts of one offset to be equal on all hosts.
func compareVerdicts(verdicts map[uint64]*Event, event *Event) []Violation {
	first := verdicts[event.Offset]
	if first == nil {
		verdicts[event.Offset] = event
		return nil
	}
	if first.Outcome == event.Outcome && first.Version == event.Version {
		return nil
	}
	reason := fmt.Sprintf("hosts %s and %s reached different verdicts on offset %d", first.Host, event.Host, event.Offset)
	return []Violation{violation(VersionsConsistent, reason, first, event)}
}

// compareTables holds the tables of one offset to be equal on all hosts.
func compareTables(tables map[uint64]*Event, event *Event) []Violation {
	first := tables[event.Offset]
	if first == nil {
		tables[event.Offset] = event
		return nil
	}
	if first.Digest == event.Digest && first.Version == event.Version && first.Routes == event.Routes {
		return nil
	}
	reason := fmt.Sprintf("hosts %s and %s differ at offset %d", first.Host, event.Host, event.Offset)
	return []Violation{violation(VersionsConsistent, reason, first, event)}
}

// checkAccepted holds a version in force to an accepted verdict. A version
// without any verdict is an error only when the trace has its record.
func (t *trace) checkAccepted(verdicts map[uint64]*Event, event *Event) []Violation {
	if event.Version == 0 {
		return nil
	}
	verdict := verdicts[event.Version]
	if verdict == nil {
		if t.missesVerdict(event.Version) {
			return nil
		}
		reason := fmt.Sprintf("version %d is in force on %s without a verdict", event.Version, event.Host)
		return []Violation{violation(VersionsConsistent, reason, event)}
	}
	if verdict.Outcome == outcomeAccepted {
		return nil
	}
	reason := fmt.Sprintf("version %d is in force on %s but its verdict is %s", event.Version, event.Host, verdict.Outcome)
	return []Violation{violation(VersionsConsistent, reason, verdict, event)}
}

// outcomeAccepted is the outcome of a publication that became a version.
const outcomeAccepted = "accepted"

// missesVerdict reports whether the verdict on a version may lie outside the
// trace: events were lost, or no process had an older version in force.
func (t *trace) missesVerdict(version uint64) bool {
	older := false
	for _, l := range t.lives {
		if !l.whole() {
			return true
		}
	}
	for _, tables := range t.inForce {
		older = older || tables[0].Offset < version
	}
	return !older
}

// checkVersionsSpread holds accepted versions to be in force in time on every
// host that lived all that time and was not known to be out of reach.
func (t *trace) checkVersionsSpread(bound time.Duration) []Violation {
	if len(t.events) == 0 {
		return nil
	}
	var violations []Violation
	end := t.events[len(t.events)-1].Time.Millis
	seen := map[uint64]bool{}
	for i := range t.events {
		verdict := &t.events[i]
		if verdict.Kind != VerdictReached || verdict.Outcome != outcomeAccepted || seen[verdict.Offset] {
			continue
		}
		seen[verdict.Offset] = true
		until := verdict.Time.Millis + bound.Milliseconds()
		if until > end {
			continue
		}
		violations = append(violations, t.checkSpread(verdict, until)...)
	}
	return violations
}

func (t *trace) checkSpread(verdict *Event, until int64) []Violation {
	var violations []Violation
	for _, host := range t.hosts() {
		l := t.livingAt(host, verdict.Time.Millis, until)
		if l == nil || t.reached(host, verdict.Offset, until) || t.lost("", host, until) {
			continue
		}
		reason := fmt.Sprintf("version %d was not in force on %s in time", verdict.Version, host)
		violations = append(violations, violation(VersionsPropagated, reason, verdict, l.last))
	}
	return violations
}

// hosts returns the names of all hosts in order.
func (t *trace) hosts() []string {
	var hosts []string
	for host := range t.byHost {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// livingAt returns the process of a host that lived from one time to another,
// nil for none. One that was followed by another process without a planned
// stop lived no longer than its last event.
func (t *trace) livingAt(host string, from, until int64) *life {
	lives := t.byHost[host]
	for i, l := range lives {
		switch {
		case !l.whole() || l.started.Time.Millis > from:
		case l.stopping != nil && l.stopping.Time.Millis < until:
		case i+1 < len(lives) && l.last.Time.Millis < until:
		default:
			return l
		}
	}
	return nil
}

// reached reports whether a host had an offset in force by a time.
func (t *trace) reached(host string, offset uint64, until int64) bool {
	for _, event := range before(t.inForce[host], until) {
		if event.Offset >= offset {
			return true
		}
	}
	return false
}
