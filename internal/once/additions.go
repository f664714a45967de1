package once

// fill returns the chain with homes for services that have none in an interval
// which ends with the chain. Nobody could run keys of such a service and time,
// so giving them a home leaves every key with one home at most. Services that
// have homes somewhere in the interval keep them there. It returns false when
// the grant does not end with the chain or changes nothing.
func (g Grants) fill(addition *Grant) (Grants, bool) {
	if len(g) == 0 || addition.GetUntilMs() != g.End() {
		return g, false
	}
	chain := make(Grants, 0, len(g)+1)
	changed := false
	for _, grant := range g {
		if grant.GetUntilMs() <= addition.GetFromMs() {
			chain = append(chain, grant)
			continue
		}
		filled, added := fillOne(grant, addition)
		if !added {
			chain = append(chain, grant)
			continue
		}
		changed = true
		if grant.GetFromMs() < addition.GetFromMs() {
			before := &Grant{FromMs: grant.GetFromMs(), UntilMs: addition.GetFromMs(), Services: grant.GetServices()}
			filled.FromMs = addition.GetFromMs()
			chain = append(chain, before)
		}
		chain = append(chain, filled)
	}
	if !changed {
		return g, false
	}
	return chain, true
}

// fillOne returns a grant with homes for those services of an addition that
// have none in it, false when all have some.
func fillOne(grant, addition *Grant) (*Grant, bool) {
	services := byName(grant)
	added := false
	for _, entry := range addition.GetServices() {
		if len(services[entry.GetService()].GetHosts()) > 0 || len(entry.GetHosts()) == 0 {
			continue
		}
		services[entry.GetService()] = entry
		added = true
	}
	return &Grant{FromMs: grant.GetFromMs(), UntilMs: grant.GetUntilMs(), Services: inOrder(services)}, added
}

// lacks reports whether a service has no home somewhere between a time and the
// end of the chain.
func (g Grants) lacks(service string, from int64) bool {
	for _, grant := range g {
		if grant.GetUntilMs() > from && len(hostsOf(grant, service)) == 0 {
			return true
		}
	}
	return false
}
