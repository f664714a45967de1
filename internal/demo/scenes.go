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
	lookUps   = 40
	orders    = 8
	workspace = "railway"
	// loadPause is the time between two calls of the load in the background.
	loadPause = 2 * time.Millisecond
	// drainLoad is how long calls go on after a target began to drain.
	drainLoad = time.Second
	// outageTimeout bounds a publication that cannot succeed.
	outageTimeout = 2 * time.Second
)

// show plays scenes on a mesh.
type show struct {
	mesh    *inprocess.Mesh
	out     io.Writer
	current *publish.Source
	version uint64
}

func newShow(mesh *inprocess.Mesh, out io.Writer) *show { return &show{mesh: mesh, out: out} }

func (s *show) say(format string, values ...any) {
	fmt.Fprintf(s.out, "  "+format+"\n", values...)
}

// publish sends the changes from the current source through one daemon.
func (s *show) publish(ctx context.Context, index int, next *publish.Source, author string) (*admin.Verdict, error) {
	return s.mesh.Publish(ctx, index, inprocess.Edition{
		Author:  author,
		Base:    s.version,
		Current: s.current,
		Next:    next,
	})
}

// publication publishes the first version and waits until it is in force.
func (s *show) publication(ctx context.Context) error {
	next, err := examples.Load(workspace)
	if err != nil {
		return err
	}
	began := time.Now()
	verdict, err := s.publish(ctx, 0, next, "depot-supervisor")
	if err != nil {
		return err
	}
	s.say("%s as version %d after %s", verdict.Outcome, verdict.Version, since(began))
	if err := s.mesh.AwaitOffset(ctx, verdict.Version); err != nil {
		return err
	}
	s.say("in force on all %d daemons after %s", len(s.mesh.Hosts), since(began))
	s.current, s.version = next, verdict.Version
	return s.mesh.AwaitTargets(ctx)
}

// calls makes look-ups through every daemon and work orders that may not be
// repeated, each sent twice.
func (s *show) calls(ctx context.Context) error {
	for i := range lookUps {
		answer, err := s.mesh.Call(ctx, i, "/railway/status/heaters/17", "")
		if err != nil {
			return err
		}
		if answer.Failed() {
			return fmt.Errorf("look-up %d: %s", i, answer)
		}
	}
	s.say("%d look-ups through %d daemons were answered", lookUps, len(s.mesh.Hosts))
	if err := s.mesh.AwaitKeys(ctx); err != nil {
		return err
	}
	ran := 0
	for i := range orders {
		key := uuid.Must(uuid.NewV7()).String()
		for attempt := range 2 {
			answer, err := s.mesh.Call(ctx, i+attempt, "/railway/work-order/heater-17", key)
			if err != nil {
				return err
			}
			if answer.Failed() {
				return fmt.Errorf("work order %d: %s", i, answer)
			}
		}
		ran += s.mesh.Runs(key)
	}
	s.say("%d work orders, each sent twice through different daemons, ran %d times", orders, ran)
	if ran != orders {
		return fmt.Errorf("%d work orders ran %d times", orders, ran)
	}
	return nil
}

// race lets two operators publish from the same base through two daemons.
func (s *show) race(ctx context.Context) error {
	next := s.current.Clone()
	next.Parameters["slots"] = "24"
	var verdicts [2]*admin.Verdict
	var failures [2]error
	var operators conc.WaitGroup
	for i, author := range []string{"inspector-yaa", "inspector-kofi"} {
		operators.Go(func() { verdicts[i], failures[i] = s.publish(ctx, 2*i, next, author) })
	}
	operators.Wait()
	if err := errors.Join(failures[:]...); err != nil {
		return err
	}
	accepted := 0
	for _, verdict := range verdicts {
		if verdict.Outcome == publish.Accepted.String() {
			accepted++
			s.current, s.version = next, verdict.Version
			s.say("accepted: version %d", verdict.Version)
			continue
		}
		s.say("%s: version %d by %s came first", verdict.Outcome, verdict.ConflictVersion, verdict.ConflictAuthor)
	}
	if accepted != 1 {
		return fmt.Errorf("%d of 2 publications were accepted", accepted)
	}
	return s.mesh.AwaitOffset(ctx, s.version)
}

// badVersion publishes a route without its service.
func (s *show) badVersion(ctx context.Context) error {
	next := s.current.Clone()
	next.Templates["extra.tmpl"] = `{"routes": [{"name": "depots", "service": "depot-register", "idempotent": true}]}`
	verdict, err := s.publish(ctx, 1, next, "inspector-yaa")
	if err != nil {
		return err
	}
	s.say("%s", verdict.Outcome)
	for _, problem := range verdict.Problems {
		s.say("  %s: %s", problem.Place, problem.Reason)
	}
	if verdict.Outcome != publish.Refused.String() {
		return fmt.Errorf("a bad version was %s", verdict.Outcome)
	}
	return nil
}

// drain drains one of the two targets of a service while calls go on.
func (s *show) drain(ctx context.Context) error {
	leaving := s.mesh.Hosts[0]
	var made, failed atomic.Int64
	load, cancel := context.WithCancel(ctx)
	var callers conc.WaitGroup
	callers.Go(func() {
		for i := 0; load.Err() == nil; i++ {
			answer, err := s.mesh.Call(ctx, i, "/railway/status/heaters/17", "")
			made.Add(1)
			if err != nil || answer.Failed() {
				failed.Add(1)
			}
			wait.For(load, loadPause)
		}
	})
	before := len(leaving.Target.Runs())
	err := leaving.Target.SetBehaviour(target.Behaviour{State: target.StateDraining})
	wait.For(ctx, drainLoad)
	cancel()
	callers.Wait()
	if err != nil {
		return err
	}
	after := len(leaving.Target.Runs())
	s.say("%d calls, %d failed; the draining target took %d of them", made.Load(), failed.Load(), after-before)
	if failed.Load() > 0 {
		return fmt.Errorf("%d calls failed", failed.Load())
	}
	return leaving.Target.SetBehaviour(target.Behaviour{State: target.StateReady})
}

// outage takes the platform away, restarts a daemon and calls through it.
func (s *show) outage(ctx context.Context) error {
	s.mesh.Log.SetFaults(logservice.Faults{Refuse: true})
	defer s.mesh.Log.SetFaults(logservice.Faults{})
	next := s.current.Clone()
	next.Parameters["slots"] = "30"
	short, cancel := context.WithTimeout(ctx, outageTimeout)
	_, err := s.publish(short, 0, next, "depot-supervisor")
	cancel()
	if err == nil {
		return errors.New("a publication succeeded without the platform")
	}
	s.say("a publication fails: %v", err)
	if err := s.mesh.Restart(ctx, 3); err != nil {
		return err
	}
	if err := s.mesh.AwaitOffset(ctx, s.version); err != nil {
		return err
	}
	s.say("%s restarted and has version %d from its peers", s.mesh.Hosts[3].Place.Host, s.version)
	if err := s.mesh.AwaitTargets(ctx); err != nil {
		return err
	}
	answer, err := s.mesh.Call(ctx, 3, "/railway/status/heaters/17", "")
	if err != nil {
		return err
	}
	s.say("a look-up through it: %s", answer)
	if answer.Failed() {
		return errors.New("the look-up failed")
	}
	return nil
}

func since(began time.Time) time.Duration { return time.Since(began).Round(time.Millisecond) }
