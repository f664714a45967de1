package cli

import (
	"context"
	"io"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// rollbackCommand publishes the content of an old version as a new one.
type rollbackCommand struct {
	Workspace string `arg:"positional,required" help:"name of the workspace"`
	Version   uint64 `arg:"--to,required" placeholder:"VERSION" help:"version whose content is published again"`
	Base      uint64 `arg:"--base" placeholder:"VERSION" help:"version to replace, the current one when left out"`
	authorship
	connection
	waiting
	output
}

func (*rollbackCommand) example() string {
	return `mulberrybank rollback heaters --to 12 --reason "night service late" --wait`
}

func (c *rollbackCommand) run(ctx context.Context, env *env) error {
	client, err := c.client(env)
	if err != nil {
		return err
	}
	body := &admin.Rollback{ID: newID(), Version: c.Version, Base: c.Base, Author: c.author(), Reason: c.Reason}
	limited, cancel := c.limit(ctx)
	defer cancel()
	verdict, err := client.Rollback(limited, c.Workspace, body)
	if err != nil {
		return err
	}
	if err := c.print(env.stdout, verdict, func(w io.Writer) { verdictText(w, verdict) }); err != nil {
		return err
	}
	if err := verdictError(verdict); err != nil {
		return err
	}
	return c.until(ctx, client, env.stderr, verdict.Version)
}
