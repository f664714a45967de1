package cli

import (
	"context"
	"fmt"
	"io"
)

// membersCommand lists the members of the mesh as seen by one daemon.
type membersCommand struct {
	connectionOptions
	outputOptions
}

func (*membersCommand) example() string { return "mulberrybank members --json" }

func (c *membersCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	members, err := client.Members(ctx)
	if err != nil {
		return err
	}
	return c.print(env.stdout, members, func(w io.Writer) {
		writeTable(w, func(w io.Writer) {
			fmt.Fprintln(w, "HOST\tZONE\tREGION\tSTATE\tREACH\tSERVICE\tTARGET")
			for _, m := range members.Members {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
					m.Host, m.Zone, m.Region, m.State, m.Reach, m.Service, m.Target)
			}
		})
	})
}
