package once

// addHomes returns the chain with homes for services that have none in an
// interval that ends with the chain. No host could run keys of such a service with
// a timestamp in the interval, so every key still has at most one home. Services
// that already have homes in a part of the interval keep them there. It returns
// false when the addition does not end with the chain or changes nothing.
func (g Grants) addHomes(addition *Grant) (Grants, bool) {
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
		merged, added := addMissingHomes(grant, addition)
		if !added {
			chain = append(chain, grant)
			continue
		}
		changed = true
		if grant.GetFromMs() < addition.GetFromMs() {
			before := &Grant{FromMs: grant.GetFromMs(), UntilMs: addition.GetFromMs(), Services: grant.GetServices()}
			merged.FromMs = addition.GetFromMs()
			chain = append(chain, before)
		}
		chain = append(chain, merged)
	}
	if !changed {
		return g, false
	}
	return chain, true
}

// addMissingHomes returns a grant with homes for those services of an addition
// that have none in it, and false when there are no such services.
func addMissingHomes(grant, addition *Grant) (*Grant, bool) {
	services := servicesByName(grant)
	added := false
	for _, entry := range addition.GetServices() {
		if len(services[entry.GetService()].GetHosts()) > 0 || len(entry.GetHosts()) == 0 {
			continue
		}
		services[entry.GetService()] = entry
		added = true
	}
	return &Grant{FromMs: grant.GetFromMs(), UntilMs: grant.GetUntilMs(), Services: sortedServices(services)}, added
}

// missesHome reports whether a service has no home in some grant between a time
// and the end of the chain.
func (g Grants) missesHome(service string, from int64) bool {
	for _, grant := range g {
		if grant.GetUntilMs() > from && len(hostsOf(grant, service)) == 0 {
			return true
		}
	}
	return false
}
