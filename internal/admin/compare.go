package admin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Compare lists the services, routes and tokens that differ between two renderings of
// a workspace, by kind and name.
func Compare(before, after *publish.Workspace) []Change {
	changes := []Change{}
	changes = append(changes, compareItems("service", services(before), services(after))...)
	changes = append(changes, compareItems("route", routes(before), routes(after))...)
	changes = append(changes, compareItems("token", tokens(before), tokens(after))...)
	return changes
}

func services(workspace *publish.Workspace) map[string]string {
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

func routes(workspace *publish.Workspace) map[string]string {
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

// shownDigits is how many digits of a token's hash a comparison shows.
const shownDigits = 8

func tokens(workspace *publish.Workspace) map[string]string {
	items := map[string]string{}
	if workspace == nil {
		return items
	}
	for _, t := range workspace.Tokens {
		items[t.Name] = fmt.Sprintf("role %s, sha256 %s...", t.Role, t.SHA256[:shownDigits])
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
