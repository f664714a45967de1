package once_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/once"
)

// world is a mesh of a few hosts whose steps rapid interleaves: messages are
// lost, late and doubled, hosts pause, lose their memory and lag behind the
// log. The targets' records are the ground truth.
type world struct {
	t   *rapid.T
	now time.Time
	// chains holds the chain of grants after each prefix of the log.
	chains   []once.Grants
	hosts    []*host
	keys     []string
	appends  []*once.Grant
	requests []request
	// handed counts by key the requests that targets were handed.
	handed map[string]int
	// refused and replayed count attempts by how they ended.
	refused, replayed int
}

// host is one host with its daemon.
type host struct {
	name   string
	paused bool
	// position is the prefix of the log that the daemon has folded.
	position int
	keeper   *once.Deduplicator
	runs     []*openRun
	// skew is added to the true time, latest is the highest clock reading.
	skew   time.Duration
	latest time.Time
}

// request is a message on its way to a home.
type request struct {
	host *host
	key  string
}

// openRun is a run that was begun and has not ended.
type openRun struct {
	run    *once.Claim
	key    string
	handed bool
}

const (
	worldHosts = 3
	maxSkew    = time.Second
	// maxStepForward bounds how far a clock jumps ahead.
	maxStepForward = 10 * time.Second
	// recentKeys is how many of the last keys are sent again.
	recentKeys = 4
)

// spans are the times that pass between steps: those at the limits of the
// keeper, one millisecond to either side, and some others.
var spans = []time.Duration{
	time.Millisecond, 100 * time.Millisecond, time.Second,
	once.MaxAhead, once.MaxAhead + once.MaxClockStep, once.MaxAhead + once.MaxClockStep + time.Millisecond,
	10 * time.Second, time.Minute, once.KeyWindow, once.KeyWindow + time.Millisecond, once.DefaultReach,
}

// newWorld returns a world whose first grant lists every host as a home, or
// none.
func newWorld(t *rapid.T, homes bool) *world {
	w := &world{t: t, now: epoch, chains: []once.Grants{nil}, handed: map[string]int{}}
	for i := range worldHosts {
		skew := time.Duration(rapid.Int64Range(-int64(maxSkew), int64(maxSkew)).Draw(t, "skew"))
		added := &host{name: fmt.Sprintf("host-%d", i), skew: skew.Truncate(time.Millisecond)}
		w.hosts = append(w.hosts, added)
		w.start(added)
	}
	w.now = w.now.Add(time.Minute)
	first := w.hosts
	if !homes {
		first = nil
	}
	w.appends = append(w.appends, w.nextGrant(w.hosts[0], first))
	w.land()
	for _, each := range w.hosts {
		each.position = 1
	}
	return w
}

func (w *world) clock(h *host) time.Time {
	reading := w.now.Add(h.skew)
	if reading.After(h.latest) {
		h.latest = reading
	}
	return reading
}

// start gives a host a daemon process without memory.
func (w *world) start(h *host) {
	h.runs = nil
	h.keeper = once.NewDeduplicator(once.Options{
		Host:             h.name,
		Started:          w.clock(h),
		Now:              func() time.Time { return w.clock(h) },
		MaxKeys:          4,
		MaxResponseBytes: 200,
	})
}

func (w *world) chain(h *host) once.Grants { return w.chains[h.position] }

func (w *world) anyHost(label string) *host { return rapid.SampledFrom(w.hosts).Draw(w.t, label) }

// awake picks a host that is not paused, nil when none was hit.
func (w *world) awake() *host {
	if picked := w.anyHost("host"); !picked.paused {
		return picked
	}
	return nil
}

// step takes one step. Those that make calls succeed come first and more than
// once, for rapid prefers low numbers and calls need several in a row.
func (w *world) step() {
	steps := []func(){
		w.call, w.retry, w.renew, w.advance, w.deliver, w.handOver, w.finish, w.mint, w.restart,
		w.call, w.retry, w.renew, w.deliver, w.handOver, w.finish, w.mint,
		w.propose, w.land, w.learn, w.resume, w.deliver, w.handOver,
		w.deliver, w.handOver, w.propose, w.land, w.learn, w.resume,
		w.abandon, w.pause, w.stepClock, w.drop, w.fill, w.fill,
	}
	steps[rapid.IntRange(0, len(steps)-1).Draw(w.t, "step")]()
}

func (w *world) advance() {
	w.now = w.now.Add(rapid.SampledFrom(spans).Draw(w.t, "span"))
}

// call takes the steps of one call that nothing disturbs.
func (w *world) call() {
	w.mint()
	w.deliver()
	w.handOver()
	w.finish()
}

// mint makes a key by a caller's clock and sends it.
func (w *world) mint() {
	skew := rapid.SampledFrom([]time.Duration{0, 0, -time.Second, time.Second, once.MaxAhead, 2 * once.MaxAhead}).Draw(w.t, "caller skew")
	key := keyAt(w.now.Add(skew), uint64(len(w.keys)))
	w.keys = append(w.keys, key)
	w.send(key)
}

// retry sends one of the last keys again, through any daemon.
func (w *world) retry() {
	if len(w.keys) == 0 {
		return
	}
	recent := w.keys[max(0, len(w.keys)-recentKeys):]
	w.send(rapid.SampledFrom(recent).Draw(w.t, "key"))
}

func (w *world) send(key string) {
	through := w.awake()
	if through == nil {
		return
	}
	name, err := through.keeper.Home(w.chain(through), service, key)
	if err != nil {
		w.checkRefusal(key, err)
		return
	}
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
	w.requests = append(w.requests, request{host: w.hosts[i], key: key})
	if rapid.Bool().Draw(w.t, "copied") {
		w.requests = append(w.requests, request{host: w.anyHost("receiver of the copy"), key: key})
	}
}

// take removes one of a list, in any order.
func take[T any](w *world, list *[]T) (T, bool) {
	var taken T
	if len(*list) == 0 {
		return taken, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(w.t, "index")
	taken = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return taken, true
}

func (w *world) drop() { take(w, &w.requests) }

func (w *world) deliver() {
	next, found := take(w, &w.requests)
	if !found {
		return
	}
	if next.host.paused {
		w.requests = append(w.requests, next)
		return
	}
	run, err := next.host.keeper.Claim(w.chain(next.host), service, next.key)
	if err != nil {
		w.checkRefusal(next.key, err)
		return
	}
	if answer, replayed := run.Replay(); replayed {
		w.replayed++
		w.checkReplay(next.key, answer)
		return
	}
	next.host.runs = append(next.host.runs, &openRun{run: run, key: next.key})
}

// openRuns picks a run of a host in a state, nil when none was hit.
func (w *world) openRun(handed bool) (*host, *openRun) {
	h := w.awake()
	if h == nil || len(h.runs) == 0 {
		return nil, nil
	}
	picked := rapid.SampledFrom(h.runs).Draw(w.t, "run")
	if picked.handed != handed {
		return nil, nil
	}
	return h, picked
}

func (w *world) handOver() {
	if _, picked := w.openRun(false); picked != nil {
		picked.handed = true
		w.handed[picked.key]++
	}
}

func (w *world) finish() {
	h, picked := w.openRun(true)
	if picked == nil {
		return
	}
	var answer *once.Response
	if rapid.Bool().Draw(w.t, "answered") {
		answer = &once.Response{Status: 200, Body: []byte(picked.key)}
	}
	picked.run.Complete(answer)
	if rapid.Bool().Draw(w.t, "ended twice") {
		picked.run.Release()
	}
	h.end(picked)
}

func (w *world) abandon() {
	if h, picked := w.openRun(false); picked != nil {
		picked.run.Release()
		h.end(picked)
	}
}

func (h *host) end(ended *openRun) {
	h.runs = slices.DeleteFunc(h.runs, func(r *openRun) bool { return r == ended })
}

func (w *world) learn() {
	if h := w.awake(); h != nil {
		h.position = rapid.IntRange(h.position, len(w.chains)-1).Draw(w.t, "position")
	}
}

// propose appends the next grant by what one daemon knows; the append takes
// effect later or never.
func (w *world) propose() {
	h := w.awake()
	if h == nil {
		return
	}
	if grant := w.nextGrant(h, w.seen()); grant != nil {
		w.appends = append(w.appends, grant)
	}
}

// fill appends homes for the service where the chain has none, by what one
// daemon knows; the append takes effect later or never.
func (w *world) fill() {
	h := w.awake()
	if h == nil {
		return
	}
	if grant := once.NextAddition(w.chain(h), viewOf(w.seen()), w.clock(h)); grant != nil {
		w.appends = append(w.appends, grant)
	}
}

// seen draws the hosts whose targets a daemon knows, maybe none.
func (w *world) seen() []*host {
	var seen []*host
	for _, each := range w.hosts {
		if rapid.Bool().Draw(w.t, "seen") {
			seen = append(seen, each)
		}
	}
	return seen
}

// renew extends the chain as it should be, and all who are awake learn it.
func (w *world) renew() {
	proposer := w.awake()
	if proposer == nil {
		return
	}
	proposer.position = len(w.chains) - 1
	if grant := w.nextGrant(proposer, w.hosts); grant != nil {
		w.append(grant)
	}
	for _, h := range w.hosts {
		if !h.paused {
			h.position = len(w.chains) - 1
		}
	}
}

func (w *world) nextGrant(h *host, seen []*host) *once.Grant {
	return once.NextGrant(w.chain(h), viewOf(seen), w.clock(h), once.DefaultReach)
}

// viewOf is the view of a daemon that knows the targets of some hosts.
func viewOf(seen []*host) *membership.View {
	view := &membership.View{ByService: map[string][]membership.Member{}}
	for _, each := range seen {
		member := membership.Member{Host: each.name, State: membership.Alive, TargetState: membership.Ready}
		view.ByService[service] = append(view.ByService[service], member)
	}
	return view
}

// land lets an append take effect, once or, when its answer was lost and it
// was repeated, twice.
func (w *world) land() {
	grant, found := take(w, &w.appends)
	if !found {
		return
	}
	for range rapid.IntRange(1, 2).Draw(w.t, "times") {
		w.append(grant)
	}
}

func (w *world) append(grant *once.Grant) {
	chain, _ := w.chains[len(w.chains)-1].Add(grant, w.now)
	w.chains = append(w.chains, chain)
}

// restart ends a daemon and starts one without memory, maybe further behind
// the log, by a clock that may have stepped back.
func (w *world) restart() {
	h := w.anyHost("host")
	h.paused = false
	h.position = rapid.IntRange(0, h.position).Draw(w.t, "position")
	w.moveClock(h, -once.MaxClockStep, 0)
	w.start(h)
}

func (w *world) stepClock() {
	w.moveClock(w.anyHost("host"), -once.MaxClockStep, maxStepForward)
}

// moveClock changes a clock. It never reads less than MaxClockStep before its
// highest reading.
func (w *world) moveClock(h *host, low, high time.Duration) {
	step := rapid.SampledFrom([]time.Duration{low, low / 2, 0, high / 2, high}).Draw(w.t, "clock step")
	lowest := h.latest.Add(-once.MaxClockStep).Sub(w.now)
	h.skew = max(h.skew+step, lowest)
}

func (w *world) pause() { w.anyHost("host").paused = true }

func (w *world) resume() { w.anyHost("host").paused = false }

// checkRefusal fails when a refusal says of a key that ran that it did not.
func (w *world) checkRefusal(key string, err error) {
	w.refused++
	var refusal *once.Refusal
	if !errors.As(err, &refusal) {
		w.t.Fatalf("key %s: %v is not a refusal", key, err)
	}
	if !refusal.EarlierMayHaveRun && w.handed[key] > 0 {
		w.t.Fatalf("key %s ran, but was refused by %v", key, refusal)
	}
}

func (w *world) checkReplay(key string, answer *once.Response) {
	if w.handed[key] != 1 || string(answer.Body) != key {
		w.t.Fatalf("key %s was handed over %d times and replays %q", key, w.handed[key], answer.Body)
	}
}

func (w *world) checkAtMostOnce() {
	for key, count := range w.handed {
		if count > 1 {
			w.t.Fatalf("key %s was handed to targets %d times", key, count)
		}
	}
}
