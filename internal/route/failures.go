package route

import "time"

const (
	// trackerHalfLife is the half-life of the counts of a FailureTracker.
	trackerHalfLife = 2 * time.Second
	// minReportedFailures is the failure count below which a rate of 0 is reported.
	minReportedFailures = 2
	// failureRateMargin is by how much the failure rate of a target must exceed
	// the lowest one before calls go elsewhere.
	failureRateMargin = 0.15
	// negligibleFailureRate is a decayed failure rate that counts as 0.
	negligibleFailureRate = 0.001
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
	if f.rate == 0 {
		return 0
	}
	halfLife := reportHalfLife
	if !repeatable {
		halfLife *= nonRepeatableFactor
	}
	return f.rate * decay(now.Sub(f.at), halfLife)
}

// forget drops a rate that has decayed to nothing, and reports whether one is left.
func (f *failureReport) forget(now time.Time) bool {
	if f.decayed(now, false) < negligibleFailureRate {
		f.rate = 0
	}
	return f.rate > 0
}
