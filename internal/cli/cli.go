// Package cli implements the subcommands of the program. Operator commands are
// clients of the administration API.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"

	arg "github.com/alexflint/go-arg"

	"github.com/mulberrybank/mulberrybank/internal/daemon"
)

// commands has one field for each subcommand, of which the parser sets the selected
// one.
type commands struct {
	Daemon   *daemonCommand   `arg:"subcommand:daemon" help:"run the daemon of this host"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"show the system at work in one process"`
	Load     *loadCommand     `arg:"subcommand:load" help:"call a mesh at a constant rate and show the latencies"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"play random faults against daemon processes and check what callers see"`
	Standin  *standinCommand  `arg:"subcommand:standin" help:"run a stand-in of the log or of a target"`
	Validate *validateCommand `arg:"subcommand:validate" help:"check a configuration before it is sent"`
	Publish  *publishCommand  `arg:"subcommand:publish" help:"publish a workspace directory"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show what is in force and where"`
	Members  *membersCommand  `arg:"subcommand:members" help:"list daemons and their targets"`
	Rollouts *rolloutsCommand `arg:"subcommand:rollouts" help:"list the rollouts of new versions"`
	History  *historyCommand  `arg:"subcommand:history" help:"list the publications of a workspace"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"compare two versions of a workspace as rendered"`
	Rollback *rollbackCommand `arg:"subcommand:rollback" help:"publish the content of an old version again"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"take a target out of service, or put it back"`
	Token    *tokenCommand    `arg:"subcommand:token" help:"make an access token"`
	Story    *storyCommand    `arg:"subcommand:story" help:"tell from logs what happened to one call"`
	Timeline *timelineCommand `arg:"subcommand:timeline" help:"show or check the events of many processes"`
}

// Description is printed by the help.
func (commands) Description() string {
	return "mulberrybank distributes configuration over a service mesh and carries its calls."
}

// Epilogue is printed by the help.
func (commands) Epilogue() string {
	return "Exit status: 0 on success, 1 when an operation failed or was refused, 2 on wrong usage.\n" +
		"Run 'mulberrybank COMMAND --help' for options and an example."
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, env *env) error
}

// exampleProvider is a subcommand with an example in its help.
type exampleProvider interface {
	example() string
}

// env holds the outputs and dependencies of a subcommand.
type env struct {
	stdout io.Writer
	stderr io.Writer
	http   *http.Client
	// parsed holds the parsed arguments of all subcommands.
	parsed *commands
	// adapter is used by daemons whose settings select an adapter.
	adapter daemon.Adapter
}

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// programName is the name of the program in its messages.
const programName = "mulberrybank"

// errRefused is returned by a command that has already printed its failure, such as a
// refused publication.
var errRefused = errors.New("refused")

// usageError is an error in the arguments that the parser does not detect.
type usageError struct{ reason string }

func (e *usageError) Error() string { return e.reason }

// Run runs the subcommand given by the arguments and returns the exit status.
// SIGINT and SIGTERM shut it down gracefully. The adapter is used by daemons whose
// settings select an adapter.
func Run(args []string, stdout, stderr io.Writer, adapter daemon.Adapter) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, stdout, stderr, adapter)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer, adapter daemon.Adapter) int {
	parsed := &commands{}
	parser, err := arg.NewParser(arg.Config{Program: programName, Out: stderr}, parsed)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return exitFailed
	}
	err = parser.Parse(args)
	selected, _ := parser.Subcommand().(command)
	if errors.Is(err, arg.ErrHelp) {
		writeHelp(stdout, parser)
		return exitOK
	}
	if err == nil && selected == nil {
		err = errors.New("a command is required")
	}
	if err != nil {
		return reportUsageError(stderr, parser, err)
	}
	e := &env{stdout: stdout, stderr: stderr, http: &http.Client{}, parsed: parsed, adapter: adapter}
	return exitStatus(selected.run(ctx, e), stderr, parser)
}

// exitStatus reports the error of a subcommand and returns the exit status.
func exitStatus(err error, stderr io.Writer, parser *arg.Parser) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return reportUsageError(stderr, parser, err)
	case errors.Is(err, errRefused):
		return exitFailed
	default:
		fmt.Fprintf(stderr, "%s: %s: %v\n", programName, commandName(parser), err)
		return exitFailed
	}
}

func commandName(parser *arg.Parser) string { return strings.Join(parser.SubcommandNames(), " ") }

func reportUsageError(stderr io.Writer, parser *arg.Parser, err error) int {
	// The error is nil: the names come from the parser itself.
	_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
	fmt.Fprintf(stderr, "error: %v\n", err)
	return exitUsage
}

func writeHelp(out io.Writer, parser *arg.Parser) {
	// The error is nil: the names come from the parser itself.
	_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
	if selected, ok := parser.Subcommand().(exampleProvider); ok {
		fmt.Fprintf(out, "\nExample:\n  %s\n", strings.ReplaceAll(selected.example(), "\n", "\n  "))
	}
}
