package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// startBound is how long the daemons may take to serve at the beginning.
	startBound = 20 * time.Second
	// recoveryBound is how long after the last fault all may take to serve again.
	recoveryBound = 15 * time.Second
	// calmTime is how long after an unplanned fault a lost request is not counted.
	calmTime = 3 * time.Second
	// slowWork is how long a slow target works on a request.
	slowWork = 300 * time.Millisecond
	// linkDelay and storeDelay are added to what passes a slow link or store.
	linkDelay  = 100 * time.Millisecond
	storeDelay = 400 * time.Millisecond
)

// Options of a run.
type Options struct {
	// Binary is the program whose daemons are run.
	Binary string
	Seed   uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Machines is how many daemons run, Callers how many callers each has.
	Machines int
	Callers  int
	// Kinds are the kinds of steps to play, all when empty.
	Kinds []Kind
	// Dir is where logs go, the system's folder for such files when empty.
	Dir string
	// Progress is told of each step, nil for nobody.
	Progress func(text string)
	// Between returns the address that callers of a machine use in place of its
	// daemon's, nil for that of the daemon. Tests plant faults there.
	Between func(ctx context.Context, machine, daemon, target string) string
}

func (o Options) random() *rand.Rand { return rand.New(rand.NewPCG(o.Seed, uint64(os.Getpid()))) }

// Report is the outcome of a run.
type Report struct {
	Plan       Plan
	Counts     Counts
	Violations []Violation
	// Logs is the folder with the daemons' logs, empty when nothing was found.
	Logs string
}

// run is one run in progress.
type run struct {
	ctx     context.Context
	options Options
	plan    Plan
	book    *ledger
	fleet   *fleet

	mu sync.Mutex
	// version is the newest version that was published.
	version int
	// harm counts the unplanned faults under way, healed is when the last ended.
	harm   int
	healed time.Time
	// versions holds the version in force on each machine.
	versions map[*machine]int
	between  map[*machine]string
}

// Run plays the plan of a seed. The error says that it could not be played.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		ctx:      ctx,
		options:  options,
		plan:     NewPlan(options.Seed, options.Length, options.Machines, options.Kinds...),
		book:     newLedger(),
		versions: make(map[*machine]int),
		between:  make(map[*machine]string),
	}
	var err error
	r.fleet, err = newFleet(ctx, options, r.book)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start the fleet: %w", err)
	}
	err = r.play()
	cancel()
	r.fleet.tasks.Wait()
	if err != nil {
		return nil, fmt.Errorf("seed %d, logs in %s: %w", options.Seed, r.fleet.dir, err)
	}
	violations, counts := r.book.result()
	report := &Report{Plan: r.plan, Counts: counts, Violations: violations, Logs: r.fleet.dir}
	if len(violations) == 0 {
		report.Logs = ""
		return report, r.fleet.remove()
	}
	return report, nil
}

// play waits for the fleet, plays the plan and checks that all recovers.
func (r *run) play() error {
	if err := r.publish(); err != nil {
		return err
	}
	if behind := r.await(startBound, r.serves); behind != "" {
		return fmt.Errorf("%s does not serve after %s", behind, startBound)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	r.startCallers(ctx, &tasks)
	r.playSteps()
	r.checkRecovery()
	return nil
}

func (r *run) startCallers(ctx context.Context, tasks *conc.WaitGroup) {
	for i, m := range r.fleet.machines {
		if r.options.Between != nil {
			m.mu.Lock()
			target := m.target.Address()
			m.mu.Unlock()
			r.between[m] = r.options.Between(ctx, m.name, m.listen["callers"], target)
		}
		for j := range r.options.Callers {
			name := fmt.Sprintf("%d-%d", i, j)
			c := &caller{run: r, machine: m, name: name, random: rand.New(rand.NewPCG(r.options.Seed, uint64(i*1000+j)))}
			tasks.Go(func() { c.loop(ctx) })
		}
		watcher := &caller{run: r, machine: m, name: fmt.Sprintf("%d-w", i), random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)))}
		tasks.Go(func() { watcher.watch(ctx) })
	}
}

// callerAddress is where callers of a machine send their requests.
func (r *run) callerAddress(m *machine) string {
	if address := r.between[m]; address != "" {
		return address
	}
	return m.listen["callers"]
}

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
		store.Forget(metastore.OperatorTopic)
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
	store.SetFault(func(string, string) metastore.Fault {
		calls++
		if step.Kind == StoreLoses {
			return metastore.Fault{LoseAnswer: calls%2 == 0}
		}
		return fault
	})
	wait.For(r.ctx, step.For)
	store.SetFault(nil)
}

func (r *run) harmTarget(m *machine, step Step) {
	behaviour := usual
	switch step.Kind {
	case Grey:
		behaviour.LoseAnswer = true
	case Cut:
		behaviour.CutAnswer = true
	case Extra:
		behaviour.Extra = true
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

// publish writes the next version of the configuration: it adds a route and
// moves another between the services.
func (r *run) publish() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	value, err := configurationAt(r.version).Encode()
	if err != nil {
		return err
	}
	r.fleet.store.Configure(value)
	return nil
}

// versionStep is the distance between the numbers of two versions.
const versionStep = 3

func configurationAt(version int) upstream.Configuration {
	moved := services[version%len(services)]
	config := upstream.Configuration{Version: version * versionStep, Services: services, Connections: 100}
	add := func(prefix, service string, idempotent bool, priority int) {
		config.Routes = append(config.Routes, upstream.Route{
			Name: fmt.Sprintf("r-%d", len(config.Routes)), Host: host, PathPrefix: prefix, Idempotent: idempotent,
			Service: service, Timeout: 2, Objective: 0.4, Priority: priority, Attempts: 3,
		})
	}
	add("/lookup/", "huts", true, 2)
	add("/charge/", "ledger", false, 0)
	add("/assign/", "huts", false, 1)
	add("/moved/", moved, true, 2)
	for each := range version {
		add(versionPrefix(each+1), "huts", true, 2)
	}
	return config
}

// published returns the newest version.
func (r *run) published() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// noteVersion notes the version in force on a machine.
func (r *run) noteVersion(m *machine, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[m] = version
}

// current reports whether a machine has the newest version in force.
func (r *run) current(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[m] == r.version
}

// serves reports whether a machine is ready and has each kind of request answered.
func (r *run) serves(m *machine) bool {
	if !m.ready() {
		return false
	}
	conn, err := upstream.DialCaller(m.listen["callers"], dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	for i, kind := range requestKinds {
		probe := &sentRequest{
			id: fmt.Sprintf("serves-%s-%d-%d", m.name, i, time.Now().UnixNano()), method: kind.method,
			service: m.service, services: kind.services, idempotent: kind.idempotent,
		}
		probe.path = kind.path + probe.id
		r.book.sent(probe)
		got, err := conn.Do(upstream.Ask{ID: probe.id, Method: probe.method, Host: host, Path: probe.path, Left: callLeft}, callTimeout)
		if err != nil || got.Status != http.StatusOK {
			return false
		}
	}
	return true
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 100 * time.Millisecond

// await waits until a condition holds on every machine. It returns the name of
// one on which it does not after the bound.
func (r *run) await(bound time.Duration, holds func(m *machine) bool) string {
	deadline := time.Now().Add(bound)
	for _, m := range r.fleet.machines {
		for !holds(m) {
			if time.Now().After(deadline) || !wait.For(r.ctx, pollInterval) {
				return m.name
			}
		}
	}
	return ""
}

// checkRecovery checks that all serve and have the newest version in force.
func (r *run) checkRecovery() {
	if behind := r.await(recoveryBound, r.serves); behind != "" {
		r.book.violate(Recovered, "", "%s does not serve %s after the last fault", behind, recoveryBound)
	}
	if behind := r.await(recoveryBound, r.current); behind != "" {
		r.book.violate(Behind, "", "%s does not have version %d in force", behind, r.published())
	}
}
