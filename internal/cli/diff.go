package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// diffCommand compares two versions of a workspace.
type diffCommand struct {
	Workspace string `arg:"positional,required" help:"name of the workspace"`
	From      uint64 `arg:"--from,required" placeholder:"VERSION" help:"version to compare from"`
	To        uint64 `arg:"--to" placeholder:"VERSION" help:"version to compare to, the current one when left out"`
	connectionOptions
	outputOptions
}

func (*diffCommand) example() string { return "mulberrybank diff heaters --from 12 --to 15" }

func (c *diffCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	diff, err := client.Diff(ctx, c.Workspace, c.From, c.To)
	if err != nil {
		return err
	}
	return c.print(env.stdout, diff, func(w io.Writer) { writeDiff(w, diff) })
}

func writeDiff(w io.Writer, diff *admin.Diff) {
	fmt.Fprintf(w, "workspace %s, version %d to %d: %d changes\n", diff.Workspace, diff.From, diff.To, len(diff.Changes))
	for _, change := range diff.Changes {
		if change.Before != "" {
			fmt.Fprintf(w, "- %s %s: %s\n", change.Kind, change.Name, change.Before)
		}
		if change.After != "" {
			fmt.Fprintf(w, "+ %s %s: %s\n", change.Kind, change.Name, change.After)
		}
	}
}
