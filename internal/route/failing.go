package route

import (
	"math"
	"time"
)

const (
	// tallyHalfLife is how long it takes until half of an ending at a target
	// counts.
	tallyHalfLife = 2 * time.Second
	// tallyFailures is the least weight of failures that is reported.
	tallyFailures = 2
	// failingMargin is how much more of its requests than the others' a target
	// fails when calls go elsewhere.
	failingMargin = 0.15
	// failingHalfLife is how long it takes until half of a reported share of
	// failures counts, for calls that may be repeated. Those that may not wait
	// failingPatience times as long before they try the target again.
	failingHalfLife = 3 * time.Second
	failingPatience = 3
)

// FailureTracker counts how requests ended at one target. It is not safe for concurrent use.
type FailureTracker struct {
	good, bad float64
	counted   time.Time
}

// Add counts one ending.
func (t *FailureTracker) Add(failed bool, now time.Time) {
	t.fade(now)
	if failed {
		t.bad++
	} else {
		t.good++
	}
}

func (t *FailureTracker) fade(now time.Time) {
	fade := decay(now.Sub(t.counted), tallyHalfLife)
	t.good *= fade
	t.bad *= fade
	t.counted = now
}

// Rate returns the share of requests that failed of late, 0 while too few did.
func (t *FailureTracker) Rate(now time.Time) float64 {
	t.fade(now)
	if t.bad < tallyFailures {
		return 0
	}
	return t.bad / (t.bad + t.good)
}

// failingReport is the share of failures that a target's daemon reported last.
type failingReport struct {
	share float64
	at    time.Time
}

// present returns what still counts of the report.
func (f failingReport) present(now time.Time, repeatable bool) float64 {
	halfLife := failingHalfLife
	if !repeatable {
		halfLife *= failingPatience
	}
	return f.share * decay(now.Sub(f.at), halfLife)
}

// markFailing treats targets that fail far more of their requests than the
// others as ejected. When all fail alike the cause is not theirs.
func markFailing(candidates []candidate) {
	least := math.Inf(1)
	for _, one := range candidates {
		least = min(least, one.failing)
	}
	for i := range candidates {
		if candidates[i].failing >= least+failingMargin {
			candidates[i].ejected = true
		}
	}
}
