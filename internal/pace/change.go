package pace

import (
	"math"
	"time"
)

// recordFall records a fall to a value that is at most half of the slots.
func (l *Limit) recordFall(value float64, reason Reason, now time.Time) {
	if !l.low && value <= float64(l.slots)/2 {
		l.low = true
		l.recordChange(reason, now)
	}
}

func (l *Limit) recordChange(reason Reason, now time.Time) {
	l.change = &Change{
		Instance:    l.instance,
		Limit:       l.ReportedSlots(now),
		Slots:       l.slots,
		Recovered:   reason == ReasonNone,
		Reason:      reason,
		Slowdown:    math.Round(100*l.slowdown) / 100,
		FailedShare: math.Round(100*l.failedShare) / 100,
		Refusals:    l.refusals,
		Abandoned:   len(l.abandoned),
		Age:         now.Sub(l.changedAt),
	}
	l.changedAt = now
}

// TakeChange returns the latest change that was not taken yet, nil for none.
func (l *Limit) TakeChange() *Change {
	change := l.change
	l.change = nil
	return change
}
