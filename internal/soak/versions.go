package soak

import (
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

// publish writes the next version of the configuration, which adds a route and
// moves the route /moved/ to the other service.
func (r *run) publish() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	value, err := configurationForVersion(r.version).Encode()
	if err != nil {
		return err
	}
	r.fleet.store.PutConfiguration(value)
	return nil
}

// versionIncrement is the difference between the numbers of successive versions.
const versionIncrement = 3

func configurationForVersion(version int) upstream.Configuration {
	moved := services[version%len(services)]
	config := upstream.Configuration{Version: version * versionIncrement, Services: services, MaxConnections: 100, Tenants: tenantsOfVersion(version)}
	addRoute := func(route upstream.Route) {
		route.Name, route.Host, route.MaxAttempts = fmt.Sprintf("r-%d", len(config.Routes)), routeHost, 3
		route.Public = route.PathPrefix != keyedKind.path
		config.Routes = append(config.Routes, route)
	}
	add := func(prefix, service string, idempotent bool, priority int) {
		addRoute(upstream.Route{
			PathPrefix: prefix, Idempotent: idempotent, Service: service, Timeout: 2, TargetLatency: 0.4, Priority: priority,
		})
	}
	add("/lookup/", "huts", true, 2)
	add("/charge/", "ledger", false, 0)
	add("/assign/", "huts", false, 1)
	add("/moved/", moved, true, 2)
	add(keyedKind.path, keyedKind.services[0], keyedKind.idempotent, 2)
	for _, kind := range longRequestKinds {
		addRoute(upstream.Route{
			PathPrefix: kind.path, Idempotent: kind.idempotent, Service: kind.services[0],
			Timeout: longDeadline.Seconds(), TargetLatency: maxLongWork.Seconds(), Priority: 2,
		})
	}
	for each := range version {
		add(versionPrefix(each+1), "huts", true, 2)
	}
	return config
}

// newestVersion returns the newest published version.
func (r *run) newestVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// setObserved records the active version of a host.
func (r *run) setObserved(h *host, seen observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed[h] = seen
}

// observedOn returns the version seen last on a host and the process that had it.
func (r *run) observedOn(h *host) observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observed[h]
}

// hasNewestVersion reports whether the newest version is active on a host.
func (r *run) hasNewestVersion(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observed[h].version == r.version
}
