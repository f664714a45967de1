package timeline

import (
	"fmt"
	"slices"
	"time"
)

// checkVersionsMonotonic checks that offsets and versions of a host never
// decrease, also across restarts.
func (t *trace) checkVersionsMonotonic() []Violation {
	var violations []Violation
	highest := map[string]*Event{} // by host
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
			violations = append(violations, newViolation(VersionsMonotonic, reason, earlier, event))
			continue
		}
		highest[event.Host] = event
	}
	return violations
}

// checkRoutesResolve finds active configurations with routes to services that do
// not exist.
func (t *trace) checkRoutesResolve() []Violation {
	var violations []Violation
	for i := range t.events {
		event := &t.events[i]
		if event.Kind == InForce && event.Dangling != 0 {
			reason := fmt.Sprintf("%d routes of host %s lack their service", event.Dangling, event.Host)
			violations = append(violations, newViolation(RoutesResolve, reason, event))
		}
	}
	return violations
}

// checkVersionsConsistent compares active configurations with the verdicts and
// with those of other hosts at the same offset.
func (t *trace) checkVersionsConsistent() []Violation {
	var violations []Violation
	verdicts := map[uint64]*Event{}
	activations := map[uint64]*Event{}
	for i := range t.events {
		event := &t.events[i]
		switch event.Kind {
		case VerdictReached:
			violations = append(violations, compareVerdicts(verdicts, event)...)
		case InForce:
			violations = append(violations, compareConfigurations(activations, event)...)
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

// compareVerdicts checks that a verdict equals the first one at its offset.
// verdicts holds the first verdict by offset.
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
	return []Violation{newViolation(VersionsConsistent, reason, first, event)}
}

// compareConfigurations checks that an active configuration equals the first one
// at its offset. activations holds the first InForce event by offset.
func compareConfigurations(activations map[uint64]*Event, event *Event) []Violation {
	first := activations[event.Offset]
	if first == nil {
		activations[event.Offset] = event
		return nil
	}
	if first.Digest == event.Digest && first.Version == event.Version && first.Routes == event.Routes {
		return nil
	}
	reason := fmt.Sprintf("hosts %s and %s differ at offset %d", first.Host, event.Host, event.Offset)
	return []Violation{newViolation(VersionsConsistent, reason, first, event)}
}

// checkAccepted checks that an active version was accepted. A version without a
// verdict is a violation only when the trace must contain that verdict.
func (t *trace) checkAccepted(verdicts map[uint64]*Event, event *Event) []Violation {
	if event.Version == 0 {
		return nil
	}
	verdict := verdicts[event.Version]
	if verdict == nil {
		if t.verdictMayBeMissing(event.Version) {
			return nil
		}
		reason := fmt.Sprintf("version %d is in force on %s without a verdict", event.Version, event.Host)
		return []Violation{newViolation(VersionsConsistent, reason, event)}
	}
	if verdict.Outcome == outcomeAccepted {
		return nil
	}
	reason := fmt.Sprintf("version %d is in force on %s but its verdict is %s", event.Version, event.Host, verdict.Outcome)
	return []Violation{newViolation(VersionsConsistent, reason, verdict, event)}
}

// outcomeAccepted is the outcome of a publication that created a version.
const outcomeAccepted = "accepted"

// verdictMayBeMissing reports whether the trace may lack the verdict on a
// version: a process is incomplete, or no host had an older offset active.
func (t *trace) verdictMayBeMissing(version uint64) bool {
	older := false
	for _, p := range t.processes {
		if !p.complete() {
			return true
		}
	}
	for _, activations := range t.activations {
		older = older || activations[0].Offset < version
	}
	return !older
}

// checkVersionsPropagated checks that accepted versions became active within the
// bound on every host that ran during all that time and that no other host
// reported as lost.
func (t *trace) checkVersionsPropagated(bound time.Duration) []Violation {
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
		violations = append(violations, t.checkPropagation(verdict, until)...)
	}
	return violations
}

func (t *trace) checkPropagation(verdict *Event, until int64) []Violation {
	var violations []Violation
	for _, host := range t.hosts() {
		p := t.processRunning(host, verdict.Time.Millis, until)
		if p == nil || t.activeBy(host, verdict.Offset, until) || t.contactLost("", host, until) {
			continue
		}
		reason := fmt.Sprintf("version %d was not in force on %s in time", verdict.Version, host)
		violations = append(violations, newViolation(VersionsPropagated, reason, verdict, p.last))
	}
	return violations
}

// hosts returns the names of all hosts, sorted.
func (t *trace) hosts() []string {
	var hosts []string
	for host := range t.processesByHost {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// processRunning returns the process of a host that ran from one time to another,
// nil for none. A process that was followed by another without a planned stop is
// taken to have ended at its last event.
func (t *trace) processRunning(host string, from, until int64) *process {
	processes := t.processesByHost[host]
	for i, p := range processes {
		switch {
		case !p.complete() || p.started.Time.Millis > from:
		case p.stopping != nil && p.stopping.Time.Millis < until:
		case i+1 < len(processes) && p.last.Time.Millis < until:
		default:
			return p
		}
	}
	return nil
}

// activeBy reports whether an offset, or a later one, was active on a host by a
// time.
func (t *trace) activeBy(host string, offset uint64, until int64) bool {
	for _, event := range eventsUntil(t.activations[host], until) {
		if event.Offset >= offset {
			return true
		}
	}
	return false
}
