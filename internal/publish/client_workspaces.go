package publish

import "crypto/sha256"

// KeyHash is the SHA-256 hash of an API key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ClientWorkspace is a workspace whose callers present an API key.
type ClientWorkspace struct {
	// Name is unique within its configuration.
	Name string
	// Priority replaces the priority of the routes that it calls, 0 the highest.
	Priority int
	// Rate is the quota of the workspace over all daemons in requests a second, 0 for
	// no limit.
	Rate float64
	// Burst is the number of requests that may exceed Rate at once.
	Burst float64
}

// ClientWorkspaces holds the client workspaces of a configuration. It is immutable.
type ClientWorkspaces struct {
	byKey  map[KeyHash]*ClientWorkspace
	byName map[string]*ClientWorkspace
}

// Lookup returns the client workspace that holds a key, nil if there is none.
func (c *ClientWorkspaces) Lookup(key KeyHash) *ClientWorkspace { return c.byKey[key] }

// Named returns the client workspace with a name, nil if there is none.
func (c *ClientWorkspaces) Named(name string) *ClientWorkspace { return c.byName[name] }
