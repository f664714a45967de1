package cli

import (
	"context"
	"fmt"
	"io"
)

// drainCommand takes the target of one host out of service.
type drainCommand struct {
	Resume bool `arg:"--resume" help:"put the target back into service"`
	connectionOptions
	outputOptions
}

func (*drainCommand) example() string { return "mulberrybank drain --admin 10.0.0.7:7404" }

func (c *drainCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	state, err := client.Drain(ctx, !c.Resume)
	if err != nil {
		return err
	}
	return c.print(env.stdout, state, func(w io.Writer) {
		if state.Draining {
			fmt.Fprintf(w, "the target of %s is draining\n", state.Host)
			return
		}
		fmt.Fprintf(w, "the target of %s is back in service\n", state.Host)
	})
}
