package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/configcheck"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// validateCommand checks a configuration before it is sent. It needs no daemon, unless
// the configuration is compared with the version in force.
type validateCommand struct {
	Path    string `arg:"positional,required" help:"workspace directory, or a file with a configuration of the platform"`
	Against string `arg:"--against" placeholder:"PATH" help:"show what the configuration takes away compared with this one"`
	Current bool   `arg:"--current" help:"show what it takes away compared with the version in force"`
	Strict  bool   `arg:"--strict" help:"fail on warnings as on errors"`
	connectionOptions
	outputOptions
}

func (*validateCommand) example() string { return "mulberrybank validate ./heaters" }

// validation is the result of a validation.
type validation struct {
	Workspace string        `json:"workspace"`
	Valid     bool          `json:"valid"`
	Services  int           `json:"services"`
	Routes    int           `json:"routes"`
	Problems  []admin.Fault `json:"problems,omitempty"`
	// Warnings are what is valid but hardly meant.
	Warnings []configcheck.Finding `json:"warnings,omitempty"`
	// Losses are what the configuration takes away compared with another one.
	Losses []configcheck.Finding `json:"losses,omitempty"`
	// Unchecked lists routes to services of other workspaces, which only a daemon
	// can check.
	Unchecked []string `json:"unchecked,omitempty"`
}

func (c *validateCommand) run(ctx context.Context, env *env) error {
	name, workspace, problems, err := renderPath(env, c.Path)
	if err != nil {
		return err
	}
	result := newValidation(name, workspace, problems)
	if workspace != nil {
		before, err := c.compared(ctx, env, name)
		if err != nil {
			return err
		}
		if before != nil {
			result.Losses = configcheck.Losses(before, workspace)
		}
	}
	if err := c.print(env.stdout, result, result.writeText); err != nil {
		return err
	}
	if !result.Valid || c.Strict && len(result.Warnings) > 0 {
		return errRefused
	}
	return nil
}

// compared returns the workspace that the configuration is compared with, nil for none.
func (c *validateCommand) compared(ctx context.Context, env *env, name string) (*publish.Workspace, error) {
	switch {
	case c.Against != "":
		_, before, problems, err := renderPath(env, c.Against)
		if err == nil && before == nil {
			err = fmt.Errorf("%s is not valid: %s", c.Against, problems[0])
		}
		return before, err
	case c.Current:
		return c.current(ctx, env, name)
	default:
		return nil, nil
	}
}

// current returns the version of a workspace that is in force.
func (c *validateCommand) current(ctx context.Context, env *env, name string) (*publish.Workspace, error) {
	client, err := c.client(env)
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	source, err := client.Source(ctx, name, 0)
	if err != nil {
		return nil, err
	}
	before, problems := publish.Render(admin.ToSource(source))
	if len(problems) > 0 {
		return nil, fmt.Errorf("version in force does not render: %s", problems[0])
	}
	return before, nil
}

// renderPath renders a workspace directory or a file with a configuration of the
// platform. The workspace is nil if there are problems.
func renderPath(env *env, path string) (name string, workspace *publish.Workspace, problems []publish.Problem, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	if info.IsDir() {
		source, err := publish.LoadDirectory(path)
		if err != nil {
			return "", nil, nil, err
		}
		workspace, problems = publish.Render(source)
		return source.Name, workspace, problems, nil
	}
	if env.adapter == nil {
		return "", nil, nil, fmt.Errorf("%s is not a directory, and this program knows no other format", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	full, err := env.adapter.DecodeConfiguration(text)
	if err != nil {
		return "", nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	workspace, problems = publish.RenderFullConfig(full)
	return full.GetWorkspace(), workspace, problems, nil
}

func newValidation(name string, workspace *publish.Workspace, problems []publish.Problem) validation {
	result := validation{Workspace: name, Valid: len(problems) == 0}
	for _, problem := range problems {
		result.Problems = append(result.Problems, admin.Fault{Place: problem.Place, Reason: problem.Reason})
	}
	if workspace == nil {
		return result
	}
	result.Services = len(workspace.Services)
	result.Routes = len(workspace.Routes)
	result.Warnings = configcheck.Check(workspace)
	own := map[string]bool{}
	for _, service := range workspace.Services {
		own[service.Name] = true
	}
	for _, route := range workspace.Routes {
		if !own[route.Service] {
			result.Unchecked = append(result.Unchecked, route.Name+" to "+route.Service)
		}
	}
	return result
}

func (v validation) writeText(w io.Writer) {
	if !v.Valid {
		fmt.Fprintf(w, "workspace %s is not valid\n", v.Workspace)
	} else {
		fmt.Fprintf(w, "workspace %s is valid: %d services, %d routes\n", v.Workspace, v.Services, v.Routes)
	}
	for _, problem := range v.Problems {
		fmt.Fprintf(w, "  %s: %s\n", problem.Place, problem.Reason)
	}
	writeFindings(w, "warning", v.Warnings)
	writeFindings(w, "takes away", v.Losses)
	for _, route := range v.Unchecked {
		fmt.Fprintf(w, "  not checked without a daemon: route %s\n", route)
	}
}

func writeFindings(w io.Writer, title string, found []configcheck.Finding) {
	for _, finding := range found {
		fmt.Fprintf(w, "  %s %s: %s: %s\n", title, finding.ID, finding.Place, finding.Reason)
	}
}
