// Package configcheck finds what is valid in a configuration but hardly meant: entries
// that can never match, limits that contradict each other, and what a new version takes
// away.
//
// Errors are found by package publish, with the code that daemons use. The checks here
// work on the rendered configuration of one workspace and need no network.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// ID identifies a kind of finding. docs/CONFIGURATION.md lists all of them.
type ID string

// Kinds of findings.
const (
	// HiddenRoute is a route whose host and prefix another route has too.
	HiddenRoute ID = "hidden-route"
	// ShareWithoutWeight is a share of a split that gets no calls.
	ShareWithoutWeight ID = "share-without-weight"
	// ServiceWithoutRoute is a service to which no route leads.
	ServiceWithoutRoute ID = "service-without-route"
	// ClientWithoutKey is a client workspace whose callers have no API key.
	ClientWithoutKey ID = "client-without-key"
	// ObjectiveAboveDeadline is a route whose objective no response can miss in time.
	ObjectiveAboveDeadline ID = "objective-above-deadline"
	// RetriesWithoutTime is a route whose deadline leaves no time for its retries.
	RetriesWithoutTime ID = "retries-without-time"
	// HedgeAfterObjective is a route whose second attempt begins after its objective.
	HedgeAfterObjective ID = "hedge-after-objective"
	// BurstBelowOne is a client workspace with a burst below one request, which counts as
	// one.
	BurstBelowOne ID = "burst-below-one"
	// BurstWithoutRate is a client workspace with a burst and no rate, which has no quota.
	BurstWithoutRate ID = "burst-without-rate"
)

// Finding is one thing that is probably not meant.
type Finding struct {
	ID ID `json:"id"`
	// Place is the route, service or client workspace.
	Place string `json:"place"`
	// Reason says what was found and why it matters.
	Reason string `json:"reason"`
}

// findings collects what the checks find.
type findings []Finding

func (f *findings) add(id ID, place, format string, values ...any) {
	*f = append(*f, Finding{ID: id, Place: place, Reason: fmt.Sprintf(format, values...)})
}

// Check returns the findings of a valid workspace, ordered by kind and place.
func Check(workspace *publish.Workspace) []Finding {
	var found findings
	checkMatches(&found, workspace)
	checkServices(&found, workspace)
	for _, route := range workspace.Routes {
		checkTimes(&found, route)
	}
	checkClients(&found, workspace.Clients)
	found.sort()
	return found
}

func (f findings) sort() {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Place, b.Place), cmp.Compare(a.Reason, b.Reason))
	})
}
