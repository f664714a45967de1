package admin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Compare returns the services, routes and tokens that differ between two rendered
// versions of a workspace, ordered by kind and name.
func Compare(before, after *publish.Workspace) []Change {
	changes := []Change{}
	changes = append(changes, compareItems("service", describeServices(before), describeServices(after))...)
	changes = append(changes, compareItems("route", describeRoutes(before), describeRoutes(after))...)
	changes = append(changes, compareItems("token", describeTokens(before), describeTokens(after))...)
	return changes
}

// describeServices returns a description of each service by name.
func describeServices(workspace *publish.Workspace) map[string]string {
	items := map[string]string{}
	if workspace == nil {
		return items
	}
	for _, s := range workspace.Services {
		items[s.Name] = fmt.Sprintf("slots %d, queue %d, connections %d, queue timeout %s, slow start %s",
			s.Slots, s.Queue, s.Connections, s.QueueTimeout, s.SlowStart)
	}
	return items
}

// describeRoutes returns a description of each route by name.
func describeRoutes(workspace *publish.Workspace) map[string]string {
	items := map[string]string{}
	if workspace == nil {
		return items
	}
	for _, r := range workspace.Routes {
		items[r.Name] = fmt.Sprintf("service %s, idempotent %t, deadline %s, retries %d, retry budget %g, hedge %s",
			r.Service, r.Idempotent, r.Deadline, r.Retries, r.RetryBudget, r.Hedge)
	}
	return items
}

// shownHashDigits is the number of digits of a token's hash that a description
// contains.
const shownHashDigits = 8

// describeTokens returns a description of each token by name.
func describeTokens(workspace *publish.Workspace) map[string]string {
	items := map[string]string{}
	if workspace == nil {
		return items
	}
	for _, t := range workspace.Tokens {
		items[t.Name] = fmt.Sprintf("role %s, sha256 %s...", t.Role, t.SHA256[:shownHashDigits])
	}
	return items
}

func compareItems(kind string, before, after map[string]string) []Change {
	names := slices.Sorted(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	var changes []Change
	for _, name := range names {
		if before[name] != after[name] {
			changes = append(changes, Change{Kind: kind, Name: name, Before: before[name], After: after[name]})
		}
	}
	return changes
}
