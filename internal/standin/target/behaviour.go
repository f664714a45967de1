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

// Behaviour determines how a target executes requests and what it reports about
// itself.
type Behaviour struct {
	// State is the announced state: "cold", "ready" or "draining".
	State string `json:"state"`
	// Delay is the service time of each request.
	Delay settings.Duration `json:"delay"`
	// ColdDelay is added to Delay while State is "cold".
	ColdDelay settings.Duration `json:"cold_delay"`
	// Stall is added to Delay for one in StallEvery requests; 0 means for none.
	Stall      settings.Duration `json:"stall"`
	StallEvery int               `json:"stall_every"`
	// Hang blocks each request until it is cancelled.
	Hang bool `json:"hang"`
	// Shed responds with status 503 without executing the request.
	Shed bool `json:"shed"`
	// Fail responds with status 500 after executing the request.
	Fail bool `json:"fail"`
	// TruncateBody aborts the connection after half of the response.
	TruncateBody bool `json:"cut_body"`
	// ReportHealthy and ReportUnhealthy override the response of /health.
	ReportHealthy   bool `json:"lie_healthy"`
	ReportUnhealthy bool `json:"lie_unhealthy"`
}

// Validate returns an error if the state is unknown.
func (b Behaviour) Validate() error {
	switch b.State {
	case StateCold, StateReady, StateDraining:
		return nil
	default:
		return fmt.Errorf("behaviour: unknown state %q, want cold, ready or draining", b.State)
	}
}

// serviceTime returns the service time of the request with a sequence number.
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

// healthy returns the health that /health reports.
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
