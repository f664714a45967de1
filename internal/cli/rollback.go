package cli

import (
	"context"
	"io"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

// rollbackCommand publishes the content of an old version as a new version.
type rollbackCommand struct {
	Workspace string `arg:"positional,required" help:"name of the workspace"`
	Version   uint64 `arg:"--to,required" placeholder:"VERSION" help:"version whose content is published again"`
	Base      uint64 `arg:"--base" placeholder:"VERSION" help:"version to replace, the current one when left out"`
	authorOptions
	connectionOptions
	waitOptions
	outputOptions
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
	requestContext, cancel := c.withTimeout(ctx)
	defer cancel()
	verdict, err := client.Rollback(requestContext, c.Workspace, body)
	if err != nil {
		return err
	}
	if err := c.print(env.stdout, verdict, func(w io.Writer) { writeVerdict(w, verdict) }); err != nil {
		return err
	}
	if err := verdictError(verdict); err != nil {
		return err
	}
	return c.waitForVersion(ctx, client, env.stderr, verdict.Version)
}
