package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/collector"
	"github.com/mulberrybank/mulberrybank/internal/daemon"
	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// daemonCommand runs the daemon of this host.
type daemonCommand struct {
	Settings string   `arg:"--settings,required,env:MULBERRYBANK_CONFIG" placeholder:"FILE" help:"settings of this host, JSON with comments"`
	Check    bool     `arg:"--check" help:"only check the settings"`
	Set      []string `arg:"--set,separate" placeholder:"FIELD=VALUE" help:"replace one setting, such as log.level=debug"`
}

func (*daemonCommand) example() string {
	return "mulberrybank daemon --settings /etc/mulberrybank/settings.json --set log.level=debug"
}

func (c *daemonCommand) run(ctx context.Context, env *env) error {
	// SIGHUP is handled from the start until shutdown has ended, because an
	// unhandled SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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
	output := logging.NewAsyncWriter(env.stdout)
	defer output.Close()
	logger, err := logging.New(output, loaded.Log.Level)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	defer logging.CaptureStandard(logger)()
	limitMemory(uint64(loaded.Memory))
	options := daemon.Options{Settings: loaded, Logger: logger}
	if loaded.Adapter != settings.AdapterNone {
		options.Adapter = env.adapter
	}
	process, err := daemon.New(options)
	if err != nil {
		return err
	}
	reloads, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { c.reloadOnHangup(reloads, hangups, process, overrides, logger) })
	return process.Run(ctx)
}

// memoryLimitShare is the soft limit of the garbage collector as a share of the
// memory. The collector works harder above it.
const memoryLimitShare = 0.8

// limitMemory tunes the garbage collector to keep the process small and below a
// memory limit in bytes.
func limitMemory(memory uint64) {
	if memory > 0 {
		collector.Tune()
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
}

// reloadOnHangup reloads the settings on each SIGHUP until ctx ends.
func (c *daemonCommand) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, process *daemon.Daemon, overrides []settings.Override, logger *logrus.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		next, err := settings.Load(c.Settings, overrides...)
		if err == nil {
			err = process.Reload(next)
		}
		if err != nil {
			logging.ForComponent(logger, "cli").WithError(err).Error("reload of the settings failed; the current settings stay in effect")
		}
	}
}
