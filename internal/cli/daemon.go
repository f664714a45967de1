package cli

import (
	"context"
	"fmt"

	"github.com/mulberrybank/mulberrybank/internal/daemon"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// daemonCommand runs the daemon of this host.
type daemonCommand struct {
	Settings string   `arg:"--settings,required" placeholder:"FILE" help:"settings of this host, JSON with comments"`
	Check    bool     `arg:"--check" help:"only check the settings"`
	Set      []string `arg:"--set,separate" placeholder:"FIELD=VALUE" help:"replace one setting, such as log.level=debug"`
}

func (*daemonCommand) example() string {
	return "mulberrybank daemon --settings /etc/mulberrybank/settings.json --set log.level=debug"
}

func (c *daemonCommand) run(ctx context.Context, env *env) error {
	overrides, err := parseOverrides(c.Set)
	if err != nil {
		return err
	}
	loaded, err := settings.Load(c.Settings, overrides...)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintf(env.stdout, "%s: settings of host %s are valid\n", c.Settings, loaded.Host)
		return nil
	}
	logger, err := logging.New(env.stderr, loaded.Log.Level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	process, err := daemon.New(daemon.Options{Settings: loaded, Logger: logger})
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
