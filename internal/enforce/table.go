// Package enforce holds the active configuration of one daemon.
package enforce

import "github.com/mulberrybank/mulberrybank/internal/publish"

// Table is the configuration under which calls are handled. It is immutable; a call
// uses one table from start to end.
type Table struct {
	// Offset is the highest applied offset.
	Offset uint64
	// Digest is the digest of the state at Offset.
	Digest []byte
	Config *publish.Configuration
}
