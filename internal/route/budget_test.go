package route_test

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/route"
)

// Over any sequence of calls, retries stay within the route's fraction of calls
// plus the initial tokens.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const initialTokens = 3
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1).Draw(t, "share")
		lookups := &publish.Route{Name: "huts/lookups", RetryBudget: fraction}
		service := &publish.Service{Name: "huts/registry"}
		budgets := route.NewBudgets(0, 0, nil)
		calls, retries := 0, 0
		for _, call := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if call {
				calls++
				budgets.Deposit(lookups, service)
			} else if budgets.Withdraw(lookups, service) {
				retries++
			}
			assert.Assert(t, float64(retries) <= initialTokens+fraction*float64(calls)+1e-9)
		}
		if fraction == 0 {
			assert.Equal(t, retries, 0)
		}
	})
}

// Over any sequence of calls, further attempts after full hosts stay within a fraction
// of the calls plus a burst, and some are allowed.
func TestFullHostsAreRetriedWithinBudget(t *testing.T) {
	const burst, fraction = 20, 0.5
	rapid.Check(t, func(t *rapid.T) {
		service := &publish.Service{Name: "huts/registry"}
		budgets := route.NewBudgets(0, 0, nil)
		calls, retries, denied := 0, 0, 0
		for _, call := range rapid.SliceOfN(rapid.Bool(), 0, 200).Draw(t, "calls") {
			switch {
			case call:
				calls++
				budgets.Deposit(&publish.Route{}, service)
			case budgets.WithdrawFull(service):
				retries++
			default:
				denied++
			}
			assert.Assert(t, float64(retries) <= burst+fraction*float64(calls)+1e-9)
		}
		assert.Assert(t, denied == 0 || retries >= burst)
	})
}

// attempts counts the attempts at the last of several hops when all attempts fail.
func attempts(left, hops int) int {
	if hops == 0 {
		return 1
	}
	total := 0
	for ; left >= 0; left-- {
		total += attempts(route.NextHopRetries(left), hops-1)
	}
	return total
}

// Retries are not multiplied over a chain of 7 hops.
func TestRetriesDoNotMultiplyOverHops(t *testing.T) {
	const depth = 7
	assert.Equal(t, attempts(2, 1), 3)
	assert.Equal(t, attempts(2, depth), 4)
	assert.Equal(t, attempts(4, depth), 10)
}

// aliveHosts is a directory with this number of alive hosts.
type aliveHosts int

func (n aliveHosts) Changed() <-chan struct{} { return nil }

func (n aliveHosts) View() *membership.View {
	view := &membership.View{}
	for i := range int(n) {
		host := string(rune('a' + i))
		view.Members = view.Members.With(host, membership.Member{Host: host, State: membership.Alive})
	}
	return view
}

// Over any sequence of calls through several daemons, their retries together
// stay within the slack plus the ratio of calls.
func TestBudgetIsSharedByAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		slack := rapid.Float64Range(1, 40).Draw(t, "slack")
		ratio := rapid.Float64Range(0.01, 0.5).Draw(t, "ratio")
		lookups := &publish.Route{Name: "huts/lookups", RetryBudget: rapid.Float64Range(0, 1).Draw(t, "share")}
		service := &publish.Service{Name: "huts/registry"}
		var budgets []*route.Budgets
		for range hosts {
			budgets = append(budgets, route.NewBudgets(slack, ratio, aliveHosts(hosts)))
		}
		calls, retries := 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2*hosts-1)).Draw(t, "steps") {
			budget := budgets[step/2]
			if step%2 == 0 {
				calls++
				budget.Deposit(lookups, service)
			} else if budget.Withdraw(lookups, service) {
				retries++
			}
			assert.Assert(t, float64(retries) <= slack+ratio*float64(calls)+1e-9)
		}
	})
}

// Retries of a lower priority cannot use up the reserve of the highest priority.
func TestLowerPriorityRetriesLeaveReserve(t *testing.T) {
	service := &publish.Service{Name: "huts/registry"}
	charge := &publish.Route{Name: "huts/charges", RetryBudget: 0.2, Priority: 0}
	lookup := &publish.Route{Name: "huts/lookups", RetryBudget: 0.2, Priority: 2}
	budgets := route.NewBudgets(20, 0.2, aliveHosts(2))
	for range 1000 {
		budgets.Deposit(charge, service)
		budgets.Deposit(lookup, service)
	}
	count := func(route *publish.Route) (granted int) {
		for budgets.Withdraw(route, service) {
			granted++
		}
		return granted
	}
	assert.Equal(t, count(lookup), 7)
	assert.Equal(t, count(lookup), 0)
	assert.Equal(t, count(charge), 3)
}

// TestRetryBudgetIsExported guards against a budget that runs out unseen.
func TestRetryBudgetIsExported(t *testing.T) {
	lookups := &publish.Route{Name: "huts/lookups", RetryBudget: 0.5}
	service := &publish.Service{Name: "huts/registry"}
	budgets := route.NewBudgets(0, 0, nil)
	set := metrics.NewSet()
	budgets.RegisterMetrics(set)
	exported := func() string {
		var text strings.Builder
		set.WritePrometheus(&text)
		return text.String()
	}
	assert.Equal(t, exported(), "")
	budgets.Deposit(lookups, service)
	assert.Equal(t, exported(), `mulberrybank_call_retry_budget_retries{service="huts/registry"} 3.5`+"\n")
	for budgets.Withdraw(lookups, service) {
	}
	assert.Equal(t, exported(), `mulberrybank_call_retry_budget_retries{service="huts/registry"} 0.5`+"\n")
}
