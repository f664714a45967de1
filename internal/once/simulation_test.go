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

// simulation runs a few hosts whose steps rapid interleaves: messages are lost,
// delayed and duplicated; hosts pause, restart without state and lag behind the
// log. The requests sent to targets are the ground truth.
type simulation struct {
	t   *rapid.T
	now time.Time
	// chains holds the chain of grants after each prefix of the log.
	chains   []once.Grants
	hosts    []*host
	keys     []string
	appends  []*once.Grant
	requests []request
	// sent counts the requests sent to targets, by key.
	sent map[string]int
	// refused and replayed count attempts by result.
	refused, replayed int
}

// host is one host with its daemon.
type host struct {
	name   string
	paused bool
	// position is the length of the log prefix that the daemon has applied.
	position     int
	deduplicator *once.Deduplicator
	claims       []*openClaim
	// skew is the clock error, latest the highest clock reading so far.
	skew   time.Duration
	latest time.Time
}

// request is a message in transit to a home.
type request struct {
	host *host
	key  string
}

// openClaim is a claim that has not ended.
type openClaim struct {
	claim *once.Claim
	key   string
	sent  bool
}

const (
	simulatedHosts = 3
	maxSkew        = time.Second
	// maxStepForward bounds a forward step of a clock.
	maxStepForward = 10 * time.Second
	// recentKeys is how many of the last keys are retried.
	recentKeys = 4
)

// spans are the times by which the clock advances: the limits of the deduplicator,
// one millisecond past them, and some other values.
var spans = []time.Duration{
	time.Millisecond, 100 * time.Millisecond, time.Second,
	once.MaxFutureSkew, once.MaxFutureSkew + once.MaxBackwardStep, once.MaxFutureSkew + once.MaxBackwardStep + time.Millisecond,
	10 * time.Second, time.Minute, once.KeyTTL, once.KeyTTL + time.Millisecond, once.DefaultHorizon,
}

// newSimulation returns a simulation whose first grant lists every host as a home,
// or none.
func newSimulation(t *rapid.T, homes bool) *simulation {
	s := &simulation{t: t, now: epoch, chains: []once.Grants{nil}, sent: map[string]int{}}
	for i := range simulatedHosts {
		skew := time.Duration(rapid.Int64Range(-int64(maxSkew), int64(maxSkew)).Draw(t, "skew"))
		added := &host{name: fmt.Sprintf("host-%d", i), skew: skew.Truncate(time.Millisecond)}
		s.hosts = append(s.hosts, added)
		s.start(added)
	}
	s.now = s.now.Add(time.Minute)
	first := s.hosts
	if !homes {
		first = nil
	}
	s.appends = append(s.appends, s.nextGrant(s.hosts[0], first))
	s.applyAppend()
	for _, h := range s.hosts {
		h.position = 1
	}
	return s
}

func (s *simulation) clock(h *host) time.Time {
	reading := s.now.Add(h.skew)
	if reading.After(h.latest) {
		h.latest = reading
	}
	return reading
}

// start starts a daemon process without remembered keys.
func (s *simulation) start(h *host) {
	h.claims = nil
	h.deduplicator = once.NewDeduplicator(once.Options{
		Host:             h.name,
		Started:          s.clock(h),
		Now:              func() time.Time { return s.clock(h) },
		MaxKeys:          4,
		MaxResponseBytes: 200,
	})
}

func (s *simulation) chain(h *host) once.Grants { return s.chains[h.position] }

func (s *simulation) drawHost(label string) *host { return rapid.SampledFrom(s.hosts).Draw(s.t, label) }

// anyRunningHost draws a host, nil when it is paused.
func (s *simulation) anyRunningHost() *host {
	if picked := s.drawHost("host"); !picked.paused {
		return picked
	}
	return nil
}

// step takes one random step. Steps that make calls succeed come first and several
// times, because rapid prefers low numbers and a call needs several of them in a row.
func (s *simulation) step() {
	steps := []func(){
		s.call, s.retry, s.renew, s.advance, s.deliver, s.sendToTarget, s.complete, s.issueKey, s.restart,
		s.call, s.retry, s.renew, s.deliver, s.sendToTarget, s.complete, s.issueKey,
		s.propose, s.applyAppend, s.catchUp, s.resume, s.deliver, s.sendToTarget,
		s.deliver, s.sendToTarget, s.propose, s.applyAppend, s.catchUp, s.resume,
		s.release, s.pause, s.stepClock, s.drop, s.addHomes, s.addHomes,
	}
	steps[rapid.IntRange(0, len(steps)-1).Draw(s.t, "step")]()
}

func (s *simulation) advance() {
	s.now = s.now.Add(rapid.SampledFrom(spans).Draw(s.t, "span"))
}

// call takes the steps of one call without faults.
func (s *simulation) call() {
	s.issueKey()
	s.deliver()
	s.sendToTarget()
	s.complete()
}

// issueKey generates a key by a caller's clock and sends it.
func (s *simulation) issueKey() {
	skew := rapid.SampledFrom([]time.Duration{0, 0, -time.Second, time.Second, once.MaxFutureSkew, 2 * once.MaxFutureSkew}).Draw(s.t, "caller skew")
	key := keyAt(s.now.Add(skew), uint64(len(s.keys)))
	s.keys = append(s.keys, key)
	s.send(key)
}

// retry sends one of the last keys again through any daemon.
func (s *simulation) retry() {
	if len(s.keys) == 0 {
		return
	}
	recent := s.keys[max(0, len(s.keys)-recentKeys):]
	s.send(rapid.SampledFrom(recent).Draw(s.t, "key"))
}

func (s *simulation) send(key string) {
	through := s.anyRunningHost()
	if through == nil {
		return
	}
	name, err := through.deduplicator.Home(s.chain(through), service, key)
	if err != nil {
		s.checkRefusal(key, err)
		return
	}
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })
	s.requests = append(s.requests, request{host: s.hosts[i], key: key})
	if rapid.Bool().Draw(s.t, "copied") {
		s.requests = append(s.requests, request{host: s.drawHost("receiver of the copy"), key: key})
	}
}

// removeAny removes a random element of a list.
func removeAny[T any](s *simulation, list *[]T) (T, bool) {
	var taken T
	if len(*list) == 0 {
		return taken, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(s.t, "index")
	taken = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return taken, true
}

func (s *simulation) drop() { removeAny(s, &s.requests) }

func (s *simulation) deliver() {
	next, found := removeAny(s, &s.requests)
	if !found {
		return
	}
	if next.host.paused {
		s.requests = append(s.requests, next)
		return
	}
	claim, err := next.host.deduplicator.Claim(s.chain(next.host), service, next.key)
	if err != nil {
		s.checkRefusal(next.key, err)
		return
	}
	if response, replayed := claim.Replay(); replayed {
		s.replayed++
		s.checkReplay(next.key, response)
		return
	}
	next.host.claims = append(next.host.claims, &openClaim{claim: claim, key: next.key})
}

// openClaim draws a claim of a running host, nil when it is in another state.
func (s *simulation) openClaim(sent bool) (*host, *openClaim) {
	h := s.anyRunningHost()
	if h == nil || len(h.claims) == 0 {
		return nil, nil
	}
	picked := rapid.SampledFrom(h.claims).Draw(s.t, "run")
	if picked.sent != sent {
		return nil, nil
	}
	return h, picked
}

func (s *simulation) sendToTarget() {
	if _, picked := s.openClaim(false); picked != nil {
		picked.sent = true
		s.sent[picked.key]++
	}
}

func (s *simulation) complete() {
	h, picked := s.openClaim(true)
	if picked == nil {
		return
	}
	var response *once.Response
	if rapid.Bool().Draw(s.t, "answered") {
		response = &once.Response{Status: 200, Body: []byte(picked.key)}
	}
	picked.claim.Complete(response)
	if rapid.Bool().Draw(s.t, "ended twice") {
		picked.claim.Release()
	}
	h.end(picked)
}

func (s *simulation) release() {
	if h, picked := s.openClaim(false); picked != nil {
		picked.claim.Release()
		h.end(picked)
	}
}

func (h *host) end(ended *openClaim) {
	h.claims = slices.DeleteFunc(h.claims, func(c *openClaim) bool { return c == ended })
}

func (s *simulation) catchUp() {
	if h := s.anyRunningHost(); h != nil {
		h.position = rapid.IntRange(h.position, len(s.chains)-1).Draw(s.t, "position")
	}
}

// propose appends the next grant according to one daemon's view; the append takes
// effect later or never.
func (s *simulation) propose() {
	h := s.anyRunningHost()
	if h == nil {
		return
	}
	if grant := s.nextGrant(h, s.drawKnownHosts()); grant != nil {
		s.appends = append(s.appends, grant)
	}
}

// addHomes appends homes for the service where the chain has none, according to
// one daemon's view; the append takes effect later or never.
func (s *simulation) addHomes() {
	h := s.anyRunningHost()
	if h == nil {
		return
	}
	if grant := once.NextAddition(s.chain(h), viewOf(s.drawKnownHosts()), s.clock(h)); grant != nil {
		s.appends = append(s.appends, grant)
	}
}

// drawKnownHosts draws the hosts whose targets a daemon knows, possibly none.
func (s *simulation) drawKnownHosts() []*host {
	var known []*host
	for _, h := range s.hosts {
		if rapid.Bool().Draw(s.t, "seen") {
			known = append(known, h)
		}
	}
	return known
}

// renew extends the chain without faults, and all running hosts apply it.
func (s *simulation) renew() {
	proposer := s.anyRunningHost()
	if proposer == nil {
		return
	}
	proposer.position = len(s.chains) - 1
	if grant := s.nextGrant(proposer, s.hosts); grant != nil {
		s.append(grant)
	}
	for _, h := range s.hosts {
		if !h.paused {
			h.position = len(s.chains) - 1
		}
	}
}

func (s *simulation) nextGrant(h *host, known []*host) *once.Grant {
	return once.NextGrant(s.chain(h), viewOf(known), s.clock(h), once.DefaultHorizon)
}

// viewOf returns the view of a daemon that knows the targets of some hosts.
func viewOf(known []*host) *membership.View {
	view := &membership.View{}
	for _, h := range known {
		member := membership.Member{Host: h.name, State: membership.Alive, TargetState: membership.Ready}
		view.ByService = view.ByService.With(service, append(view.ByService.At(service), member))
	}
	return view
}

// applyAppend applies an append once, or twice as when its response was lost and
// the append was retried.
func (s *simulation) applyAppend() {
	grant, found := removeAny(s, &s.appends)
	if !found {
		return
	}
	for range rapid.IntRange(1, 2).Draw(s.t, "times") {
		s.append(grant)
	}
}

func (s *simulation) append(grant *once.Grant) {
	chain, _ := s.chains[len(s.chains)-1].Add(grant, s.now)
	s.chains = append(s.chains, chain)
}

// restart replaces a daemon by one without remembered keys, which may be further
// behind the log and whose clock may have stepped back.
func (s *simulation) restart() {
	h := s.drawHost("host")
	h.paused = false
	h.position = rapid.IntRange(0, h.position).Draw(s.t, "position")
	s.moveClock(h, -once.MaxBackwardStep, 0)
	s.start(h)
}

func (s *simulation) stepClock() {
	s.moveClock(s.drawHost("host"), -once.MaxBackwardStep, maxStepForward)
}

// moveClock steps a clock. It never reads earlier than MaxBackwardStep before its
// highest reading.
func (s *simulation) moveClock(h *host, low, high time.Duration) {
	step := rapid.SampledFrom([]time.Duration{low, low / 2, 0, high / 2, high}).Draw(s.t, "clock step")
	lowest := h.latest.Add(-once.MaxBackwardStep).Sub(s.now)
	h.skew = max(h.skew+step, lowest)
}

func (s *simulation) pause() { s.drawHost("host").paused = true }

func (s *simulation) resume() { s.drawHost("host").paused = false }

// checkRefusal fails when a refusal claims that a key did not run although it did.
func (s *simulation) checkRefusal(key string, err error) {
	s.refused++
	var refusal *once.Refusal
	if !errors.As(err, &refusal) {
		s.t.Fatalf("key %s: %v is not a refusal", key, err)
	}
	if !refusal.EarlierMayHaveRun && s.sent[key] > 0 {
		s.t.Fatalf("key %s ran, but was refused by %v", key, refusal)
	}
}

func (s *simulation) checkReplay(key string, response *once.Response) {
	if s.sent[key] != 1 || string(response.Body) != key {
		s.t.Fatalf("key %s was sent to targets %d times and replays %q", key, s.sent[key], response.Body)
	}
}

func (s *simulation) checkAtMostOnce() {
	for key, count := range s.sent {
		if count > 1 {
			s.t.Fatalf("key %s was sent to targets %d times", key, count)
		}
	}
}
