package inprocess_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestKeysAreOnByDefault starts hosts whose settings say nothing of keys: the
// first grant comes by itself.
func TestKeysAreOnByDefault(t *testing.T) {
	f := start(t, 2)
	assert.NilError(t, f.AwaitKeys(f.ctx))
}
