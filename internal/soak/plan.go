package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step of a plan does.
type Kind string

// Kinds of steps.
const (
	// Kill ends a daemon with SIGKILL and starts it again.
	Kill Kind = "kill"
	// KillAll does so with all daemons at once.
	KillAll Kind = "kill-all"
	// Pause stops a daemon with SIGSTOP for a time.
	Pause Kind = "pause"
	// Stop ends a daemon with SIGTERM and starts it again.
	Stop Kind = "stop"
	// Reload sends SIGHUP to a daemon.
	Reload Kind = "reload"
	// Delay delays what passes the connections to a daemon.
	Delay Kind = "delay"
	// Reset resets the open connections to a daemon.
	Reset Kind = "reset"
	// OneWay loses what a daemon answers to other daemons.
	OneWay Kind = "one-way"
	// Silence loses all bytes on the open connections to a daemon; new ones work.
	Silence Kind = "silence"
	// StoreCut silences the store for one daemon.
	StoreCut Kind = "store-cut"
	// StoreDown makes the store refuse all calls.
	StoreDown Kind = "store-down"
	// StoreSilent makes the store answer nothing.
	StoreSilent Kind = "store-silent"
	// StoreSlow delays the store's answers.
	StoreSlow Kind = "store-slow"
	// StoreLoses loses every second answer of the store after the call was done.
	StoreLoses Kind = "store-loses"
	// StoreForgets drops the history of the configuration.
	StoreForgets Kind = "store-forgets"
	// Replace has a target leave in order and another start in its place.
	Replace Kind = "replace"
	// Grey makes a target lose the answers of its requests.
	Grey Kind = "grey"
	// Cut makes a target cut its answers.
	Cut Kind = "cut"
	// Extra makes a target answer twice.
	Extra Kind = "extra"
	// Shed makes a target turn requests away.
	Shed Kind = "shed"
	// Slow makes a target slow.
	Slow Kind = "slow"
	// Publish writes a new version of the configuration.
	Publish Kind = "publish"
)

// planned are the kinds that must not cost any request.
var planned = []Kind{Stop, Reload, Replace, Publish}

// storeKinds concern the store alone.
var storeKinds = []Kind{StoreCut, StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets}

// allKinds are the kinds that a plan draws from, frequent ones more than once.
var allKinds = []Kind{
	Kill, Kill, KillAll, Pause, Pause, Stop, Stop, Reload, Delay, Reset, Reset, OneWay, Silence,
	StoreCut, StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets,
	Replace, Replace, Grey, Cut, Extra, Shed, Slow, Publish, Publish, Publish,
}

// Step is one fault or one piece of planned work.
type Step struct {
	// At is the time since the beginning.
	At   time.Duration
	Kind Kind
	// Machine is the index of the machine concerned.
	Machine int
	// For is how long it lasts.
	For time.Duration
}

// String says what a step does.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %s on machine %d for %s", s.At.Seconds(), s.Kind, s.Machine, s.For.Round(time.Millisecond))
}

// Plan is what one run plays.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Steps  []Step
}

const (
	// stepsPerSecond is how many steps a plan holds for each second.
	stepsPerSecond = 1.2
	// seriesShare is the share of steps that come as a series on one machine.
	seriesShare = 0.3
	// seriesGap is the time between the steps of a series.
	seriesGap = 400 * time.Millisecond
	// minStep and maxStep bound how long a step lasts.
	minStep = 300 * time.Millisecond
	maxStep = 3 * time.Second
)

// NewPlan draws the plan of a seed from kinds of steps, all when there are none.
// Steps overlap, and some come in series.
func NewPlan(seed uint64, length time.Duration, machines int, kinds ...Kind) Plan {
	if len(kinds) == 0 {
		kinds = allKinds
	}
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Length: length}
	for range int(stepsPerSecond * length.Seconds()) {
		step := Step{
			At:      time.Duration(random.Int64N(int64(length))),
			Kind:    kinds[random.IntN(len(kinds))],
			Machine: random.IntN(machines),
			For:     minStep + time.Duration(random.Int64N(int64(maxStep-minStep))),
		}
		plan.Steps = append(plan.Steps, step)
		if random.Float64() < seriesShare {
			step.At += seriesGap
			step.Kind = kinds[random.IntN(len(kinds))]
			plan.Steps = append(plan.Steps, step)
		}
	}
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}
