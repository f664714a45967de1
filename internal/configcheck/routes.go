package configcheck

import (
	"time"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// minAttemptTime is the least time in which an attempt can be answered: a round trip
// between regions.
const minAttemptTime = 40 * time.Millisecond

// matchKey is what a route matches by.
type matchKey struct{ host, prefix string }

// checkMatches finds the routes that match no request, and shares that get none.
func checkMatches(found *findings, workspace *publish.Workspace) {
	used := make(map[matchKey]*publish.Route, len(workspace.Routes))
	for _, route := range workspace.Routes {
		checkShares(found, route)
		if route.Host == "" {
			continue
		}
		key := matchKey{route.Host, route.Prefix}
		first := used[key]
		if first == nil {
			used[key] = route
			continue
		}
		hidden := route
		if route.Name < first.Name {
			hidden, used[key] = first, route
		}
		found.add(HiddenRoute, "route "+hidden.Name, "route %s has the same host %s and prefix %s and is used", used[key].Name, key.host, key.prefix)
	}
}

func checkShares(found *findings, route *publish.Route) {
	for _, share := range route.Split {
		if share.Weight == 0 {
			found.add(ShareWithoutWeight, "route "+route.Name, "the share of service %s has weight 0", share.Service)
		}
	}
}

// checkServices finds the services that no route of the workspace leads to.
func checkServices(found *findings, workspace *publish.Workspace) {
	reached := make(map[string]bool)
	for _, route := range workspace.Routes {
		for _, service := range route.Services() {
			reached[service] = true
		}
	}
	for _, service := range workspace.Services {
		if !reached[service.Name] {
			found.add(ServiceWithoutRoute, "service "+service.Name, "no route of the workspace leads to it")
		}
	}
}

// checkTimes finds times of a route that contradict each other.
func checkTimes(found *findings, route *publish.Route) {
	place := "route " + route.Name
	if route.Objective > route.Deadline {
		found.add(ObjectiveAboveDeadline, place, "objective %s is above deadline %s", route.Objective, route.Deadline)
	}
	attempts := time.Duration(route.Retries + 1)
	if route.Retries > 0 && attempts*minAttemptTime > route.Deadline {
		found.add(RetriesWithoutTime, place, "%d attempts of %s or more do not fit into deadline %s", attempts, minAttemptTime, route.Deadline)
	}
	if route.Hedge > 0 && route.Objective > 0 && route.Hedge >= route.Objective {
		found.add(HedgeAfterObjective, place, "hedge %s begins after objective %s", route.Hedge, route.Objective)
	}
}
