package soak

import (
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// faultSettleTime is how long after a fault a lost request does not count.
	faultSettleTime = 3 * time.Second
	// slowTargetDelay is the processing time of a request at a slow target.
	slowTargetDelay = 300 * time.Millisecond
	// linkDelay and storeDelay are added by the Delay and StoreSlow faults.
	linkDelay  = 100 * time.Millisecond
	storeDelay = 400 * time.Millisecond
)

// runSteps runs every step at its time, each in its own goroutine.
func (r *run) runSteps() {
	start := time.Now()
	var steps conc.WaitGroup
	for _, step := range r.plan.Steps {
		if !wait.For(r.ctx, time.Until(start.Add(step.At))) {
			break
		}
		if r.options.Progress != nil {
			r.options.Progress(step.String())
		}
		steps.Go(func() { r.runStep(step) })
	}
	steps.Wait()
}

func (r *run) runStep(step Step) {
	if !slices.Contains(plannedKinds, step.Kind) && !slices.Contains(storeKinds, step.Kind) {
		r.addActiveFaults(1)
		defer r.addActiveFaults(-1)
	}
	m := r.fleet.machines[step.Machine]
	switch step.Kind {
	case Kill:
		m.signal(syscall.SIGKILL, true)
	case KillAll:
		for _, each := range r.fleet.machines {
			each.signal(syscall.SIGKILL, true)
		}
	case Pause:
		m.signal(syscall.SIGSTOP, false)
		wait.For(r.ctx, step.For)
		m.signal(syscall.SIGCONT, false)
	case Stop:
		m.stop(r.ctx)
	case Reload:
		m.signal(syscall.SIGHUP, false)
	case Publish:
		if err := r.publish(); err != nil {
			r.checker.addViolation(VersionLag, "", "publish: %v", err)
		}
	case ReplaceTarget:
		m.replaceTarget(r.ctx)
	case Delay, Reset, OneWayPartition, Blackhole, StorePartition:
		r.injectConnectionFault(m, step)
	case StoreUnavailable, StoreUnresponsive, StoreSlow, StoreDropResponses, StoreTruncate:
		r.injectStoreFault(step)
	default:
		r.injectTargetFault(m, step)
	}
}

func (r *run) injectConnectionFault(m *machine, step Step) {
	switch step.Kind {
	case Delay:
		m.callsProxy.setDelay(linkDelay)
		m.controlProxy.setDelay(linkDelay)
		wait.For(r.ctx, step.For)
		m.callsProxy.setDelay(0)
		m.controlProxy.setDelay(0)
	case Reset:
		m.callsProxy.reset()
		m.controlProxy.reset()
		m.storeProxy.reset()
	case OneWayPartition:
		m.callsProxy.setDropResponses(true)
		m.controlProxy.setDropResponses(true)
		wait.For(r.ctx, step.For)
		m.callsProxy.setDropResponses(false)
		m.controlProxy.setDropResponses(false)
	case Blackhole:
		m.callsProxy.blackhole()
		m.controlProxy.blackhole()
		m.storeProxy.blackhole()
	case StorePartition:
		m.storeProxy.setDropResponses(true)
		wait.For(r.ctx, step.For)
		m.storeProxy.setDropResponses(false)
	}
}

func (r *run) injectStoreFault(step Step) {
	store := r.fleet.store
	if step.Kind == StoreTruncate {
		store.Truncate(metastore.OperatorTopic)
		return
	}
	fault := metastore.Fault{}
	switch step.Kind {
	case StoreUnavailable:
		fault.Status = http.StatusServiceUnavailable
	case StoreUnresponsive:
		fault.Silent = true
	case StoreSlow:
		fault.Delay = storeDelay
	}
	requests := 0
	store.SetFaultFunc(func(string, string) metastore.Fault {
		requests++
		if step.Kind == StoreDropResponses {
			return metastore.Fault{DropResponse: requests%2 == 0}
		}
		return fault
	})
	wait.For(r.ctx, step.For)
	store.SetFaultFunc(nil)
}

func (r *run) injectTargetFault(m *machine, step Step) {
	behaviour := normalBehaviour
	switch step.Kind {
	case TargetDropResponses:
		behaviour.DropResponse = true
	case TargetTruncateResponses:
		behaviour.TruncateResponse = true
	case TargetDuplicateResponses:
		behaviour.DuplicateResponse = true
	case TargetShed:
		behaviour.Shed = true
	case TargetSlow:
		behaviour.Delay = slowTargetDelay
	}
	m.applyBehaviour(r.ctx, behaviour, step.For)
}

// addActiveFaults adjusts the number of active faults when one starts or ends.
func (r *run) addActiveFaults(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults += change
	r.lastFaultChange = time.Now()
}

// faultFreeSince reports whether no fault, other than those of the store alone,
// was active from faultSettleTime before start until now.
func (r *run) faultFreeSince(start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeFaults == 0 && start.Sub(r.lastFaultChange) >= faultSettleTime
}
