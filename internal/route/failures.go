package route

import (
	"math"
	"time"
)

const (
	// trackerHalfLife is the half-life of the counts of a FailureTracker.
	trackerHalfLife = 2 * time.Second
	// minReportedFailures is the failure count below which a rate of 0 is reported.
	minReportedFailures = 2
	// failureRateMargin is by how much the failure rate of a target must exceed
	// the lowest one before calls go elsewhere.
	failureRateMargin = 0.15
	// reportHalfLife is the half-life of a reported failure rate for repeatable
	// calls. For other calls it is nonRepeatableFactor times as long, so that they
	// return to the target later.
	reportHalfLife      = 3 * time.Second
	nonRepeatableFactor = 3
)

// FailureTracker tracks the recent failure rate of requests at one target. It is
// not safe for concurrent use.
type FailureTracker struct {
	successes, failures float64
	updatedAt           time.Time
}

// Add counts one finished request.
func (t *FailureTracker) Add(failed bool, now time.Time) {
	t.decayTo(now)
	if failed {
		t.failures++
	} else {
		t.successes++
	}
}

func (t *FailureTracker) decayTo(now time.Time) {
	factor := decay(now.Sub(t.updatedAt), trackerHalfLife)
	t.successes *= factor
	t.failures *= factor
	t.updatedAt = now
}

// Rate returns the fraction of recent requests that failed, 0 while there are
// too few failures.
func (t *FailureTracker) Rate(now time.Time) float64 {
	t.decayTo(now)
	if t.failures < minReportedFailures {
		return 0
	}
	return t.failures / (t.failures + t.successes)
}

// failureReport is the failure rate that a target's daemon reported last.
type failureReport struct {
	rate float64
	at   time.Time
}

// decayed returns the reported rate, decayed by the age of the report.
func (f failureReport) decayed(now time.Time, repeatable bool) float64 {
	halfLife := reportHalfLife
	if !repeatable {
		halfLife *= nonRepeatableFactor
	}
	return f.rate * decay(now.Sub(f.at), halfLife)
}

// ejectFailing marks targets as ejected whose failure rate is far above the
// lowest. When all fail at a similar rate, the cause is a common one.
func ejectFailing(candidates []candidate) {
	lowest := math.Inf(1)
	for _, c := range candidates {
		lowest = min(lowest, c.failureRate)
	}
	for i := range candidates {
		if candidates[i].failureRate >= lowest+failureRateMargin {
			candidates[i].ejected = true
		}
	}
}
