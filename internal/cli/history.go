package cli

import (
	"context"
	"fmt"
	"io"
)

// historyCommand lists the publications of a workspace.
type historyCommand struct {
	Workspace string `arg:"positional,required" help:"name of the workspace"`
	connectionOptions
	outputOptions
}

func (*historyCommand) example() string { return "mulberrybank history heaters" }

func (c *historyCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	history, err := client.History(ctx, c.Workspace)
	if err != nil {
		return err
	}
	return c.print(env.stdout, history, func(w io.Writer) {
		writeTable(w, func(w io.Writer) {
			fmt.Fprintln(w, "OFFSET\tOUTCOME\tVERSION\tAUTHOR\tREASON")
			for _, v := range history.Verdicts {
				fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\n", v.Offset, v.Outcome, v.Version, v.Author, v.Reason)
			}
		})
	})
}
