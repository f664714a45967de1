// Package load makes calls at a constant rate and measures how they fare.
//
// Arrivals are open-loop: a call starts at its time whether or not earlier
// ones have ended, and its latency counts from that time, so that a stall is
// counted for every call that it delays.
package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

const (
	// maxLatency is the highest latency that is told apart.
	maxLatency = 2 * time.Minute
	// significantDigits is the precision of recorded latencies.
	significantDigits = 3
	// DefaultMaxOutstanding bounds the calls in progress.
	DefaultMaxOutstanding = 20_000
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of calls.
const (
	// Answered calls got a whole answer with a status below 500.
	Answered Outcome = iota
	// NotRun calls got an error that says that they were not run.
	NotRun
	// Unknown calls got an error that leaves open whether they were run.
	Unknown
	// Broken calls got no whole answer, or an error of the target.
	Broken
	// Dropped calls were not made because too many were in progress.
	Dropped
	endings
)

// Kind is the kind of a call.
type Kind int

// Kinds of calls.
const (
	// Lookup calls are idempotent.
	Lookup Kind = iota
	// Keyed calls may not be repeated.
	Keyed
	kinds
)

// Caller makes calls. It must be safe for concurrent use.
type Caller interface {
	// Call makes the call with a number, which grows from 0.
	Call(ctx context.Context, number int) (Kind, Outcome)
}

// Options of a run.
type Options struct {
	Name   string
	Caller Caller
	// Rate is the number of calls a second.
	Rate float64
	// Warmup is how long calls are made before they count.
	Warmup time.Duration
	// Duration is how long calls that count are made.
	Duration time.Duration
	// MaxOutstanding bounds the calls in progress; 0 means the default.
	MaxOutstanding int
}

func (o Options) validate() error {
	switch {
	case o.Caller == nil:
		return errors.New("load: no caller")
	case o.Rate <= 0:
		return fmt.Errorf("load: rate %g is not above 0", o.Rate)
	case o.Duration <= 0:
		return fmt.Errorf("load: duration %s is not above 0", o.Duration)
	default:
		return nil
	}
}

// Run makes calls until the duration is over or ctx ends, waits for those in
// progress and returns what came of them.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	if options.MaxOutstanding <= 0 {
		options.MaxOutstanding = DefaultMaxOutstanding
	}
	run := &run{options: options, recorder: newRecorder(), slots: make(chan struct{}, options.MaxOutstanding)}
	begin := time.Now()
	run.schedule(ctx, begin)
	counted := min(time.Since(begin)-options.Warmup, options.Duration)
	run.tasks.Wait()
	return run.recorder.result(options, counted), nil
}

// run is one run in progress.
type run struct {
	options  Options
	recorder *recorder
	slots    chan struct{}
	tasks    conc.WaitGroup
}

// schedule starts each call at its time and returns when the time is over.
func (r *run) schedule(ctx context.Context, begin time.Time) {
	interval := float64(time.Second) / r.options.Rate
	total := r.options.Warmup + r.options.Duration
	timer := time.NewTimer(0)
	defer timer.Stop()
	for number := 0; ; number++ {
		after := time.Duration(float64(number) * interval)
		if after >= total {
			sleepUntil(ctx, timer, begin.Add(total))
			return
		}
		intended := begin.Add(after)
		if !sleepUntil(ctx, timer, intended) {
			return
		}
		r.start(ctx, number, intended, after >= r.options.Warmup)
	}
}

// sleepUntil reports whether the time came before ctx ended.
func sleepUntil(ctx context.Context, timer *time.Timer, when time.Time) bool {
	wait := time.Until(when)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) start(ctx context.Context, number int, intended time.Time, counts bool) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.add(Lookup, Dropped, 0, counts)
		return
	}
	r.tasks.Go(func() {
		defer func() { <-r.slots }()
		kind, ending := r.options.Caller.Call(ctx, number)
		r.recorder.add(kind, ending, time.Since(intended), counts)
	})
}

// recorder collects what came of calls.
type recorder struct {
	mu     sync.Mutex
	counts [kinds][endings]int64
	// answered holds the latencies of answered calls in nanoseconds.
	answered [kinds]*hdrhistogram.Histogram
}

func newRecorder() *recorder {
	r := &recorder{}
	for kind := range r.answered {
		r.answered[kind] = hdrhistogram.New(1, int64(maxLatency), significantDigits)
	}
	return r
}

func (r *recorder) add(kind Kind, ending Outcome, latency time.Duration, counts bool) {
	if !counts {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind][ending]++
	if ending == Answered {
		_ = r.answered[kind].RecordValue(int64(min(latency, maxLatency)))
	}
}
