package cli

import (
	"context"
	"fmt"
	"io"
)

// rolloutsCommand lists the rollouts that one daemon knows.
type rolloutsCommand struct {
	connectionOptions
	outputOptions
}

func (*rolloutsCommand) example() string { return "mulberrybank rollouts --json" }

func (c *rolloutsCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	rollouts, err := client.Rollouts(ctx)
	if err != nil {
		return err
	}
	return c.print(env.stdout, rollouts, func(w io.Writer) {
		writeTable(w, func(w io.Writer) {
			fmt.Fprintln(w, "SERVICE\tVERSION\tSTATE\tRECORDED\tSTEP\tSHARE\tHOME\tOLD\tNEW\tREASON\tCOUNTS")
			for _, r := range rollouts.Rollouts {
				fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%.1f%%\t%s\t%d\t%d\t%s\t%s\n", r.Service, r.TargetVersion, r.State,
					r.Recorded, r.Step, float64(r.SharePermille)/10, r.Home, r.SentOld, r.SentNew, r.Reason, r.Counts)
			}
		})
	})
}
