package cli

import (
	"context"

	"github.com/mulberrybank/mulberrybank/internal/demo"
)

// demoCommand runs the demonstration in one process.
type demoCommand struct{}

func (*demoCommand) example() string { return "mulberrybank demo" }

func (c *demoCommand) run(ctx context.Context, env *env) error {
	return demo.Run(ctx, env.stdout)
}
