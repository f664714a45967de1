// Package once runs calls that may not be repeated at most once per key.
//
// A key is a UUIDv7 and so carries its time. The log holds a chain of grants,
// each of which assigns an interval of key time to one home per key. A home
// remembers the keys it ran; what it cannot remember it refuses.
package once

import "time"

// Limits of grants.
const (
	// MaxReach bounds how far a grant may reach past the time of its append.
	// It keeps one wrong clock from blocking the chain for long.
	MaxReach = time.Hour
	// KeepGrants is how long a grant stays in the chain after its interval.
	KeepGrants = 2 * KeyWindow
)

// Grants is the chain of grants that still matter, oldest first. It is
// immutable: Add returns a new chain.
type Grants []*Grant

// Add returns the chain with a grant appended that the log took at a time.
// A grant that begins before the chain ends changes nothing, so of two
// proposers that race the first offset wins and no key time has two grants.
// A grant may begin later than the chain ends; keys between have no home.
// Grants whose interval ended KeepGrants before the append are dropped.
func (g Grants) Add(grant *Grant, appended time.Time) (Grants, bool) {
	if !wellFormed(grant) {
		return g, false
	}
	if grant.GetAdditions() {
		return g.fill(grant)
	}
	if !g.followedBy(grant) {
		return g, false
	}
	if grant.GetUntilMs() > appended.Add(MaxReach).UnixMilli() {
		return g, false
	}
	chain := make(Grants, 0, len(g)+1)
	oldest := appended.Add(-KeepGrants).UnixMilli()
	for _, kept := range g {
		if kept.GetUntilMs() > oldest {
			chain = append(chain, kept)
		}
	}
	return append(chain, g.expand(grant)), true
}

// End is the first millisecond of key time after the chain, 0 without grants.
func (g Grants) End() int64 {
	if len(g) == 0 {
		return 0
	}
	return g[len(g)-1].GetUntilMs()
}

// At returns the grant of a key time in milliseconds, nil when there is none.
func (g Grants) At(keyMillis int64) *Grant {
	for _, grant := range g {
		if keyMillis >= grant.GetFromMs() && keyMillis < grant.GetUntilMs() {
			return grant
		}
	}
	return nil
}

// followedBy reports whether a grant can extend the chain. The end of a chain
// identifies it, so changes that begin there were made to its last grant.
func (g Grants) followedBy(grant *Grant) bool {
	if grant.GetChanges() {
		return len(g) > 0 && grant.GetFromMs() == g.End()
	}
	return grant.GetFromMs() >= g.End()
}

// wellFormed reports whether the interval is not empty and the services and
// their homes are sorted and distinct.
func wellFormed(grant *Grant) bool {
	if grant.GetFromMs() <= 0 || grant.GetUntilMs() <= grant.GetFromMs() {
		return false
	}
	service := ""
	for _, entry := range grant.GetServices() {
		if entry.GetService() <= service || !sorted(entry.GetHosts()) {
			return false
		}
		service = entry.GetService()
	}
	return true
}

func sorted(hosts []string) bool {
	last := ""
	for _, host := range hosts {
		if host <= last {
			return false
		}
		last = host
	}
	return true
}
