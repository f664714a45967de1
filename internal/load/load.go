// Package load generates calls at a constant rate and measures their outcomes and
// latencies.
//
// Arrivals are open-loop: each call starts at its scheduled time whether or not
// earlier calls have ended. Latency counts from the scheduled time, so a stall
// counts for every call that it delays.
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
	// maxLatency is the highest latency recorded; higher ones are recorded as
	// this value.
	maxLatency = 2 * time.Minute
	// significantDigits is the precision of the latency histograms.
	significantDigits = 3
	// DefaultMaxOutstanding is the default limit of concurrent calls.
	DefaultMaxOutstanding = 20_000
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of calls.
const (
	// Answered calls got a complete response with a status below 500.
	Answered Outcome = iota
	// NotRun calls got an error which guarantees that they were not run.
	NotRun
	// Unknown calls got an error, and may or may not have run.
	Unknown
	// Broken calls got no complete response, or a response with status 500 or
	// above.
	Broken
	// Dropped calls were not made because MaxOutstanding calls were in progress.
	Dropped
	outcomeCount
)

// Kind is the kind of a call.
type Kind int

// Kinds of calls.
const (
	// Lookup calls are idempotent.
	Lookup Kind = iota
	// Keyed calls may not be repeated.
	Keyed
	kindCount
)

// Caller makes calls. It must be safe for concurrent use.
type Caller interface {
	// Call makes one call. Numbers count up from 0.
	Call(ctx context.Context, number int) (Kind, Outcome)
}

// Options of a run.
type Options struct {
	Name   string
	Caller Caller
	// Rate is the number of calls a second.
	Rate float64
	// Warmup is how long calls are made before measuring starts.
	Warmup time.Duration
	// Duration is how long calls are measured.
	Duration time.Duration
	// MaxOutstanding limits concurrent calls; 0 means DefaultMaxOutstanding.
	MaxOutstanding int
}

func (o Options) validate() error {
	switch {
	case o.Caller == nil:
		return errors.New("load: no Caller set in the options")
	case o.Rate <= 0:
		return fmt.Errorf("load: rate must be positive, got %g", o.Rate)
	case o.Duration <= 0:
		return fmt.Errorf("load: duration must be positive, got %s", o.Duration)
	default:
		return nil
	}
}

// Run makes calls until the duration has elapsed or ctx ends, waits for those in
// progress and returns the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	if options.MaxOutstanding <= 0 {
		options.MaxOutstanding = DefaultMaxOutstanding
	}
	run := &run{options: options, recorder: newRecorder(), slots: make(chan struct{}, options.MaxOutstanding)}
	start := time.Now()
	run.schedule(ctx, start)
	measuredTime := min(time.Since(start)-options.Warmup, options.Duration)
	run.tasks.Wait()
	return run.recorder.result(options, measuredTime), nil
}

// run is one run in progress.
type run struct {
	options  Options
	recorder *recorder
	slots    chan struct{}
	tasks    conc.WaitGroup
}

// schedule starts each call at its scheduled time. It returns when the duration
// has elapsed or ctx ends.
func (r *run) schedule(ctx context.Context, start time.Time) {
	interval := float64(time.Second) / r.options.Rate
	total := r.options.Warmup + r.options.Duration
	timer := time.NewTimer(0)
	defer timer.Stop()
	for number := 0; ; number++ {
		after := time.Duration(float64(number) * interval)
		if after >= total {
			sleepUntil(ctx, timer, start.Add(total))
			return
		}
		scheduled := start.Add(after)
		if !sleepUntil(ctx, timer, scheduled) {
			return
		}
		r.startCall(ctx, number, scheduled, after >= r.options.Warmup)
	}
}

// sleepUntil returns false if ctx ends first.
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

func (r *run) startCall(ctx context.Context, number int, scheduled time.Time, measured bool) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.add(Lookup, Dropped, 0, measured)
		return
	}
	r.tasks.Go(func() {
		defer func() { <-r.slots }()
		kind, outcome := r.options.Caller.Call(ctx, number)
		r.recorder.add(kind, outcome, time.Since(scheduled), measured)
	})
}

// recorder collects outcomes and latencies.
type recorder struct {
	mu     sync.Mutex
	counts [kindCount][outcomeCount]int64
	// answered holds the latencies of answered calls in ns.
	answered [kindCount]*hdrhistogram.Histogram
}

func newRecorder() *recorder {
	r := &recorder{}
	for kind := range r.answered {
		r.answered[kind] = hdrhistogram.New(1, int64(maxLatency), significantDigits)
	}
	return r
}

func (r *recorder) add(kind Kind, outcome Outcome, latency time.Duration, measured bool) {
	if !measured {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind][outcome]++
	if outcome == Answered {
		_ = r.answered[kind].RecordValue(int64(min(latency, maxLatency)))
	}
}
