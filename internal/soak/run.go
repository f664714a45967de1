package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
	"github.com/mulberrybank/mulberrybank/internal/wait"
)

const (
	// startBound is how long the daemons may take to serve at the beginning.
	startBound = 20 * time.Second
	// recoveryBound is how long after the last fault all may take to serve again.
	recoveryBound = 15 * time.Second
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
	// WorkDir is where logs go, the system's folder for such files when empty.
	WorkDir string
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
	// between holds the addresses that callers use in place of their daemons'. It
	// is written before the first caller starts.
	between map[*machine]string
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
	if r.options.Between != nil {
		r.placeBetween(ctx)
	}
	for i, m := range r.fleet.machines {
		for j := range r.options.Callers {
			name := fmt.Sprintf("%d-%d", i, j)
			c := &caller{run: r, machine: m, name: name, random: rand.New(rand.NewPCG(r.options.Seed, uint64(i*1000+j)))}
			tasks.Go(func() { c.loop(ctx) })
		}
		watcher := &caller{run: r, machine: m, name: fmt.Sprintf("%d-w", i), random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)))}
		tasks.Go(func() { watcher.watch(ctx) })
	}
}

// placeBetween has the callers of each machine use another address than that of
// its daemon.
func (r *run) placeBetween(ctx context.Context) {
	for _, m := range r.fleet.machines {
		m.mu.Lock()
		target := m.target.Address()
		m.mu.Unlock()
		r.between[m] = r.options.Between(ctx, m.name, m.listen["callers"], target)
	}
}

// callerAddress is where callers of a machine send their requests.
func (r *run) callerAddress(m *machine) string {
	if address := r.between[m]; address != "" {
		return address
	}
	return m.listen["callers"]
}

// serves reports whether a machine is ready and has each kind of request answered.
func (r *run) serves(m *machine) bool {
	if !m.ready() {
		return false
	}
	conn, err := upstream.DialDaemon(m.listen["callers"], dialTimeout)
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
		got, err := conn.Do(upstream.Request{ID: probe.id, Method: probe.method, Host: host, Path: probe.path, Timeout: callLeft}, callTimeout)
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
