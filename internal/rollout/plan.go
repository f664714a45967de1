package rollout

import "time"

// Step is a stage of a rollout.
type Step int

// Steps of a rollout, in order.
const (
	// Waiting rollouts have no target of the new version yet.
	Waiting Step = iota
	// Canary sends half of the canary share to the new version.
	Canary
	// Ramp shows the new version under a higher load for a short time.
	Ramp
	// All sends all calls to the new version.
	All
	// Held rollouts have used their exposure budget without a decision.
	Held
)

func (s Step) String() string {
	return [...]string{"waiting", "canary", "ramp", "all", "held"}[s]
}

const (
	// completionLead is how long before the deadline the status shall be recorded.
	completionLead = 1750 * time.Millisecond
	// allTime is the time for the step All: 0.3 s until all daemons know of it, about
	// 0.7 s for calls in progress and slow answers, 0.4 s until all have reported, and
	// the write.
	allTime = 1500 * time.Millisecond
	// rampTime is the duration of the step Ramp.
	rampTime = 600 * time.Millisecond
	// maxRampShare limits the share of the step Ramp, rampBudget its part of the
	// exposure budget.
	maxRampShare = 0.3
	rampBudget   = 0.25
	// shortOrder is the duration below which the steps are shortened in proportion.
	shortOrder = 10 * time.Second
)

// Plan says at which time of an order each step begins. It is made backwards from the
// deadline.
type Plan struct {
	canaryShare float64
	rampShare   float64
	ramp, all   time.Duration
}

// NewPlan returns the plan of an order. The bad answers of a version that is found to be
// bad in the step All come on top of those of the steps before: until it is found, it
// may use what these leave of canaryShare x duration.
func NewPlan(duration time.Duration, canaryShare float64) Plan {
	scale := min(1, float64(duration)/float64(shortOrder))
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	all := duration - scaled(completionLead+allTime)
	budget := canaryShare * duration.Seconds()
	return Plan{
		canaryShare: canaryShare / 2,
		rampShare:   max(canaryShare/2, min(maxRampShare, rampBudget*budget/scaled(rampTime).Seconds())),
		ramp:        all - scaled(rampTime),
		all:         all,
	}
}

// Exposure returns the time during which all calls would have given the new version as
// many as the plan does until a time after the order.
func (p Plan) Exposure(elapsed time.Duration) time.Duration {
	canary := min(elapsed, p.ramp)
	ramp := min(max(elapsed-p.ramp, 0), p.all-p.ramp)
	all := max(elapsed-p.all, 0)
	return time.Duration(p.canaryShare*float64(canary)+p.rampShare*float64(ramp)) + all
}

// At returns the step and the share of the new version at a time after the order.
func (p Plan) At(elapsed time.Duration) (Step, float64) {
	switch {
	case elapsed >= p.all:
		return All, 1
	case elapsed >= p.ramp:
		return Ramp, p.rampShare
	default:
		return Canary, p.canaryShare
	}
}
