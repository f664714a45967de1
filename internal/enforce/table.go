// Package enforce holds the configuration in force on one daemon.
package enforce

import "github.com/mulberrybank/mulberrybank/internal/publish"

// Table is what calls run under. It is immutable; a call keeps the table that
// it began with.
type Table struct {
	// Offset is the highest offset folded into the table.
	Offset uint64
	// Digest is the digest of the fold at Offset.
	Digest []byte
	Config *publish.Configuration
}
