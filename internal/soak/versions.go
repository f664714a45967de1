package soak

import (
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

// publish writes the next version of the configuration: it adds a route and
// moves another between the services.
func (r *run) publish() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	value, err := configurationAt(r.version).Encode()
	if err != nil {
		return err
	}
	r.fleet.store.PutConfiguration(value)
	return nil
}

// versionStep is the distance between the numbers of two versions.
const versionStep = 3

func configurationAt(version int) upstream.Configuration {
	moved := services[version%len(services)]
	config := upstream.Configuration{Version: version * versionStep, Services: services, MaxConnections: 100}
	add := func(prefix, service string, idempotent bool, priority int) {
		config.Routes = append(config.Routes, upstream.Route{
			Name: fmt.Sprintf("r-%d", len(config.Routes)), Host: host, PathPrefix: prefix, Idempotent: idempotent,
			Service: service, Timeout: 2, TargetLatency: 0.4, Priority: priority, MaxAttempts: 3,
		})
	}
	add("/lookup/", "huts", true, 2)
	add("/charge/", "ledger", false, 0)
	add("/assign/", "huts", false, 1)
	add("/moved/", moved, true, 2)
	for each := range version {
		add(versionPrefix(each+1), "huts", true, 2)
	}
	return config
}

// published returns the newest version.
func (r *run) published() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// noteVersion notes the version in force on a machine.
func (r *run) noteVersion(m *machine, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[m] = version
}

// current reports whether a machine has the newest version in force.
func (r *run) current(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[m] == r.version
}
