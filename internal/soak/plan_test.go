package soak_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/soak"
)

func TestPlanHasOnlyStepsOfNamedKinds(t *testing.T) {
	kinds, err := soak.ParseKinds([]string{"stop", "stop", "reload"})
	assert.NilError(t, err)
	assert.DeepEqual(t, kinds, []soak.Kind{soak.Stop, soak.Stop, soak.Reload})
	plan := soak.NewPlan(1, time.Minute, 6, kinds...)
	assert.Assert(t, len(plan.Steps) > 0)
	for _, step := range plan.Steps {
		assert.Assert(t, slices.Contains(kinds, step.Kind), "%s", step)
	}
}

func TestUnknownKindIsRejected(t *testing.T) {
	_, err := soak.ParseKinds([]string{"stop", "stopp"})
	assert.ErrorContains(t, err, `"stopp" is not one of`)
}
