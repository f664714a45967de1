// Package once executes calls that must not be repeated at most once per
// idempotency key.
//
// A key is a UUIDv7 and so contains a timestamp. The log holds a chain of grants,
// each of which assigns an interval of key timestamps to hosts. Within a grant
// each key has exactly one home, the only host that may run it. The home remembers
// the keys it ran and refuses keys that it may have forgotten.
package once

import "time"

const (
	// MaxHorizon bounds how far a grant may extend past the time of its append.
	// It keeps one wrong clock from blocking the chain for long.
	MaxHorizon = time.Hour
	// GrantRetention is how long a grant stays in the chain after its interval.
	GrantRetention = 2 * KeyTTL
)

// Grants is the chain of grants that are still needed, oldest first. It is
// immutable: Add returns a new chain.
type Grants []*Grant

// Add returns the chain with a grant appended; appended is the time at which the
// log accepted it. A grant that begins before the chain ends is ignored, so of two
// concurrent proposals the one with the lower offset wins and grants never
// overlap. A grant may begin after the end of the chain; keys in the gap have no
// home. Grants whose interval ended GrantRetention before the append are dropped.
func (g Grants) Add(grant *Grant, appended time.Time) (Grants, bool) {
	if !valid(grant) {
		return g, false
	}
	if grant.GetAdditions() {
		return g.addHomes(grant)
	}
	if !g.extendableBy(grant) {
		return g, false
	}
	if grant.GetUntilMs() > appended.Add(MaxHorizon).UnixMilli() {
		return g, false
	}
	chain := make(Grants, 0, len(g)+1)
	oldest := appended.Add(-GrantRetention).UnixMilli()
	for _, kept := range g {
		if kept.GetUntilMs() > oldest {
			chain = append(chain, kept)
		}
	}
	return append(chain, g.expand(grant)), true
}

// End is the first key timestamp after the chain, in milliseconds, 0 without grants.
func (g Grants) End() int64 {
	if len(g) == 0 {
		return 0
	}
	return g[len(g)-1].GetUntilMs()
}

// At returns the grant of a key timestamp in milliseconds, nil when there is none.
func (g Grants) At(keyMillis int64) *Grant {
	for _, grant := range g {
		if keyMillis >= grant.GetFromMs() && keyMillis < grant.GetUntilMs() {
			return grant
		}
	}
	return nil
}

// extendableBy reports whether a grant can extend the chain. The end of a chain
// identifies it, so a delta that begins there was computed from its last grant.
func (g Grants) extendableBy(grant *Grant) bool {
	if grant.GetChanges() {
		return len(g) > 0 && grant.GetFromMs() == g.End()
	}
	return grant.GetFromMs() >= g.End()
}

// valid reports whether the interval is not empty and the services and their
// homes are sorted and distinct.
func valid(grant *Grant) bool {
	if grant.GetFromMs() <= 0 || grant.GetUntilMs() <= grant.GetFromMs() {
		return false
	}
	service := ""
	for _, entry := range grant.GetServices() {
		if entry.GetService() <= service || !sortedDistinct(entry.GetHosts()) {
			return false
		}
		service = entry.GetService()
	}
	return true
}

func sortedDistinct(hosts []string) bool {
	last := ""
	for _, host := range hosts {
		if host <= last {
			return false
		}
		last = host
	}
	return true
}
