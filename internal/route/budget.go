package route

import (
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// budgetBurst is how many retries a route may save up.
	budgetBurst = 10
	// budgetStart is how many retries a route has before its first call.
	budgetStart = 3
)

// Budgets holds the retry budget of each route: retries are a share of calls,
// so that they fade where calls fail in numbers.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudgets returns budgets of routes that have seen no calls.
func NewBudgets() *Budgets { return &Budgets{tokens: make(map[string]float64)} }

// Deposit counts one call of a route.
func (b *Budgets) Deposit(route *publish.Route) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.of(route.Name) + min(max(route.RetryBudget, 0), 1)
	b.tokens[route.Name] = min(tokens, budgetBurst)
}

// Withdraw reports whether the route may make one more retry now, and counts it.
func (b *Budgets) Withdraw(route *publish.Route) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.of(route.Name)
	if route.RetryBudget <= 0 || tokens < 1 {
		return false
	}
	b.tokens[route.Name] = tokens - 1
	return true
}

func (b *Budgets) of(route string) float64 {
	tokens, found := b.tokens[route]
	if !found {
		return budgetStart
	}
	return tokens
}

// belowShare divides the retries left to a call by what the next hop may spend.
const belowShare = 2

// Below returns how many of the retries that are left to a call its next
// attempt may spend further down. It halves with each hop, so the attempts of
// one call are bounded over any number of hops: at most 4 for 2 retries, 10
// for 4.
func Below(left int) int { return max(left, 0) / belowShare }
