// Package once runs calls that may not be repeated at most once per key.
//
// A key is a UUIDv7 and so carries its time. The log holds a chain of grants,
// each of which assigns an interval of key time to one home per key. A home
// remembers the keys it ran; what it cannot remember it refuses.
package once

// Grants is the chain of grants that still matter, oldest first. It is
// immutable: Add returns a new chain.
type Grants []*Grant

// Add returns the chain with a grant appended. A grant that does not begin
// where the chain ends changes nothing, so of two proposers that race the
// first offset wins.
func (g Grants) Add(grant *Grant) (Grants, bool) {
	if grant.GetUntilMs() <= grant.GetFromMs() {
		return g, false
	}
	if len(g) > 0 && grant.GetFromMs() != g[len(g)-1].GetUntilMs() {
		return g, false
	}
	chain := make(Grants, 0, len(g)+1)
	chain = append(chain, g...)
	return append(chain, grant), true
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
