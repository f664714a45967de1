package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/load"
)

// loadCommand calls a mesh at a constant rate and shows the latencies.
type loadCommand struct {
	Callers []string      `arg:"--caller,separate" placeholder:"ADDRESS" help:"callers' address of a daemon, may be repeated"`
	Direct  string        `arg:"--direct" placeholder:"ADDRESS" help:"address of a target, called without a daemon for comparison"`
	Lookup  string        `arg:"--lookup" default:"/railway/status/heaters/17" placeholder:"PATH" help:"path of idempotent calls"`
	Keyed   string        `arg:"--keyed" default:"/railway/work-order/heaters/17" placeholder:"PATH" help:"path of calls that may not be repeated"`
	Share   float64       `arg:"--keyed-share" default:"0" help:"share of calls that may not be repeated, 0 to 1"`
	Rate    float64       `arg:"--rate" default:"116" help:"calls a second"`
	For     time.Duration `arg:"--for" default:"10s" help:"how long calls are counted"`
	Warmup  time.Duration `arg:"--warm-up" default:"1s" help:"how long calls are made before they count"`
	Timeout time.Duration `arg:"--timeout" default:"5s" help:"deadline of each call"`
	SVG     string        `arg:"--svg" placeholder:"FILE" help:"write a plot of the latencies"`
	output
}

func (*loadCommand) example() string {
	return "mulberrybank load --caller 10.0.0.7:7401 --caller 10.0.0.8:7401 --rate 116 --keyed-share 0.1\n" +
		"mulberrybank load --caller 10.0.0.7:7401 --direct 10.0.0.7:8080 --svg latency.svg"
}

func (c *loadCommand) run(ctx context.Context, env *env) error {
	if len(c.Callers) == 0 {
		return &usageError{"a --caller address is needed"}
	}
	if c.Share < 0 || c.Share > 1 {
		return &usageError{fmt.Sprintf("--keyed-share: found %g, allowed is 0 to 1", c.Share)}
	}
	var results []*load.Result
	if c.Direct != "" {
		direct, err := c.measure(ctx, "direct", &load.HTTPCaller{
			Addresses:  []string{c.Direct},
			LookupPath: directPath(c.Lookup),
			Timeout:    c.Timeout,
			Transport:  load.NewTransport(),
		})
		if err != nil {
			return err
		}
		results = append(results, direct)
	}
	mesh, err := c.measure(ctx, "mesh", &load.HTTPCaller{
		Addresses:  c.Callers,
		LookupPath: c.Lookup,
		KeyedPath:  c.Keyed,
		KeyedShare: c.Share,
		Timeout:    c.Timeout,
		Transport:  load.NewTransport(),
	})
	if err != nil {
		return err
	}
	results = append(results, mesh)
	if err := c.plot(results); err != nil {
		return err
	}
	var failed error
	err = c.print(env.stdout, results, func(w io.Writer) { failed = load.WriteTable(w, results...) })
	return errors.Join(err, failed)
}

// directPath returns what a target sees of a caller's path: all after the
// workspace and the route.
func directPath(path string) string {
	const parts = 4
	split := strings.SplitN(path, "/", parts)
	if len(split) < parts {
		return "/"
	}
	return "/" + split[parts-1]
}

func (c *loadCommand) measure(ctx context.Context, name string, caller load.Caller) (*load.Result, error) {
	return load.Run(ctx, load.Options{
		Name:     name,
		Caller:   caller,
		Rate:     c.Rate,
		Warmup:   c.Warmup,
		Duration: c.For,
	})
}

// plot writes the plot, if asked to.
func (c *loadCommand) plot(results []*load.Result) error {
	if c.SVG == "" {
		return nil
	}
	file, err := os.Create(c.SVG)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return errors.Join(load.WriteSVG(file, results...), file.Close())
}
