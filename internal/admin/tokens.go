package admin

import (
	"crypto/subtle"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// MeshWorkspace is the workspace whose administrators may also administer the mesh:
// drain hosts and read events.
const MeshWorkspace = "mesh"

// ConfigurationSource provides the active configuration.
type ConfigurationSource interface {
	// Table returns the active table, nil when there is none.
	Table() *enforce.Table
}

// TokenAuthorizer authorizes requests by the tokens that workspaces list.
type TokenAuthorizer struct {
	Config ConfigurationSource
	// RootSHA256 is the hash of the root token from the settings, which has every
	// role in every workspace. It is needed to publish a workspace for the first
	// time. Empty means that there is no root token.
	RootSHA256 string
}

// rootName is the author of publications made with the root token.
const rootName = "root"

// Authorize implements Authorizer.
func (a *TokenAuthorizer) Authorize(token, workspace string, role publish.Role) (Principal, error) {
	if token == "" {
		return Principal{}, ErrUnauthenticated
	}
	hash := publish.HashToken(token)
	if a.RootSHA256 != "" && equalHashes(hash, a.RootSHA256) {
		return Principal{Name: rootName, Role: publish.Administrator}, nil
	}
	table := a.Config.Table()
	if table == nil {
		return Principal{}, ErrUnauthenticated
	}
	if workspace == "" {
		return authorizeMesh(table.Config, hash, role)
	}
	entry := findToken(table.Config.Workspaces[workspace], hash)
	switch {
	case entry != nil && entry.Role.Includes(role):
		return Principal{Name: entry.Name, Role: entry.Role}, nil
	case entry != nil || inAnyWorkspace(table.Config, hash):
		return Principal{}, ErrForbidden
	default:
		return Principal{}, ErrUnauthenticated
	}
}

// authorizeMesh authorizes requests that concern the mesh and not one workspace.
// Every valid token may read the state of the mesh; anything else needs a role in
// MeshWorkspace.
func authorizeMesh(config *publish.Configuration, hash string, role publish.Role) (Principal, error) {
	entry := findToken(config.Workspaces[MeshWorkspace], hash)
	switch {
	case entry != nil && entry.Role.Includes(role):
		return Principal{Name: entry.Name, Role: entry.Role}, nil
	case !inAnyWorkspace(config, hash):
		return Principal{}, ErrUnauthenticated
	case publish.Reader.Includes(role):
		return Principal{Role: publish.Reader}, nil
	default:
		return Principal{}, ErrForbidden
	}
}

// inAnyWorkspace reports whether any workspace lists a token with a hash.
func inAnyWorkspace(config *publish.Configuration, hash string) bool {
	for _, workspace := range config.Workspaces {
		if findToken(workspace, hash) != nil {
			return true
		}
	}
	return false
}

// findToken returns the token of a workspace with a hash, nil for none.
func findToken(workspace *publish.Workspace, hash string) *publish.Token {
	if workspace == nil {
		return nil
	}
	for i := range workspace.Tokens {
		if equalHashes(workspace.Tokens[i].SHA256, hash) {
			return &workspace.Tokens[i]
		}
	}
	return nil
}

// equalHashes compares hashes in constant time.
func equalHashes(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
