package target

import (
	"fmt"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/settings"
)

// States that a target announces.
const (
	StateCold     = "cold"
	StateReady    = "ready"
	StateDraining = "draining"
)

// Behaviour is how a target treats requests and what it says of itself.
type Behaviour struct {
	// State is the announced state: "cold", "ready" or "draining".
	State string `json:"state"`
	// Delay is how long each request takes.
	Delay settings.Duration `json:"delay"`
	// ColdDelay is added to Delay while State is "cold".
	ColdDelay settings.Duration `json:"cold_delay"`
	// Stall is added to Delay for one request in StallEvery, 0 for none.
	Stall      settings.Duration `json:"stall"`
	StallEvery int               `json:"stall_every"`
	// Hang keeps each request until it is cancelled.
	Hang bool `json:"hang"`
	// Shed answers 503 without running the request.
	Shed bool `json:"shed"`
	// Fail answers 500 after running the request.
	Fail bool `json:"fail"`
	// TruncateBody breaks the connection after half of the answer.
	TruncateBody bool `json:"cut_body"`
	// ReportHealthy and LieUnhealthy replace the true answer of /health.
	ReportHealthy   bool `json:"lie_healthy"`
	ReportUnhealthy bool `json:"lie_unhealthy"`
}

// Validate reports a state that no target can have.
func (b Behaviour) Validate() error {
	switch b.State {
	case StateCold, StateReady, StateDraining:
		return nil
	default:
		return fmt.Errorf("behaviour: state %q is not cold, ready or draining", b.State)
	}
}

// serviceTime is how long the request with a number takes.
func (b Behaviour) serviceTime(number int) time.Duration {
	total := b.Delay
	if b.State == StateCold {
		total += b.ColdDelay
	}
	if b.StallEvery > 0 && number%b.StallEvery == 0 {
		total += b.Stall
	}
	return time.Duration(total)
}

// healthy is what /health says.
func (b Behaviour) healthy() bool {
	switch {
	case b.ReportHealthy:
		return true
	case b.ReportUnhealthy:
		return false
	default:
		return !b.Hang && !b.Fail && !b.Shed && !b.TruncateBody
	}
}
