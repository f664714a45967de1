package once

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxSelectors bounds the cached selectors.
const maxSelectors = 1024

// homeResolver finds the homes of keys by rendezvous hashing. It caches the
// selectors of the most recently used services.
type homeResolver struct {
	selectors *lru.Cache[selectorKey, *rendezvous.Rendezvous]
}

// selectorKey identifies the homes of one service in one grant.
type selectorKey struct {
	grant   *Grant
	service string
}

func newHomeResolver() *homeResolver {
	selectors, err := lru.New[selectorKey, *rendezvous.Rendezvous](maxSelectors)
	if err != nil {
		panic("once: " + err.Error()) // The size is a positive constant.
	}
	return &homeResolver{selectors: selectors}
}

// home returns the host that may run a key of a service. It is the same on every
// daemon whose chain has a grant for the key's timestamp. The error is a *Refusal.
func (r *homeResolver) home(grants Grants, service string, key Key) (string, error) {
	grant := grants.At(key.Millis())
	if grant == nil {
		return "", noHome("no grant covers the timestamp of the key")
	}
	id := selectorKey{grant: grant, service: service}
	selector, found := r.selectors.Get(id)
	if !found {
		hosts := hostsOf(grant, service)
		if len(hosts) == 0 {
			return "", noHome(fmt.Sprintf("no host may run keys of %s with that timestamp", service))
		}
		selector = rendezvous.New(hosts, xxhash.Sum64String)
		r.selectors.Add(id, selector)
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
