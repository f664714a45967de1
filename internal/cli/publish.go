package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// publishCommand publishes the changes of a workspace directory.
type publishCommand struct {
	Directory string `arg:"positional,required" help:"workspace directory"`
	Base      *int64 `arg:"--base" placeholder:"VERSION" help:"version that the changes were made on, the current one when left out; 0 for a new workspace"`
	ID        string `arg:"--id" placeholder:"UUID" help:"id of an earlier attempt, to repeat it safely"`
	DryRun    bool   `arg:"--dry-run" help:"only ask the daemon for the verdict"`
	authorOptions
	connectionOptions
	waitOptions
	outputOptions
}

func (*publishCommand) example() string {
	return `mulberrybank publish ./heaters --reason "slots for the cold nights" --wait`
}

func (c *publishCommand) run(ctx context.Context, env *env) error {
	desired, err := publish.LoadDirectory(c.Directory)
	if err != nil {
		return err
	}
	client, err := c.client(env)
	if err != nil {
		return err
	}
	body, err := c.publication(ctx, client, desired)
	if err != nil {
		return err
	}
	verdict, err := c.submit(ctx, client, body)
	if err != nil {
		return fmt.Errorf("publication %s: %w", body.ID, err)
	}
	if err := c.print(env.stdout, verdict, func(w io.Writer) { writeVerdict(w, verdict) }); err != nil {
		return err
	}
	if err := verdictError(verdict); err != nil || c.DryRun {
		return err
	}
	return c.waitForVersion(ctx, client, env.stderr, verdict.Version)
}

// publication builds the changes from the current source to that of the directory.
func (c *publishCommand) publication(ctx context.Context, client *admin.Client, desired *publish.Source) (*admin.Publication, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	current, version, err := currentSource(ctx, client, desired.Name)
	if err != nil {
		return nil, err
	}
	changes := publish.Diff(current, desired)
	changes.Id = c.ID
	if changes.Id == "" {
		changes.Id = newID()
	}
	changes.Base = version
	if c.Base != nil {
		if *c.Base < 0 {
			return nil, &usageError{"--base: expected a version, 0 or higher"}
		}
		changes.Base = uint64(*c.Base)
	}
	changes.Author = c.author()
	changes.Reason = c.Reason
	return admin.FromPublication(changes), nil
}

// currentSource returns the current source and its version, nil for a new workspace.
func currentSource(ctx context.Context, client *admin.Client, workspace string) (*publish.Source, uint64, error) {
	source, err := client.Source(ctx, workspace, 0)
	var problem *admin.Problem
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return admin.ToSource(source), source.Version, nil
}

func (c *publishCommand) submit(ctx context.Context, client *admin.Client, body *admin.Publication) (*admin.Verdict, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if c.DryRun {
		return client.Validate(ctx, body)
	}
	return client.Publish(ctx, body)
}
