package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/timeline"
)

// timelineCommand merges and prints the events of several processes.
type timelineCommand struct {
	Check *timelineCheckCommand `arg:"subcommand:check" help:"verify the promises of the system on the events"`

	Files []string `arg:"--file,separate" help:"file of events as JSON lines, may be repeated"`
	Admin []string `arg:"--admin,separate" placeholder:"ADDRESS" help:"administration address of a daemon, may be repeated"`
	accessOptions
	Partial bool `arg:"--partial" help:"go on without the daemons that cannot be asked"`

	Call    string `arg:"--call" help:"show one call"`
	Version uint64 `arg:"--version" help:"show one version or offset"`
	Host    string `arg:"--host" help:"show events at or about one host"`
	Key     string `arg:"--key" help:"show one key"`
	From    string `arg:"--from" placeholder:"TIME" help:"show events from a time on, such as 2026-12-04T10:42:00Z"`
	Until   string `arg:"--until" placeholder:"TIME" help:"show events before a time"`
	Format  string `arg:"--format" default:"text" help:"text, json or html"`
	JSON    bool   `arg:"--json" help:"the same as --format json"`
}

func (*timelineCommand) example() string {
	return "mulberrybank timeline --admin 10.0.0.7:7404 --admin 10.0.0.8:7404 --host host-7\n" +
		"mulberrybank timeline check --file events.jsonl"
}

func (c *timelineCommand) run(ctx context.Context, env *env) error {
	write, err := c.writer()
	if err != nil {
		return err
	}
	filter, err := c.filter()
	if err != nil {
		return err
	}
	events, err := c.collect(ctx, env)
	if err != nil {
		return err
	}
	return write(env.stdout, filter.Select(events))
}

func (c *timelineCommand) writer() (func(io.Writer, []timeline.Event) error, error) {
	format := c.Format
	if c.JSON {
		format = "json"
	}
	switch format {
	case "text":
		return timeline.WriteText, nil
	case "json":
		return timeline.WriteJSON, nil
	case "html":
		return timeline.WriteHTML, nil
	default:
		return nil, &usageError{fmt.Sprintf("--format: found %q, expected text, json or html", format)}
	}
}

func (c *timelineCommand) filter() (timeline.Filter, error) {
	filter := timeline.Filter{Call: c.Call, Version: c.Version, Host: c.Host, Key: c.Key}
	var err error
	if filter.From, err = parseMillis("--from", c.From); err != nil {
		return filter, err
	}
	filter.Until, err = parseMillis("--until", c.Until)
	return filter, err
}

// parseMillis converts an RFC 3339 time to Unix milliseconds, 0 when it is empty.
func parseMillis(flag, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, &usageError{fmt.Sprintf("%s: found %q, expected a time such as 2026-12-04T10:42:00Z", flag, text)}
	}
	return parsed.UnixMilli(), nil
}

// collect reads and merges the events of all files and daemons.
func (c *timelineCommand) collect(ctx context.Context, env *env) ([]timeline.Event, error) {
	if len(c.Files)+len(c.Admin) == 0 {
		return nil, &usageError{"at least one --file or --admin is required"}
	}
	var lists [][]timeline.Event
	for _, path := range c.Files {
		events, err := readEvents(path)
		if err != nil {
			return nil, err
		}
		lists = append(lists, events)
	}
	fetched, err := c.fetchAll(ctx, env)
	if err != nil {
		return nil, err
	}
	return timeline.Merge(append(lists, fetched...)), nil
}

// maxConcurrentFetches limits the number of daemons queried at once.
const maxConcurrentFetches = 32

// fetchAll fetches the events of all daemons concurrently, so that the lists end at
// nearly the same time.
func (c *timelineCommand) fetchAll(ctx context.Context, env *env) ([][]timeline.Event, error) {
	lists := make([][]timeline.Event, len(c.Admin))
	failures := make([]error, len(c.Admin))
	fetches := pool.New().WithMaxGoroutines(maxConcurrentFetches)
	for i, address := range c.Admin {
		fetches.Go(func() { lists[i], failures[i] = c.fetch(ctx, env, address) })
	}
	fetches.Wait()
	err := errors.Join(failures...)
	if err == nil || !c.Partial {
		return lists, err
	}
	fmt.Fprintf(env.stderr, "%s: continuing without some daemons: %v\n", programName, err)
	return lists, nil
}

func (c *timelineCommand) fetch(ctx context.Context, env *env, address string) ([]timeline.Event, error) {
	client, err := c.newClient(env, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return client.Timeline(ctx)
}

func readEvents(path string) ([]timeline.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read events: %w", err)
	}
	defer file.Close()
	events, err := timeline.ReadJSON(file)
	if err != nil {
		return nil, fmt.Errorf("read events of %s: %w", path, err)
	}
	return events, nil
}

// timelineCheckCommand checks the invariants of the system on the events of the
// files and daemons given to the parent command.
type timelineCheckCommand struct{}

func (*timelineCheckCommand) example() string {
	return "mulberrybank timeline check --file events.jsonl"
}

func (*timelineCheckCommand) run(ctx context.Context, env *env) error {
	parent := env.parsed.Timeline
	events, err := parent.collect(ctx, env)
	if err != nil {
		return err
	}
	violations := timeline.Check(events)
	result := checkResult{Events: len(events), Violations: append([]timeline.Violation{}, violations...)}
	out := outputOptions{JSON: parent.JSON || parent.Format == "json"}
	if err := out.print(env.stdout, result, result.writeText); err != nil {
		return err
	}
	if len(violations) > 0 {
		return errRefused
	}
	return nil
}

// checkResult is the result of the check.
type checkResult struct {
	Events     int                  `json:"events"`
	Violations []timeline.Violation `json:"violations"`
}

func (r checkResult) writeText(w io.Writer) {
	for _, violation := range r.Violations {
		fmt.Fprintln(w, violation)
	}
	fmt.Fprintf(w, "%d events, %d promises checked, %d violations\n", r.Events, len(timeline.Invariants), len(r.Violations))
}
