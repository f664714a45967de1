package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/examples"
	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/inprocess"
	"github.com/mulberrybank/mulberrybank/internal/publish"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
	"github.com/mulberrybank/mulberrybank/internal/standin/target"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	lookupCount = 40
	orderCount  = 8
	workspace   = "railway"
	// callPause is the pause between two calls of the background load.
	callPause = 2 * time.Millisecond
	// drainDuration is how long calls continue after a target starts draining.
	drainDuration = time.Second
	// outageTimeout bounds a publication that is expected to fail.
	outageTimeout = 2 * time.Second
)

// runner runs the scenarios on a mesh.
type runner struct {
	mesh    *inprocess.Mesh
	out     io.Writer
	current *publish.Source
	version uint64
}

func newRunner(mesh *inprocess.Mesh, out io.Writer) *runner { return &runner{mesh: mesh, out: out} }

func (r *runner) printf(format string, values ...any) {
	fmt.Fprintf(r.out, "  "+format+"\n", values...)
}

// publish publishes the changes from the current source through one daemon.
func (r *runner) publish(ctx context.Context, index int, next *publish.Source, author string) (*admin.Verdict, error) {
	return r.mesh.Publish(ctx, index, inprocess.PublishRequest{
		Author:  author,
		Base:    r.version,
		Current: r.current,
		Next:    next,
	})
}

// firstPublication publishes the first version and waits until it is active.
func (r *runner) firstPublication(ctx context.Context) error {
	next, err := examples.Load(workspace)
	if err != nil {
		return err
	}
	start := time.Now()
	verdict, err := r.publish(ctx, 0, next, "depot-supervisor")
	if err != nil {
		return err
	}
	r.printf("%s as version %d after %s", verdict.Outcome, verdict.Version, elapsed(start))
	if err := r.mesh.AwaitOffset(ctx, verdict.Version); err != nil {
		return err
	}
	r.printf("in force on all %d daemons after %s", len(r.mesh.Hosts), elapsed(start))
	r.current, r.version = next, verdict.Version
	return r.mesh.AwaitReadyTargets(ctx)
}

// calls makes lookups through every daemon, and work orders, which may not be
// repeated, twice each.
func (r *runner) calls(ctx context.Context) error {
	for i := range lookupCount {
		response, err := r.mesh.Call(ctx, i, "/railway/status/heaters/17", "")
		if err != nil {
			return err
		}
		if response.Failed() {
			return fmt.Errorf("lookup %d: %s", i, response)
		}
	}
	r.printf("%d look-ups through %d daemons were answered", lookupCount, len(r.mesh.Hosts))
	if err := r.mesh.AwaitKeyedCalls(ctx); err != nil {
		return err
	}
	ran := 0
	for i := range orderCount {
		key := uuid.Must(uuid.NewV7()).String()
		for attempt := range 2 {
			response, err := r.mesh.Call(ctx, i+attempt, "/railway/work-order/heater-17", key)
			if err != nil {
				return err
			}
			if response.Failed() {
				return fmt.Errorf("work order %d: %s", i, response)
			}
		}
		ran += r.mesh.RunCount(key)
	}
	r.printf("%d work orders, each sent twice through different daemons, ran %d times", orderCount, ran)
	if ran != orderCount {
		return fmt.Errorf("%d work orders ran %d times", orderCount, ran)
	}
	return nil
}

// concurrentPublications has two operators publish from the same base through two
// daemons.
func (r *runner) concurrentPublications(ctx context.Context) error {
	next := r.current.Clone()
	next.Parameters["slots"] = "24"
	var verdicts [2]*admin.Verdict
	var failures [2]error
	var operators conc.WaitGroup
	for i, author := range []string{"inspector-yaa", "inspector-kofi"} {
		operators.Go(func() { verdicts[i], failures[i] = r.publish(ctx, 2*i, next, author) })
	}
	operators.Wait()
	if err := errors.Join(failures[:]...); err != nil {
		return err
	}
	accepted := 0
	for _, verdict := range verdicts {
		if verdict.Outcome == publish.Accepted.String() {
			accepted++
			r.current, r.version = next, verdict.Version
			r.printf("accepted: version %d", verdict.Version)
			continue
		}
		r.printf("%s: version %d by %s came first", verdict.Outcome, verdict.ConflictVersion, verdict.ConflictAuthor)
	}
	if accepted != 1 {
		return fmt.Errorf("%d of 2 concurrent publications were accepted, want 1", accepted)
	}
	return r.mesh.AwaitOffset(ctx, r.version)
}

// invalidVersion publishes a route whose service does not exist.
func (r *runner) invalidVersion(ctx context.Context) error {
	next := r.current.Clone()
	next.Templates["extra.tmpl"] = `{"routes": [{"name": "depots", "service": "depot-register", "idempotent": true}]}`
	verdict, err := r.publish(ctx, 1, next, "inspector-yaa")
	if err != nil {
		return err
	}
	r.printf("%s", verdict.Outcome)
	for _, problem := range verdict.Problems {
		r.printf("  %s: %s", problem.Place, problem.Reason)
	}
	if verdict.Outcome != publish.Refused.String() {
		return fmt.Errorf("the publication of an invalid version was %s", verdict.Outcome)
	}
	return nil
}

// drain drains one of the two targets of a service while calls continue.
func (r *runner) drain(ctx context.Context) error {
	draining := r.mesh.Hosts[0]
	var total, failed atomic.Int64
	load, cancel := context.WithCancel(ctx)
	var callers conc.WaitGroup
	callers.Go(func() {
		for i := 0; load.Err() == nil; i++ {
			response, err := r.mesh.Call(ctx, i, "/railway/status/heaters/17", "")
			total.Add(1)
			if err != nil || response.Failed() {
				failed.Add(1)
			}
			wait.For(load, callPause)
		}
	})
	before := len(draining.Target.Runs())
	err := draining.Target.SetBehaviour(target.Behaviour{State: target.StateDraining})
	wait.For(ctx, drainDuration)
	cancel()
	callers.Wait()
	if err != nil {
		return err
	}
	after := len(draining.Target.Runs())
	r.printf("%d calls, %d failed; the draining target took %d of them", total.Load(), failed.Load(), after-before)
	if failed.Load() > 0 {
		return fmt.Errorf("%d calls failed while a target was draining", failed.Load())
	}
	return draining.Target.SetBehaviour(target.Behaviour{State: target.StateReady})
}

// platformOutage makes the platform refuse requests, restarts a daemon and makes
// a call through it.
func (r *runner) platformOutage(ctx context.Context) error {
	r.mesh.Log.SetFaults(logservice.Faults{Refuse: true})
	defer r.mesh.Log.SetFaults(logservice.Faults{})
	next := r.current.Clone()
	next.Parameters["slots"] = "30"
	short, cancel := context.WithTimeout(ctx, outageTimeout)
	_, err := r.publish(short, 0, next, "depot-supervisor")
	cancel()
	if err == nil {
		return errors.New("a publication succeeded during the platform outage")
	}
	r.printf("a publication fails: %v", err)
	if err := r.mesh.Restart(ctx, 3); err != nil {
		return err
	}
	if err := r.mesh.AwaitOffset(ctx, r.version); err != nil {
		return err
	}
	r.printf("%s restarted and has version %d from its peers", r.mesh.Hosts[3].Spec.Host, r.version)
	if err := r.mesh.AwaitReadyTargets(ctx); err != nil {
		return err
	}
	response, err := r.mesh.Call(ctx, 3, "/railway/status/heaters/17", "")
	if err != nil {
		return err
	}
	r.printf("a look-up through it: %s", response)
	if response.Failed() {
		return errors.New("the lookup through the restarted daemon failed")
	}
	return nil
}

func elapsed(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }
