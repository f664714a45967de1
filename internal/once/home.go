package once

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxSelectors bounds the selectors that are kept ready.
const maxSelectors = 1024

// homeTable finds the homes of keys. It keeps the selectors of the services
// asked for last.
type homeTable struct {
	selectors *lru.Cache[selectorKey, *rendezvous.Rendezvous]
}

// selectorKey names the homes of one service in one grant.
type selectorKey struct {
	grant   *Grant
	service string
}

func newHomeTable() *homeTable {
	selectors, err := lru.New[selectorKey, *rendezvous.Rendezvous](maxSelectors)
	if err != nil {
		panic("once: " + err.Error()) // The size is a positive constant.
	}
	return &homeTable{selectors: selectors}
}

// home returns the host that may run a key of a service. It is the same on
// every daemon whose grants hold the key's time. The error is a *Refusal.
func (t *homeTable) home(grants Grants, service string, key Key) (string, error) {
	grant := grants.At(key.Millis())
	if grant == nil {
		return "", noHome("no grant holds the time of the key")
	}
	id := selectorKey{grant: grant, service: service}
	selector, found := t.selectors.Get(id)
	if !found {
		hosts := hostsOf(grant, service)
		if len(hosts) == 0 {
			return "", noHome(fmt.Sprintf("no host may run keys of %s at that time", service))
		}
		selector = rendezvous.New(hosts, xxhash.Sum64String)
		t.selectors.Add(id, selector)
	}
	return selector.Lookup(key.String()), nil
}

func noHome(detail string) *Refusal {
	return &Refusal{Reason: NoHome, Detail: detail, EarlierMayHaveRun: true}
}

// hostsOf returns the homes of a service, sorted.
func hostsOf(grant *Grant, service string) []string {
	services := grant.GetServices()
	i, found := slices.BinarySearchFunc(services, service, func(entry *ServiceHomes, name string) int {
		return cmp.Compare(entry.GetService(), name)
	})
	if !found {
		return nil
	}
	return services[i].GetHosts()
}
