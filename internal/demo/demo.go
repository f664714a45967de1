// Package demo demonstrates the system with a mesh in this process.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/inprocess"
	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// timeLimit bounds the demo.
const timeLimit = 30 * time.Second

// specs describe the hosts: one zone in each of two regions.
var specs = []inprocess.HostSpec{
	{Host: "accra-1", Zone: "greater-accra-a", Region: "greater-accra", Service: "railway/heater-status"},
	{Host: "accra-2", Zone: "greater-accra-a", Region: "greater-accra", Service: "railway/inspection-ledger"},
	{Host: "ashanti-1", Zone: "ashanti-a", Region: "ashanti", Service: "railway/heater-status"},
	{Host: "ashanti-2", Zone: "ashanti-a", Region: "ashanti", Service: "railway/inspection-ledger"},
}

type scenario struct {
	title string
	run   func(*runner, context.Context) error
}

var scenarios = []scenario{
	{"Publication", (*runner).firstPublication},
	{"Calls", (*runner).calls},
	{"Two operators publish at once", (*runner).concurrentPublications},
	{"A bad version", (*runner).invalidVersion},
	{"A target drains under load", (*runner).drain},
	{"The platform is out", (*runner).platformOutage},
}

// ErrViolations reports that the timeline of the demo violates an invariant.
var ErrViolations = errors.New("the timeline violates an invariant")

// Run starts a mesh in this process, runs all scenarios and checks the merged
// timeline. It returns an error if a scenario fails or an invariant is violated.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	start := time.Now()
	fmt.Fprintf(out, "Starting the platform's stand-in, %d daemons and their targets.\n", len(specs))
	mesh, err := inprocess.Start(ctx, specs)
	if err != nil {
		return fmt.Errorf("start the mesh: %w", err)
	}
	r := newRunner(mesh, out)
	for _, scenario := range scenarios {
		fmt.Fprintf(out, "\n%s\n", scenario.title)
		if err := scenario.run(r, ctx); err != nil {
			mesh.Stop()
			return fmt.Errorf("scenario %q: %w", scenario.title, err)
		}
	}
	mesh.Stop()
	err = checkTimeline(out, mesh.Events())
	fmt.Fprintf(out, "The demo took %s.\n", time.Since(start).Round(time.Millisecond))
	return err
}

// checkTimeline checks the invariants on the merged timeline and prints the
// result.
func checkTimeline(out io.Writer, events []timeline.Event) error {
	violations := timeline.Check(events)
	fmt.Fprintf(out, "\nTime line: %d events, %d promises checked, %d violations\n",
		len(events), len(timeline.Invariants), len(violations))
	for _, violation := range violations {
		fmt.Fprintf(out, "  %s\n", violation)
	}
	if len(violations) > 0 {
		return ErrViolations
	}
	return nil
}
