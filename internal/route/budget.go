package route

import (
	"sync"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// budgetBurst is how many retries of a service may be saved up.
	budgetBurst = 10
	// budgetStart is how many retries a service has before its first call.
	budgetStart = 3
	// ratioMargin is the part of the ratio that is used: calls that a target
	// makes again while it runs a retry count as retries too.
	ratioMargin = 0.5
	// urgentReserve is the part of what may be saved up that only the calls of the
	// most urgent rank of a service spend.
	urgentReserve = 0.25
)

// Budgets holds the retry budget of each service: retries are a share of calls,
// so that they fade where calls fail in numbers.
type Budgets struct {
	// slack is how many retries all daemons together may save up for one
	// service, 0 for budgetBurst on each.
	slack float64
	// ratio bounds the share of its calls that the retries of a service may be
	// over all daemons, 0 for the routes' own shares.
	ratio     float64
	directory membership.Directory

	mu     sync.Mutex
	tokens map[string]float64
	// urgent holds the most urgent rank of the calls of each service.
	urgent map[string]int
}

// NewBudgets returns budgets of services that have seen no calls. With a slack
// each living daemon of the directory saves up an equal part of it; with a ratio
// no route adds more than ratioMargin of it.
func NewBudgets(slack, ratio float64, directory membership.Directory) *Budgets {
	return &Budgets{slack: slack, ratio: ratio, directory: directory, tokens: make(map[string]float64), urgent: make(map[string]int)}
}

// Deposit counts one call of a route to a service.
func (b *Budgets) Deposit(route *publish.Route, service *publish.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := min(max(route.RetryBudget, 0), 1)
	if b.ratio > 0 {
		share = min(share, ratioMargin*b.ratio)
	}
	if known, found := b.urgent[service.Name]; !found || route.Priority < known {
		b.urgent[service.Name] = route.Priority
	}
	tokens := b.of(service.Name) + share
	b.tokens[service.Name] = min(tokens, b.burst())
}

// Withdraw reports whether one more retry may be made now, and counts it.
func (b *Budgets) Withdraw(route *publish.Route, service *publish.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.of(service.Name)
	least := 1.0
	if route.Priority > b.urgent[service.Name] {
		least += urgentReserve * b.burst()
	}
	if route.RetryBudget <= 0 || tokens < least {
		return false
	}
	b.tokens[service.Name] = tokens - 1
	return true
}

func (b *Budgets) of(service string) float64 {
	tokens, found := b.tokens[service]
	if !found {
		return min(budgetStart, b.burst())
	}
	return tokens
}

// burst returns how many retries of a service this daemon may save up.
func (b *Budgets) burst() float64 {
	if b.slack <= 0 || b.directory == nil {
		return budgetBurst
	}
	living := 0
	for _, member := range b.directory.View().Members {
		if member.State != membership.Left {
			living++
		}
	}
	return b.slack / float64(max(living, 1))
}

// belowShare divides the retries left to a call by what the next hop may spend.
const belowShare = 2

// NextHopRetries returns how many of the retries that are left to a call its next
// attempt may spend further down. It halves with each hop, so the attempts of
// one call are bounded over any number of hops: at most 4 for 2 retries, 10
// for 4.
func NextHopRetries(left int) int { return max(left, 0) / belowShare }
