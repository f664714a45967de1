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
	// startTimeout bounds the time until all daemons serve at the start.
	startTimeout = 20 * time.Second
	// recoveryTimeout bounds the time until all daemons serve after the last fault.
	recoveryTimeout = 15 * time.Second
)

// Options of a run.
type Options struct {
	// Binary is the path of the program whose daemons are run.
	Binary string
	Seed   uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Hosts is the number of daemons.
	Hosts int
	// Callers is the number of callers of each daemon that send short requests
	// without pause; idleCallers and longCallers come in addition.
	Callers int
	// Kinds are the kinds of steps to inject; all if empty.
	Kinds []Kind
	// WorkDir is the parent directory of the run's logs and settings; empty means the
	// system's directory for temporary files.
	WorkDir string
	// Progress is called with the text of each step, unless nil.
	Progress func(text string)
	// Intercept returns the address that callers of a host use instead of its
	// daemon's address. If nil, callers use the daemon's address. Tests use it to
	// inject violations.
	Intercept func(ctx context.Context, host, daemon, target string) string
}

// newNetworkRandom returns the random source for the fleet's loopback network. The
// process ID makes concurrent runs of one seed choose different networks.
func (o Options) newNetworkRandom() *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, uint64(os.Getpid())))
}

// Report is the result of a run.
type Report struct {
	Plan       Plan
	Counts     Counts
	Violations []Violation
	// Logs is the directory with the daemons' logs, empty if there are no violations.
	Logs string
}

// run is one run in progress.
type run struct {
	ctx     context.Context
	options Options
	plan    Plan
	checker *checker
	fleet   *fleet

	mu sync.Mutex
	// version is the newest published version.
	version int
	// activeFaults counts the active faults, without those of the store alone.
	// lastFaultChange is when it last changed.
	activeFaults    int
	lastFaultChange time.Time
	// observed holds the version last seen active on each host.
	observed map[*host]observation
	// interceptAddresses holds the addresses that Options.Intercept returned. It
	// is written before the first caller starts.
	interceptAddresses map[*host]string
}

// Run runs the plan of a seed. It returns an error only if the plan could not be
// run; violations are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		ctx:                ctx,
		options:            options,
		plan:               NewPlan(options.Seed, options.Length, options.Hosts, options.Kinds...),
		checker:            newChecker(),
		observed:           make(map[*host]observation),
		interceptAddresses: make(map[*host]string),
	}
	var err error
	r.fleet, err = newFleet(ctx, options, r.checker)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start the fleet: %w", err)
	}
	err = r.runPlan()
	cancel()
	r.fleet.tasks.Wait()
	if err != nil {
		return nil, fmt.Errorf("seed %d, logs in %s: %w", options.Seed, r.fleet.dir, err)
	}
	violations, counts := r.checker.result()
	report := &Report{Plan: r.plan, Counts: counts, Violations: violations, Logs: r.fleet.dir}
	if len(violations) == 0 {
		report.Logs = ""
		return report, r.fleet.remove()
	}
	return report, nil
}

// runPlan waits until the fleet serves, runs the plan and checks the recovery.
func (r *run) runPlan() error {
	if err := r.publish(); err != nil {
		return err
	}
	if name := r.await(startTimeout, r.serves); name != "" {
		return fmt.Errorf("%s is not serving requests after %s", name, startTimeout)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	r.startCallers(ctx, &tasks)
	r.runSteps()
	r.checkRecovery()
	return nil
}

func (r *run) startCallers(ctx context.Context, tasks *conc.WaitGroup) {
	if r.options.Intercept != nil {
		r.startInterceptors(ctx)
	}
	for i, h := range r.fleet.hosts {
		for j := range r.options.Callers + idleCallers + longCallers {
			c := r.newCaller(h, i, j)
			tasks.Go(func() { c.loop(ctx) })
		}
		watcher := &caller{run: r, host: h, name: fmt.Sprintf("%d-w", i), random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)))}
		tasks.Go(func() { watcher.watch(ctx) })
		keyed := &caller{run: r, host: h, name: fmt.Sprintf("%d-k", i), thinkTime: meanThinkTime, random: rand.New(rand.NewPCG(r.options.Seed, uint64(keyedSeed+i)))}
		tasks.Go(func() { keyed.loopWithKeys(ctx) })
	}
}

// newCaller returns a caller of a host: the first ones send short requests, the next
// ones do so on mostly idle connections, and the last ones send long requests.
func (r *run) newCaller(h *host, hostIndex, index int) *caller {
	c := &caller{
		run: r, host: h, name: fmt.Sprintf("%d-%d", hostIndex, index), kinds: requestKinds, thinkTime: meanThinkTime,
		random: rand.New(rand.NewPCG(r.options.Seed, uint64(hostIndex*1000+index))),
	}
	if index >= r.options.Callers {
		c.thinkTime = meanIdleTime
	}
	if index >= r.options.Callers+idleCallers {
		c.kinds, c.thinkTime = longRequestKinds, meanThinkTime
	}
	return c
}

// startInterceptors calls Options.Intercept for each host.
func (r *run) startInterceptors(ctx context.Context) {
	for _, h := range r.fleet.hosts {
		h.mu.Lock()
		target := h.target.Address()
		h.mu.Unlock()
		r.interceptAddresses[h] = r.options.Intercept(ctx, h.name, h.listen["callers"], target)
	}
}

// callerAddress returns the address to which callers of a host send requests.
func (r *run) callerAddress(h *host) string {
	if address := r.interceptAddresses[h]; address != "" {
		return address
	}
	return h.listen["callers"]
}

// serves reports whether a host is ready and requests of each kind succeed.
func (r *run) serves(h *host) bool {
	if !h.ready() {
		return false
	}
	conn, err := upstream.DialDaemon(h.listen["callers"], dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	for i, kind := range requestKinds {
		probe := &sentRequest{
			id: fmt.Sprintf("serves-%s-%d-%d", h.name, i, time.Now().UnixNano()), method: kind.method,
			service: h.service, services: kind.services, idempotent: kind.idempotent,
			deadline: kind.deadline, host: h,
		}
		probe.path = kind.path + probe.id
		r.checker.requestSent(probe)
		response, err := conn.Do(upstream.Request{ID: probe.id, Method: probe.method, Host: routeHost, Path: probe.path, Timeout: requestDeadline}, requestDeadline+readMargin)
		if err != nil || response.Status != http.StatusOK {
			return false
		}
	}
	return true
}

const pollInterval = 100 * time.Millisecond

// await waits until a condition holds on every host. It returns the name of a
// host on which it does not hold within the timeout, or "".
func (r *run) await(timeout time.Duration, holds func(h *host) bool) string {
	deadline := time.Now().Add(timeout)
	for _, h := range r.fleet.hosts {
		for !holds(h) {
			if time.Now().After(deadline) || !wait.For(r.ctx, pollInterval) {
				return h.name
			}
		}
	}
	return ""
}

// checkRecovery checks that all hosts serve again and that the newest version is
// active on them.
func (r *run) checkRecovery() {
	if name := r.await(recoveryTimeout, r.serves); name != "" {
		r.checker.addViolation(NotRecovered, "", "%s does not serve %s after the last fault", name, recoveryTimeout)
	}
	if name := r.await(recoveryTimeout, r.hasNewestVersion); name != "" {
		r.checker.addViolation(VersionLag, "", "%s does not have version %d in force", name, r.newestVersion())
	}
}
