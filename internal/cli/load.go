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

// loadCommand calls a mesh at a constant rate and prints the latencies.
type loadCommand struct {
	Callers    []string      `arg:"--caller,separate" placeholder:"ADDRESS" help:"callers' address of a daemon, may be repeated"`
	Direct     string        `arg:"--direct" placeholder:"ADDRESS" help:"address of a target, called without a daemon for comparison"`
	LookupPath string        `arg:"--lookup" default:"/railway/status/heaters/17" placeholder:"PATH" help:"path of idempotent calls"`
	KeyedPath  string        `arg:"--keyed" default:"/railway/work-order/heaters/17" placeholder:"PATH" help:"path of calls that may not be repeated"`
	KeyedShare float64       `arg:"--keyed-share" default:"0" help:"share of calls that may not be repeated, 0 to 1"`
	Rate       float64       `arg:"--rate" default:"116" help:"calls a second"`
	Duration   time.Duration `arg:"--for" default:"10s" help:"how long calls are counted"`
	Warmup     time.Duration `arg:"--warm-up" default:"1s" help:"how long calls are made before they count"`
	Timeout    time.Duration `arg:"--timeout" default:"5s" help:"deadline of each call"`
	SVG        string        `arg:"--svg" placeholder:"FILE" help:"write a plot of the latencies"`
	outputOptions
}

func (*loadCommand) example() string {
	return "mulberrybank load --caller 10.0.0.7:7401 --caller 10.0.0.8:7401 --rate 116 --keyed-share 0.1\n" +
		"mulberrybank load --caller 10.0.0.7:7401 --direct 10.0.0.7:8080 --svg latency.svg"
}

func (c *loadCommand) run(ctx context.Context, env *env) error {
	if len(c.Callers) == 0 {
		return &usageError{"--caller: at least one address is required"}
	}
	if c.KeyedShare < 0 || c.KeyedShare > 1 {
		return &usageError{fmt.Sprintf("--keyed-share: found %g, expected 0 to 1", c.KeyedShare)}
	}
	var results []*load.Result
	if c.Direct != "" {
		direct, err := c.measure(ctx, "direct", &load.HTTPCaller{
			Addresses:  []string{c.Direct},
			LookupPath: directPath(c.LookupPath),
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
		LookupPath: c.LookupPath,
		KeyedPath:  c.KeyedPath,
		KeyedShare: c.KeyedShare,
		Timeout:    c.Timeout,
		Transport:  load.NewTransport(),
	})
	if err != nil {
		return err
	}
	results = append(results, mesh)
	if err := c.writePlot(results); err != nil {
		return err
	}
	var writeError error
	err = c.print(env.stdout, results, func(w io.Writer) { writeError = load.WriteTable(w, results...) })
	return errors.Join(err, writeError)
}

// directPath returns the path that a target receives for the path of a call: the part
// after the workspace and the route.
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
		Duration: c.Duration,
	})
}

// writePlot writes the plot when --svg is given.
func (c *loadCommand) writePlot(results []*load.Result) error {
	if c.SVG == "" {
		return nil
	}
	file, err := os.Create(c.SVG)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return errors.Join(load.WriteSVG(file, results...), file.Close())
}
