package inprocess_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestKeyedCallsWorkByDefault starts hosts whose settings don't mention keys. The
// first grant must be issued all the same.
func TestKeyedCallsWorkByDefault(t *testing.T) {
	f := startMesh(t, 2)
	assert.NilError(t, f.AwaitKeyedCalls(f.ctx))
}
