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
	h := r.fleet.hosts[step.Machine]
	switch step.Kind {
	case Kill:
		h.signal(syscall.SIGKILL, true)
	case KillAll:
		for _, each := range r.fleet.hosts {
			each.signal(syscall.SIGKILL, true)
		}
	case Pause:
		h.signal(syscall.SIGSTOP, false)
		wait.For(r.ctx, step.For)
		h.signal(syscall.SIGCONT, false)
	case Stop:
		h.stop(r.ctx)
	case Reload:
		h.signal(syscall.SIGHUP, false)
	case Publish:
		if err := r.publish(); err != nil {
			r.checker.addViolation(VersionLag, "", "publish: %v", err)
		}
	case ReplaceTarget:
		h.replaceTarget(r.ctx)
	case Delay, Reset, OneWayPartition, Blackhole, StorePartition:
		r.injectConnectionFault(h, step)
	case StoreUnavailable, StoreUnresponsive, StoreSlow, StoreDropResponses, StoreTruncate:
		r.injectStoreFault(step)
	default:
		r.injectTargetFault(h, step)
	}
}

func (r *run) injectConnectionFault(h *host, step Step) {
	switch step.Kind {
	case Delay:
		h.callsProxy.setDelay(linkDelay)
		h.controlProxy.setDelay(linkDelay)
		wait.For(r.ctx, step.For)
		h.callsProxy.setDelay(0)
		h.controlProxy.setDelay(0)
	case Reset:
		h.callsProxy.reset()
		h.controlProxy.reset()
		h.storeProxy.reset()
	case OneWayPartition:
		h.callsProxy.setDropResponses(true)
		h.controlProxy.setDropResponses(true)
		wait.For(r.ctx, step.For)
		h.callsProxy.setDropResponses(false)
		h.controlProxy.setDropResponses(false)
	case Blackhole:
		h.callsProxy.blackhole()
		h.controlProxy.blackhole()
		h.storeProxy.blackhole()
	case StorePartition:
		h.storeProxy.setDropResponses(true)
		wait.For(r.ctx, step.For)
		h.storeProxy.setDropResponses(false)
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

func (r *run) injectTargetFault(h *host, step Step) {
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
	h.applyBehaviour(r.ctx, behaviour, step.For)
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
