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
	// calmTime is how long after an unplanned fault a lost request is not counted.
	calmTime = 3 * time.Second
	// slowWork is how long a slow target works on a request.
	slowWork = 300 * time.Millisecond
	// linkDelay and storeDelay are added to what passes a slow link or store.
	linkDelay  = 100 * time.Millisecond
	storeDelay = 400 * time.Millisecond
)

// playSteps plays all steps at their times, each as a task.
func (r *run) playSteps() {
	began := time.Now()
	var steps conc.WaitGroup
	for _, step := range r.plan.Steps {
		if !wait.For(r.ctx, time.Until(began.Add(step.At))) {
			break
		}
		if r.options.Progress != nil {
			r.options.Progress(step.String())
		}
		steps.Go(func() { r.playStep(step) })
	}
	steps.Wait()
}

func (r *run) playStep(step Step) {
	if !slices.Contains(planned, step.Kind) && !slices.Contains(storeKinds, step.Kind) {
		r.noteHarm(1)
		defer r.noteHarm(-1)
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
			r.book.violate(Behind, "", "publish: %v", err)
		}
	case Replace:
		m.replace(r.ctx)
	case Delay, Reset, OneWay, Silence, StoreCut:
		r.harmLinks(m, step)
	case StoreDown, StoreSilent, StoreSlow, StoreLoses, StoreForgets:
		r.harmStore(step)
	default:
		r.harmTarget(m, step)
	}
}

func (r *run) harmLinks(m *machine, step Step) {
	switch step.Kind {
	case Delay:
		m.calls.setDelay(linkDelay)
		m.control.setDelay(linkDelay)
		wait.For(r.ctx, step.For)
		m.calls.setDelay(0)
		m.control.setDelay(0)
	case Reset:
		m.calls.reset()
		m.control.reset()
		m.storeLink.reset()
	case OneWay:
		m.calls.setMute(true)
		m.control.setMute(true)
		wait.For(r.ctx, step.For)
		m.calls.setMute(false)
		m.control.setMute(false)
	case Silence:
		m.calls.silence()
		m.control.silence()
		m.storeLink.silence()
	case StoreCut:
		m.storeLink.setMute(true)
		wait.For(r.ctx, step.For)
		m.storeLink.setMute(false)
	}
}

func (r *run) harmStore(step Step) {
	store := r.fleet.store
	if step.Kind == StoreForgets {
		store.Truncate(metastore.OperatorTopic)
		return
	}
	fault := metastore.Fault{}
	switch step.Kind {
	case StoreDown:
		fault.Status = http.StatusServiceUnavailable
	case StoreSilent:
		fault.Silent = true
	case StoreSlow:
		fault.Delay = storeDelay
	}
	calls := 0
	store.SetFaultFunc(func(string, string) metastore.Fault {
		calls++
		if step.Kind == StoreLoses {
			return metastore.Fault{DropResponse: calls%2 == 0}
		}
		return fault
	})
	wait.For(r.ctx, step.For)
	store.SetFaultFunc(nil)
}

func (r *run) harmTarget(m *machine, step Step) {
	behaviour := usual
	switch step.Kind {
	case Grey:
		behaviour.DropResponse = true
	case Cut:
		behaviour.TruncateResponse = true
	case Extra:
		behaviour.DuplicateResponse = true
	case Shed:
		behaviour.Shed = true
	case Slow:
		behaviour.Delay = slowWork
	}
	m.behave(r.ctx, behaviour, step.For)
}

// noteHarm counts an unplanned fault that begins or ends.
func (r *run) noteHarm(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harm += change
	r.healed = time.Now()
}

// calmSince reports whether no unplanned fault was under way from a while before
// a time until now.
func (r *run) calmSince(began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harm == 0 && began.Sub(r.healed) >= calmTime
}
