package configcheck

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Kinds of losses: what a new version takes away from callers.
const (
	// RemovedRoute is a route that the new version does not have.
	RemovedRoute ID = "removed-route"
	// MovedRoute is a route that matches other calls, or whose calls go to other services
	// or in other shares.
	MovedRoute ID = "moved-route"
	// LoweredDeadline is a route whose calls get less time.
	LoweredDeadline ID = "lowered-deadline"
	// ClosedRoute is a route that needed no API key and needs one now.
	ClosedRoute ID = "closed-route"
	// WithdrawnKey is an API key that its client workspace does not hold any more.
	WithdrawnKey ID = "withdrawn-key"
	// RemovedClient is a client workspace that the new version does not have.
	RemovedClient ID = "removed-client"
	// LoweredQuota is a client workspace with a lower rate or burst.
	LoweredQuota ID = "lowered-quota"
	// LoweredLimit is a limit on what callers may send.
	LoweredLimit ID = "lowered-limit"
)

// digestBytes is how much of the hash of a key a loss shows. It tells the keys of a
// workspace apart and does not help to guess one.
const digestBytes = 4

// Losses returns what a new version of a workspace takes away from its callers, ordered
// by kind and place.
func Losses(before, after *publish.Workspace) []Finding {
	var found findings
	routeLosses(&found, before, after)
	keyLosses(&found, before.Clients, after.Clients)
	quotaLosses(&found, before.Clients, after.Clients)
	limitLosses(&found, before.Limits, after.Limits)
	found.sort()
	return found
}

func routeLosses(found *findings, before, after *publish.Workspace) {
	kept := make(map[string]*publish.Route, len(after.Routes))
	for _, route := range after.Routes {
		kept[route.Name] = route
	}
	for _, old := range before.Routes {
		place := "route " + old.Name
		route := kept[old.Name]
		if route == nil {
			found.add(RemovedRoute, place, "its calls%s are not served any more", matchOf(old))
			continue
		}
		if route.Host != old.Host || route.Prefix != old.Prefix {
			found.add(MovedRoute, place, "its calls%s do not match it any more, but those%s", matchOf(old), matchOf(route))
		}
		if route.Service != old.Service || !slices.Equal(route.Split, old.Split) {
			found.add(MovedRoute, place, "its calls go to %v in place of %v", route.Services(), old.Services())
		}
		if route.Deadline < old.Deadline {
			found.add(LoweredDeadline, place, "deadline %s in place of %s", route.Deadline, old.Deadline)
		}
		if old.Public && !route.Public {
			found.add(ClosedRoute, place, "its calls need an API key")
		}
	}
}

// matchOf describes the host and prefix that a route matches, empty for one that matches
// by name only.
func matchOf(route *publish.Route) string {
	if route.Host == "" {
		return ""
	}
	return " to " + route.Host + route.Prefix
}

// keyLosses finds keys that another or no client workspace holds now. It names them by
// the first digits of their hash.
func keyLosses(found *findings, before, after *publish.ClientWorkspaces) {
	holders := make(map[publish.KeyHash]string)
	for hash, client := range after.Keys() {
		holders[hash] = client.Name
	}
	for hash, client := range before.Keys() {
		if holders[hash] != client.Name {
			found.add(WithdrawnKey, "client workspace "+client.Name, "key with hash %s... is not valid for it any more", hex.EncodeToString(hash[:digestBytes]))
		}
	}
}

func quotaLosses(found *findings, before, after *publish.ClientWorkspaces) {
	kept := make(map[string]*publish.ClientWorkspace)
	for client := range after.All() {
		kept[client.Name] = client
	}
	for old := range before.All() {
		place := "client workspace " + old.Name
		client := kept[old.Name]
		switch {
		case client == nil:
			found.add(RemovedClient, place, "none of its callers is served")
		case quotaBelow(client.Rate, old.Rate):
			found.add(LoweredQuota, place, "rate %g in place of %g", client.Rate, old.Rate)
		case client.Rate > 0 && client.Burst < old.Burst:
			found.add(LoweredQuota, place, "burst %g in place of %g", client.Burst, old.Burst)
		}
	}
}

// quotaBelow reports whether a rate is below another one, where 0 means no limit.
func quotaBelow(rate, old float64) bool { return rate > 0 && (old == 0 || rate < old) }

// limitLosses compares limits on what callers may send. No limits, and one of 0, stand for
// none.
func limitLosses(found *findings, before, after *publish.Limits) {
	if after == nil {
		return
	}
	if before == nil {
		before = &publish.Limits{}
	}
	lowered(found, "size of headers in bytes", before.HeaderBytes, after.HeaderBytes)
	lowered(found, "size of a body in bytes", before.BodyBytes, after.BodyBytes)
	lowered(found, "time for headers", before.HeaderTimeout, after.HeaderTimeout)
	lowered(found, "time of an idle connection", before.IdleTimeout, after.IdleTimeout)
}

func lowered[T int64 | time.Duration](found *findings, place string, before, after T) {
	switch {
	case after == 0 || before > 0 && after >= before:
	case before == 0:
		found.add(LoweredLimit, place, "%v in place of none", after)
	default:
		found.add(LoweredLimit, place, "%v in place of %v", after, before)
	}
}
