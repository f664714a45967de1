package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a step: a fault or a planned operation.
type Kind string

// Kinds of steps.
const (
	// Kill kills a daemon with SIGKILL and restarts it.
	Kill Kind = "kill"
	// KillAll kills all daemons at once with SIGKILL and restarts them.
	KillAll Kind = "kill-all"
	// Pause suspends a daemon with SIGSTOP and resumes it with SIGCONT.
	Pause Kind = "pause"
	// Stop stops a daemon with SIGTERM and restarts it.
	Stop Kind = "stop"
	// Reload sends SIGHUP to a daemon.
	Reload Kind = "reload"
	// Delay delays traffic on the connections from other daemons to a daemon.
	Delay Kind = "delay"
	// Reset resets the open connections of a daemon to the store and those from
	// other daemons.
	Reset Kind = "reset"
	// OneWayPartition drops what a daemon sends on connections that other daemons
	// opened.
	OneWayPartition Kind = "one-way"
	// Blackhole drops all traffic on the open connections of a daemon to the store
	// and on those from other daemons; new connections work.
	Blackhole Kind = "silence"
	// StorePartition drops the store's responses to one daemon.
	StorePartition Kind = "store-cut"
	// StoreUnavailable makes the store respond to every call with status 503.
	StoreUnavailable Kind = "store-down"
	// StoreUnresponsive makes the store respond to no call.
	StoreUnresponsive Kind = "store-silent"
	// StoreSlow delays the store's responses.
	StoreSlow Kind = "store-slow"
	// StoreDropResponses executes every call to the store but drops every second
	// response.
	StoreDropResponses Kind = "store-loses"
	// StoreTruncate deletes the history of the configuration topic.
	StoreTruncate Kind = "store-forgets"
	// ReplaceTarget drains a target, deregisters it and starts another in its place.
	ReplaceTarget Kind = "replace"
	// TargetDropResponses makes a target run requests without responding.
	TargetDropResponses Kind = "grey"
	// TargetTruncateResponses makes a target truncate its responses.
	TargetTruncateResponses Kind = "cut"
	// TargetDuplicateResponses makes a target send each response twice.
	TargetDuplicateResponses Kind = "extra"
	// TargetShed makes a target shed requests.
	TargetShed Kind = "shed"
	// TargetSlow increases the processing time of a target.
	TargetSlow Kind = "slow"
	// Publish writes a new version of the configuration.
	Publish Kind = "publish"
)

// plannedKinds are planned operations, which must not fail any request.
var plannedKinds = []Kind{Stop, Reload, ReplaceTarget, Publish}

// storeKinds are faults of the store alone.
var storeKinds = []Kind{StorePartition, StoreUnavailable, StoreUnresponsive, StoreSlow, StoreDropResponses, StoreTruncate}

// allKinds are the kinds that a plan draws from; repeated entries are drawn more
// often.
var allKinds = []Kind{
	Kill, Kill, KillAll, Pause, Pause, Stop, Stop, Reload, Delay, Reset, Reset, OneWayPartition, Blackhole,
	StorePartition, StoreUnavailable, StoreUnresponsive, StoreSlow, StoreDropResponses, StoreTruncate,
	ReplaceTarget, ReplaceTarget, TargetDropResponses, TargetTruncateResponses, TargetDuplicateResponses, TargetShed, TargetSlow, Publish, Publish, Publish,
}

// ParseKinds returns the kinds with the given names.
func ParseKinds(names []string) ([]Kind, error) {
	var kinds []Kind
	for _, name := range names {
		kind := Kind(name)
		if !slices.Contains(allKinds, kind) {
			return nil, fmt.Errorf("%q is not one of %s", name, slices.Compact(slices.Clone(allKinds)))
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// Step is one fault or one planned operation.
type Step struct {
	// At is the time since the start of the run.
	At   time.Duration
	Kind Kind
	// Machine is the index of the affected host. The JSON report contains the field
	// under this name.
	Machine int
	// For is how long the step lasts.
	For time.Duration
}

func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %s on machine %d for %s", s.At.Seconds(), s.Kind, s.Machine, s.For.Round(time.Millisecond))
}

// Plan is the schedule of steps of one run.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Steps  []Step
}

const (
	// stepsPerSecond does not count the follow-up steps.
	stepsPerSecond = 1.2
	// followUpProbability is the probability that a second step on the same host
	// follows a step.
	followUpProbability = 0.3
	// followUpDelay is the time between a step and its follow-up.
	followUpDelay = 400 * time.Millisecond
	// minStepDuration and maxStepDuration bound how long a step lasts.
	minStepDuration = 300 * time.Millisecond
	maxStepDuration = 3 * time.Second
)

// NewPlan generates the plan of a seed from the given kinds of steps, or from all
// kinds if none are given. Steps may overlap, and some have a follow-up.
func NewPlan(seed uint64, length time.Duration, hosts int, kinds ...Kind) Plan {
	if len(kinds) == 0 {
		kinds = allKinds
	}
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Length: length}
	for range int(stepsPerSecond * length.Seconds()) {
		step := Step{
			At:      time.Duration(random.Int64N(int64(length))),
			Kind:    kinds[random.IntN(len(kinds))],
			Machine: random.IntN(hosts),
			For:     minStepDuration + time.Duration(random.Int64N(int64(maxStepDuration-minStepDuration))),
		}
		plan.Steps = append(plan.Steps, step)
		if random.Float64() < followUpProbability {
			step.At += followUpDelay
			step.Kind = kinds[random.IntN(len(kinds))]
			plan.Steps = append(plan.Steps, step)
		}
	}
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}
