package pace

import (
	"slices"
	"time"
)

// silent reports whether no response has begun for so long that the target is taken for
// frozen.
func (l *Limit) silent(now time.Time) bool {
	if l.unanswered == 0 {
		return false
	}
	quiet := now.Sub(l.progressAt)
	if quiet <= minSilence {
		return false
	}
	longest := time.Duration(0)
	for _, usual := range l.usual {
		longest = max(longest, usual)
	}
	return longest > 0 && quiet > silenceFactor*longest && float64(quiet) > silenceSpread*float64(l.longest)
}

// occupied returns the number of abandoned requests that are taken to be at the target.
// Most targets end the work of a request whose connection closes, so that they only count
// after a refusal has shown that the target is full.
func (l *Limit) occupied(now time.Time) int {
	if l.fullAt.IsZero() || now.Sub(l.fullAt) >= refusalMemory {
		return 0
	}
	l.forgetAbandoned(now)
	return len(l.abandoned)
}

// forgetAbandoned forgets the abandoned requests that are taken to have ended.
func (l *Limit) forgetAbandoned(now time.Time) {
	l.abandoned = slices.DeleteFunc(l.abandoned, func(end time.Time) bool { return !end.After(now) })
}

// possiblyAbandoned returns the number of abandoned requests that may be at the target at
// most. It is larger than the expected number, which a long queue exceeds.
func (l *Limit) possiblyAbandoned(now time.Time) int {
	l.abandonedAt = slices.DeleteFunc(l.abandonedAt, func(at time.Time) bool { return now.Sub(at) >= maxAbandonedTime })
	return len(l.abandonedAt)
}
