package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// validateCommand checks a workspace directory without a daemon.
type validateCommand struct {
	Directory string `arg:"positional,required" help:"workspace directory"`
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
	// Unchecked lists routes to services of other workspaces, which only a daemon
	// can check.
	Unchecked []string `json:"unchecked,omitempty"`
}

func (c *validateCommand) run(_ context.Context, env *env) error {
	source, err := publish.LoadDirectory(c.Directory)
	if err != nil {
		return err
	}
	result := validateSource(source)
	if err := c.print(env.stdout, result, result.writeText); err != nil {
		return err
	}
	if !result.Valid {
		return errRefused
	}
	return nil
}

func validateSource(source *publish.Source) validation {
	workspace, problems := publish.Render(source)
	result := validation{Workspace: source.Name, Valid: len(problems) == 0}
	for _, problem := range problems {
		result.Problems = append(result.Problems, admin.Fault{Place: problem.Place, Reason: problem.Reason})
	}
	if workspace == nil {
		return result
	}
	result.Services = len(workspace.Services)
	result.Routes = len(workspace.Routes)
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
	for _, route := range v.Unchecked {
		fmt.Fprintf(w, "  not checked without a daemon: route %s\n", route)
	}
}
