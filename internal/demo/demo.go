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

// timeLimit bounds the whole demo.
const timeLimit = 30 * time.Second

// places are the hosts of the demo: two zones of two regions.
var places = []inprocess.Place{
	{Host: "accra-1", Zone: "greater-accra-a", Region: "greater-accra", Service: "railway/heater-status"},
	{Host: "accra-2", Zone: "greater-accra-a", Region: "greater-accra", Service: "railway/inspection-ledger"},
	{Host: "ashanti-1", Zone: "ashanti-a", Region: "ashanti", Service: "railway/heater-status"},
	{Host: "ashanti-2", Zone: "ashanti-a", Region: "ashanti", Service: "railway/inspection-ledger"},
}

// scene is one part of the demo.
type scene struct {
	title string
	run   func(*show, context.Context) error
}

var scenes = []scene{
	{"Publication", (*show).publication},
	{"Calls", (*show).calls},
	{"Two operators publish at once", (*show).race},
	{"A bad version", (*show).badVersion},
	{"A target drains under load", (*show).drain},
	{"The platform is out", (*show).outage},
}

// ErrPromiseBroken says that the time line of the demo breaks a promise.
var ErrPromiseBroken = errors.New("the time line breaks a promise")

// Run starts a mesh in this process, plays every scene and checks the merged
// time line. It returns an error when a scene fails or a promise is broken.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	began := time.Now()
	fmt.Fprintf(out, "Starting the platform's stand-in, %d daemons and their targets.\n", len(places))
	mesh, err := inprocess.Start(ctx, places)
	if err != nil {
		return fmt.Errorf("start the mesh: %w", err)
	}
	s := newShow(mesh, out)
	for _, scene := range scenes {
		fmt.Fprintf(out, "\n%s\n", scene.title)
		if err := scene.run(s, ctx); err != nil {
			mesh.Stop()
			return fmt.Errorf("scene %q: %w", scene.title, err)
		}
	}
	mesh.Stop()
	err = report(out, mesh.Events())
	fmt.Fprintf(out, "The demo took %s.\n", time.Since(began).Round(time.Millisecond))
	return err
}

// report checks the merged time line.
func report(out io.Writer, events []timeline.Event) error {
	violations := timeline.Check(events)
	fmt.Fprintf(out, "\nTime line: %d events, %d promises checked, %d violations\n",
		len(events), len(timeline.Invariants), len(violations))
	for _, violation := range violations {
		fmt.Fprintf(out, "  %s\n", violation)
	}
	if len(violations) > 0 {
		return ErrPromiseBroken
	}
	return nil
}
