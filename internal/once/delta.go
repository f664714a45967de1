package once

import (
	"maps"
	"slices"
)

// expand returns a grant that lists every service. A delta is applied to the
// services of the last grant of the chain.
func (g Grants) expand(grant *Grant) *Grant {
	if !grant.GetChanges() {
		return grant
	}
	services := servicesByName(g[len(g)-1])
	for _, change := range grant.GetServices() {
		services[change.GetService()] = change
		if len(change.GetHosts()) == 0 {
			delete(services, change.GetService())
		}
	}
	return &Grant{FromMs: grant.GetFromMs(), UntilMs: grant.GetUntilMs(), Services: sortedServices(services)}
}

// compact returns a grant as a delta to the last grant of the chain, or unchanged
// when it does not begin at the end of the chain.
func (g Grants) compact(grant *Grant) *Grant {
	if len(g) == 0 || grant.GetFromMs() != g.End() {
		return grant
	}
	before := servicesByName(g[len(g)-1])
	changes := map[string]*ServiceHomes{}
	for _, entry := range grant.GetServices() {
		old := before[entry.GetService()]
		delete(before, entry.GetService())
		if !slices.Equal(old.GetHosts(), entry.GetHosts()) {
			changes[entry.GetService()] = entry
		}
	}
	for service := range before {
		changes[service] = &ServiceHomes{Service: service}
	}
	return &Grant{
		FromMs:   grant.GetFromMs(),
		UntilMs:  grant.GetUntilMs(),
		Services: sortedServices(changes),
		Changes:  true,
	}
}

// Compact returns the chain in delta encoding, for Expand: each grant that follows
// the previous one without a gap lists only the services that changed.
func (g Grants) Compact() []*Grant {
	compacted := make([]*Grant, 0, len(g))
	for i, grant := range g {
		compacted = append(compacted, g[:i].compact(grant))
	}
	return compacted
}

// Expand decodes the output of Compact. It returns false when the grants do not
// form a chain.
func Expand(compacted []*Grant) (Grants, bool) {
	var chain Grants
	for _, grant := range compacted {
		if !valid(grant) || !chain.extendableBy(grant) {
			return nil, false
		}
		chain = append(chain, chain.expand(grant))
	}
	return chain, true
}

func servicesByName(grant *Grant) map[string]*ServiceHomes {
	services := make(map[string]*ServiceHomes, len(grant.GetServices()))
	for _, entry := range grant.GetServices() {
		services[entry.GetService()] = entry
	}
	return services
}

func sortedServices(services map[string]*ServiceHomes) []*ServiceHomes {
	ordered := make([]*ServiceHomes, 0, len(services))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		ordered = append(ordered, services[name])
	}
	return ordered
}
