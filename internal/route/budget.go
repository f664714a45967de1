package route

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

const (
	// defaultBurst is the token limit of a service, in retries.
	defaultBurst = 10
	// initialTokens is the number of retries available before the first call.
	initialTokens = 3
	// ratioMargin is the usable part of the ratio: calls that a target makes again
	// while it runs a retry count as retries too.
	ratioMargin = 0.5
	// topPriorityReserve is the part of the burst that is reserved for calls of the
	// highest priority seen for the service.
	topPriorityReserve = 0.25
	// fullRatio is the part of the calls to a service that may be sent to one more
	// host after a full one. While few hosts are full nearly every call may; while
	// most are, further attempts would cost all daemons more than they find.
	fullRatio = 0.5
	// fullBurst is the number of such attempts that may exceed that at once.
	fullBurst = 20
)

// Budgets holds the retry budget of each service, a token bucket that is filled
// by calls: retries are limited to a fraction of calls, so that they cannot
// amplify an overload when many calls fail.
type Budgets struct {
	// slack is the burst of one service over all daemons together, 0 for
	// defaultBurst on each daemon.
	slack float64
	// ratio limits the retries of a service to a fraction of its calls over all
	// daemons, 0 for the retry budgets of the routes.
	ratio     float64
	directory membership.Directory

	mu     sync.Mutex
	tokens map[string]float64
	// fullTokens holds the further attempts that each service may have after full
	// hosts.
	fullTokens map[string]float64
	// topPriority is the highest priority of calls seen for each service.
	topPriority map[string]int
	// counted is the view whose daemons were counted last.
	counted *membership.View
	daemons int
}

// NewBudgets returns the budgets of services that have had no calls. A slack is
// divided equally among the daemons of the directory that have not left; with a
// ratio no route adds more than ratioMargin of it for each call.
func NewBudgets(slack, ratio float64, directory membership.Directory) *Budgets {
	return &Budgets{slack: slack, ratio: ratio, directory: directory, tokens: make(map[string]float64), fullTokens: make(map[string]float64), topPriority: make(map[string]int)}
}

// Deposit counts one call of a route to a service.
func (b *Budgets) Deposit(route *publish.Route, service *publish.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fraction := min(max(route.RetryBudget, 0), 1)
	if b.ratio > 0 {
		fraction = min(fraction, ratioMargin*b.ratio)
	}
	if top, found := b.topPriority[service.Name]; !found || route.Priority < top {
		b.topPriority[service.Name] = route.Priority
	}
	tokens := b.balance(service.Name) + fraction
	b.tokens[service.Name] = min(tokens, b.burst())
	b.fullTokens[service.Name] = min(b.fullBalance(service.Name)+fullRatio, fullBurst)
}

// WithdrawFull reports whether one more attempt after a full host is allowed now, and
// counts it.
func (b *Budgets) WithdrawFull(service *publish.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.fullBalance(service.Name)
	if tokens < 1 {
		return false
	}
	b.fullTokens[service.Name] = tokens - 1
	return true
}

// AllowsFull reports whether WithdrawFull would allow an attempt now.
func (b *Budgets) AllowsFull(service *publish.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fullBalance(service.Name) >= 1
}

func (b *Budgets) fullBalance(service string) float64 {
	tokens, found := b.fullTokens[service]
	if !found {
		return fullBurst
	}
	return tokens
}

// Withdraw reports whether one more retry is allowed now, and counts it.
func (b *Budgets) Withdraw(route *publish.Route, service *publish.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.balance(service.Name)
	required := 1.0
	if route.Priority > b.topPriority[service.Name] {
		required += topPriorityReserve * b.burst()
	}
	if route.RetryBudget <= 0 || tokens < required {
		return false
	}
	b.tokens[service.Name] = tokens - 1
	return true
}

// RegisterMetrics exports the retries that the budget of each service allows now.
func (b *Budgets) RegisterMetrics(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		balances := b.balances()
		for _, service := range slices.Sorted(maps.Keys(balances)) {
			name := fmt.Sprintf(`mulberrybank_call_retry_budget_retries{service=%q}`, service)
			metrics.WriteGaugeFloat64(w, name, balances[service])
		}
	})
}

// balances returns the tokens of each service that has had a call.
func (b *Budgets) balances() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.tokens)
}

func (b *Budgets) balance(service string) float64 {
	tokens, found := b.tokens[service]
	if !found {
		return min(initialTokens, b.burst())
	}
	return tokens
}

// burst returns the token limit of a service on this daemon.
func (b *Budgets) burst() float64 {
	if b.slack <= 0 || b.directory == nil {
		return defaultBurst
	}
	return b.slack / float64(max(b.countDaemons(), 1))
}

// countDaemons returns the number of daemons that have not left.
func (b *Budgets) countDaemons() int {
	view := b.directory.View()
	if view == b.counted {
		return b.daemons
	}
	b.counted, b.daemons = view, 0
	for _, member := range view.Members.All() {
		if member.State != membership.Left {
			b.daemons++
		}
	}
	return b.daemons
}

// nextHopDivisor divides the retries left to a call to get those of the next hop.
const nextHopDivisor = 2

// NextHopRetries returns how many of the retries left to a call its next attempt
// may use downstream. The number halves with each hop, which bounds the attempts
// of one call over any number of hops: at most 4 for 2 retries, 10 for 4.
func NextHopRetries(left int) int { return max(left, 0) / nextHopDivisor }
