package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/soak"
)

// soakCommand runs fault injection for a range of seeds.
type soakCommand struct {
	Seed     uint64        `arg:"--seed" help:"first seed; a random one when left out"`
	Seeds    int           `arg:"--seeds" default:"1" help:"how many seeds to play, one after the other from the first"`
	Jobs     int           `arg:"--jobs" default:"1" help:"how many seeds to play at once"`
	Duration time.Duration `arg:"--for" default:"20s" help:"how long faults are injected for each seed"`
	Machines int           `arg:"--machines" default:"6" help:"daemon processes for each seed, at most 200"`
	Callers  int           `arg:"--callers" default:"3" help:"callers of each machine"`
	Kinds    []string      `arg:"--kinds" placeholder:"KIND" help:"kinds of steps to play, as --plan prints them; all when left out"`
	Logs     string        `arg:"--logs" placeholder:"DIR" help:"folder for the logs of seeds that fail"`
	Plan     bool          `arg:"--plan" help:"only print the plan of the first seed"`
	JSON     bool          `arg:"--json" help:"print one report a line as JSON"`
}

// maxSoakHosts limits the daemon processes of one seed: each needs its own address.
const maxSoakHosts = 200

func (*soakCommand) example() string {
	return "mulberrybank soak --seed 7 --seeds 50 --jobs 3 --logs /tmp"
}

func (c *soakCommand) run(ctx context.Context, env *env) error {
	if c.Machines < 4 || c.Machines > maxSoakHosts {
		return &usageError{fmt.Sprintf("--machines: %d is not between 4 and %d", c.Machines, maxSoakHosts)}
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64N(1 << 32)
	}
	kinds, err := soak.ParseKinds(c.Kinds)
	if err != nil {
		return &usageError{fmt.Sprintf("--kinds: %v", err)}
	}
	if c.Plan {
		for _, step := range soak.NewPlan(c.Seed, c.Duration, c.Machines, kinds...).Steps {
			fmt.Fprintln(env.stdout, step)
		}
		return nil
	}
	binary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of the program: %w", err)
	}
	printer := &reportPrinter{out: env.stdout, asJSON: c.JSON}
	options := soak.Options{
		Binary: binary, Length: c.Duration, Hosts: c.Machines, Callers: c.Callers, Kinds: kinds, WorkDir: c.Logs,
	}
	tasks := pool.New().WithMaxGoroutines(max(c.Jobs, 1)).WithErrors()
	for i := range c.Seeds {
		tasks.Go(func() error { return c.runSeed(ctx, options, c.Seed+uint64(i), printer) })
	}
	if err := tasks.Wait(); err != nil {
		return err
	}
	if printer.failed > 0 {
		fmt.Fprintf(env.stdout, "%d of %d seeds failed\n", printer.failed, c.Seeds)
		return errRefused
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, options soak.Options, seed uint64, printer *reportPrinter) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	options.Seed = seed
	if c.Seeds == 1 && !c.JSON {
		options.Progress = func(text string) { fmt.Fprintln(printer.out, text) }
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return err
	}
	return printer.write(report)
}

// reportPrinter prints the reports of seeds that run concurrently.
type reportPrinter struct {
	mu     sync.Mutex
	out    io.Writer
	asJSON bool
	failed int
}

func (p *reportPrinter) write(report *soak.Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(report.Violations) > 0 {
		p.failed++
	}
	if p.asJSON {
		return json.NewEncoder(p.out).Encode(report)
	}
	fmt.Fprintf(p.out, "seed %d: %d steps, %+v, %d violations\n", report.Plan.Seed, len(report.Plan.Steps), report.Counts, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Fprintf(p.out, "  %s\n", violation)
	}
	if report.Logs != "" {
		fmt.Fprintf(p.out, "  logs in %s\n", report.Logs)
	}
	return nil
}
