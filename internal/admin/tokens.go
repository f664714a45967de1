package admin

import (
	"crypto/subtle"

	"github.com/mulberrybank/mulberrybank/internal/enforce"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// MeshWorkspace is the workspace whose administrators administer the whole
// mesh: they drain hosts and read events.
const MeshWorkspace = "mesh"

// ConfigurationSource gives access to the configuration in force.
type ConfigurationSource interface {
	Table() *enforce.Table
}

// TokenAuthorizer holds requests to the tokens that workspaces list.
type TokenAuthorizer struct {
	Config ConfigurationSource
	// RootSHA256 is the hash of a token that may do everything, from the
	// settings. It is needed to publish a workspace for the first time. Empty
	// means that there is none.
	RootSHA256 string
}

// rootName is the author of publications made with the root token.
const rootName = "root"

// Authorize implements Authorizer.
func (a *TokenAuthorizer) Authorize(token, workspace string, role publish.Role) (Principal, error) {
	if token == "" {
		return Principal{}, ErrNoToken
	}
	hash := publish.HashToken(token)
	if a.RootSHA256 != "" && equal(hash, a.RootSHA256) {
		return Principal{Name: rootName, Role: publish.Administrator}, nil
	}
	table := a.Config.Table()
	if table == nil {
		return Principal{}, ErrNoToken
	}
	if workspace == "" {
		return authorizeMesh(table.Config, hash, role)
	}
	held := find(table.Config.Workspaces[workspace], hash)
	switch {
	case held != nil && held.Role.Includes(role):
		return Principal{Name: held.Name, Role: held.Role}, nil
	case held != nil || knownAnywhere(table.Config, hash):
		return Principal{}, ErrForbidden
	default:
		return Principal{}, ErrNoToken
	}
}

// authorizeMesh decides on requests about the whole mesh. Every token may read
// its state; more needs a role in the mesh's own workspace.
func authorizeMesh(config *publish.Configuration, hash string, role publish.Role) (Principal, error) {
	held := find(config.Workspaces[MeshWorkspace], hash)
	switch {
	case held != nil && held.Role.Includes(role):
		return Principal{Name: held.Name, Role: held.Role}, nil
	case !knownAnywhere(config, hash):
		return Principal{}, ErrNoToken
	case publish.Reader.Includes(role):
		return Principal{Role: publish.Reader}, nil
	default:
		return Principal{}, ErrForbidden
	}
}

func knownAnywhere(config *publish.Configuration, hash string) bool {
	for _, workspace := range config.Workspaces {
		if find(workspace, hash) != nil {
			return true
		}
	}
	return false
}

// find returns the token of a workspace with a hash, nil for none.
func find(workspace *publish.Workspace, hash string) *publish.Token {
	if workspace == nil {
		return nil
	}
	for i := range workspace.Tokens {
		if equal(workspace.Tokens[i].SHA256, hash) {
			return &workspace.Tokens[i]
		}
	}
	return nil
}

// equal compares hashes in constant time.
func equal(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
