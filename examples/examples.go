// Package examples holds workspaces for the demo and the documentation.
package examples

import "embed"

// Files holds one workspace directory for each of the users.
//
//go:embed railway casetas
var Files embed.FS
