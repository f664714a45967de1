// Package examples contains example workspaces for the demo and the
// documentation.
package examples

import (
	"embed"
	"fmt"
	"io/fs"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

//go:embed railway casetas
var files embed.FS

// Load returns the source of one of the example workspaces, "railway" or
// "casetas".
func Load(workspace string) (*publish.Source, error) {
	directory, err := fs.Sub(files, workspace)
	if err != nil {
		return nil, fmt.Errorf("example %s: %w", workspace, err)
	}
	return publish.LoadFS(directory)
}
