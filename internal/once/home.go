package once

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Home returns the host that may run a key of a service. It is the same on
// every daemon whose grants hold the key's time. The error is a *Refusal.
func (g Grants) Home(service string, key Key) (string, error) {
	grant := g.At(key.Millis())
	if grant == nil {
		return "", noHome("no grant holds the time of the key")
	}
	hosts := hostsOf(grant, service)
	if len(hosts) == 0 {
		return "", noHome(fmt.Sprintf("no host may run keys of %s at that time", service))
	}
	return rendezvous.New(hosts, xxhash.Sum64String).Lookup(key.String()), nil
}

func noHome(detail string) *Refusal {
	return &Refusal{Reason: NoHome, Detail: detail, EarlierMayHaveRun: true}
}

// hostsOf returns the homes of a service, sorted by host.
func hostsOf(grant *Grant, service string) []string {
	for _, entry := range grant.GetServices() {
		if entry.GetService() != service {
			continue
		}
		hosts := make([]string, 0, len(entry.GetHomes()))
		for _, home := range entry.GetHomes() {
			hosts = append(hosts, home.GetHost())
		}
		return hosts
	}
	return nil
}
