package cli

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/admin"
)

func TestRepeatOfPublicationFailsUnlessTheFirstWasAccepted(t *testing.T) {
	accepted := &admin.Verdict{Outcome: "duplicate", Version: 7}
	refused := &admin.Verdict{Outcome: "duplicate", Problems: []admin.Fault{{Place: "routes", Reason: "no service"}}}
	conflict := &admin.Verdict{Outcome: "duplicate", ConflictVersion: 6}
	assert.NilError(t, verdictError(accepted))
	assert.ErrorIs(t, verdictError(refused), errRefused)
	assert.ErrorIs(t, verdictError(conflict), errRefused)
}
