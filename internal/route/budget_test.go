package route_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// Over any run of calls, retries stay within the share of calls and what a
// route begins with.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const start = 3
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		one := &publish.Route{Name: "huts/lookups", RetryBudget: share}
		service := &publish.Service{Name: "huts/registry"}
		budgets := route.NewBudgets(0, nil)
		calls, retries := 0, 0
		for _, call := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if call {
				calls++
				budgets.Deposit(one, service)
			} else if budgets.Withdraw(one, service) {
				retries++
			}
			assert.Assert(t, float64(retries) <= start+share*float64(calls)+1e-9)
		}
		if share == 0 {
			assert.Equal(t, retries, 0)
		}
	})
}

// attempts counts the attempts at the last of several hops when all fail.
func attempts(left, hops int) int {
	if hops == 0 {
		return 1
	}
	total := 0
	for ; left >= 0; left-- {
		total += attempts(route.Below(left), hops-1)
	}
	return total
}

// Calls that go 7 deep do not multiply their retries.
func TestRetriesDoNotMultiplyOverHops(t *testing.T) {
	const depth = 7
	assert.Equal(t, attempts(2, 1), 3)
	assert.Equal(t, attempts(2, depth), 4)
	assert.Equal(t, attempts(4, depth), 10)
}
