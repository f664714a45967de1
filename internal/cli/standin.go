package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/mulberrybank/mulberrybank/internal/logging"
	"github.com/mulberrybank/mulberrybank/internal/settings"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
)

// standinCommand runs a stand-in of an external system.
type standinCommand struct {
	Log    *standinLogCommand    `arg:"subcommand:log" help:"run a stand-in of the platform's log"`
	Target *standinTargetCommand `arg:"subcommand:target" help:"run a stand-in of a target"`
}

func (c *standinCommand) run(context.Context, *env) error {
	return &usageError{"standin needs a subcommand: log or target"}
}

// standinLogCommand runs a stand-in of the log service.
type standinLogCommand struct {
	Listen      string        `arg:"--listen" default:"127.0.0.1:7500" placeholder:"ADDRESS" help:"address of the log"`
	Admin       string        `arg:"--admin-listen" default:"127.0.0.1:7501" placeholder:"ADDRESS" help:"address that switches faults: POST /faults"`
	KeepRecords int           `arg:"--keep-records" default:"0" help:"records kept of each stream, 0 for all"`
	KeepFor     time.Duration `arg:"--keep-for" default:"0s" help:"age up to which records are kept, 0 for ever"`
}

func (*standinLogCommand) example() string {
	return "mulberrybank standin log --listen 127.0.0.1:7500 --keep-records 1000\n" +
		`curl -d '{"refuse": true}' http://127.0.0.1:7501/faults`
}

func (c *standinLogCommand) run(ctx context.Context, env *env) error {
	service := logservice.New(logservice.Options{MaxRecords: c.KeepRecords, MaxAge: c.KeepFor})
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error { return serve(ctx, env, "log", c.Listen, service.Handler()) })
	tasks.Go(func(ctx context.Context) error { return serve(ctx, env, "faults", c.Admin, service.AdminHandler()) })
	return tasks.Wait()
}

// serve serves HTTP at an address until ctx ends.
func serve(ctx context.Context, env *env, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	fmt.Fprintf(env.stderr, "%s: listening at %s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", name, err)
	}
	return nil
}

// standinHeaderTimeout bounds how long a client may take for its headers.
const standinHeaderTimeout = 5 * time.Second

// standinTargetCommand runs a stand-in of a target.
type standinTargetCommand struct {
	Service   string        `arg:"--service,required" placeholder:"WORKSPACE/SERVICE" help:"service of the target"`
	Listen    string        `arg:"--listen" default:"127.0.0.1:0" placeholder:"ADDRESS" help:"address of the target"`
	Daemon    string        `arg:"--daemon,required" placeholder:"ADDRESS" help:"address at which the daemon of this host takes announcements"`
	Slots     int           `arg:"--slots" default:"20" help:"requests run at once"`
	Delay     time.Duration `arg:"--delay" default:"0s" help:"time that each request takes"`
	ColdDelay time.Duration `arg:"--cold-delay" default:"0s" help:"time added while the target is cold"`
	Cold      bool          `arg:"--cold" help:"announce a cold start"`
}

func (*standinTargetCommand) example() string {
	return "mulberrybank standin target --service railway/heater-status --daemon 127.0.0.1:7405 --delay 5ms\n" +
		`curl -d '{"state": "draining"}' http://127.0.0.1:PORT/behaviour`
}

func (c *standinTargetCommand) run(ctx context.Context, env *env) error {
	logger, err := logging.New(env.stderr, settings.DefaultLogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	behaviour := target.Behaviour{
		State:     target.StateReady,
		Delay:     settings.Duration(c.Delay),
		ColdDelay: settings.Duration(c.ColdDelay),
	}
	if c.Cold {
		behaviour.State = target.StateCold
	}
	process, err := target.New(target.Options{
		Service:       c.Service,
		Listen:        c.Listen,
		DaemonAddress: c.Daemon,
		Slots:         c.Slots,
		Behaviour:     behaviour,
		Logger:        logger,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stderr, "target: listening at %s\n", process.Address())
	return process.Run(ctx)
}
