package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// busyInterval is the time between two reports of workspaces that are watched or
	// limited.
	busyInterval = 200 * time.Millisecond
	// calmInterval is the time between two reports of free workspaces in a mesh of up to
	// calmHosts hosts. It grows with the mesh, so that a home gets about calmHosts
	// reports per interval.
	calmInterval = time.Second
	calmHosts    = 75
	// reportedTime limits what a report counts of a free workspace to what was admitted
	// in this time. The bucket has been refilled for what is older.
	reportedTime = time.Second
	// urgentDelay is how long an urgent report waits for others, so that samples of many
	// workspaces share a message.
	urgentDelay = 20 * time.Millisecond
	// suspectAfter is the time without an answer after which a daemon admits only a
	// little more than it did before: the home could not stop a surge.
	suspectAfter = 300 * time.Millisecond
	// lostAfter is the time without an answer after which the home is lost.
	lostAfter = time.Second
	// holdTime is how long a daemon without a home keeps the rate that it used.
	holdTime = time.Second
	// suspectRoom is the room above the rate used while the home is suspect.
	suspectRoom = 1.25
	// surgeFactor and surgeMargin define a surge at one daemon: a demand of surgeMargin
	// per second above surgeFactor times the rate used. It is reported at once, and bound
	// after surgeSuspectAfter without an answer, which is more than a round trip.
	surgeFactor       = 3
	surgeMargin       = 10
	surgeSuspectAfter = 120 * time.Millisecond
	// maxFairDebt is the longest time for which the floor is withheld after a daemon
	// admitted more than its share.
	maxFairDebt = 4 * time.Second
	// demandTime is the time constant of the demand that is reported, usedTime that of
	// the rate that is kept without a home.
	demandTime = 300 * time.Millisecond
	usedTime   = 5 * time.Second
	// bucketTime is the time in which a local bucket fills. It absorbs the variation of
	// arrivals between two reports.
	bucketTime = 250 * time.Millisecond
	// endedDemand is the demand, per second, below which a daemon ceases to report a
	// workspace that is watched or limited.
	endedDemand = 0.05
	// startTime is how long a daemon may know only a part of the hosts. It then counts
	// startHosts at least, so that its share of a limit is not too large.
	startTime  = 2 * time.Second
	startHosts = 32
	// maxRetryAfter limits what a refused caller is told.
	maxRetryAfter = 5 * time.Second
	// idleAccount is how long an account without requests is kept.
	idleAccount = 10 * time.Second
)

// Decision is the outcome of one request.
type Decision int

// Values of Decision.
const (
	Admitted Decision = iota
	RefusedByQuota
	RefusedWithoutHome
)

// Limiter decides on the requests that one daemon accepts. It is not safe for
// concurrent use.
type Limiter struct {
	accounts map[string]*account
	homes    map[string]*homeLink
	homeOf   func(workspace string) string
	random   *rand.Rand
	known    int
	started  time.Time
	swept    time.Time
	// watched holds the last grants of workspaces that are watched or limited, also of
	// those without an account.
	watched map[string]homeGrant
}

type homeGrant struct {
	home  string
	grant Grant
}

// homeLink is what a daemon knows of its link to a home.
type homeLink struct {
	connected bool
	// sent holds when each report without an answer was sent.
	sent []time.Time
	// lostAt is when the link was lost, zero if there was none.
	lostAt time.Time
	// answered counts the answers on this link.
	answered uint64
	// dirty holds the accounts with something to report.
	dirty map[string]*account
	// urgentAt is since when a report must not wait for its interval, zero for none.
	urgentAt time.Time
	// busyAt is since when a dirty account is watched or limited, zero for none.
	busyAt time.Time
	// lastSent is when the last report was sent, lastFull when the last one was sent
	// that had all accounts.
	lastSent, lastFull time.Time
}

// account is the state of one workspace at one daemon.
type account struct {
	name  string
	limit Limit
	home  string
	// answered is set once the home has sent a grant since the link was made.
	answered bool
	// homed is set once any home has sent a grant.
	homed   bool
	grant   Grant
	pending int
	samples int
	// blind is set if pending has requests that were admitted without a home.
	blind bool
	// flush is set while pending has requests of a time in which the workspace was free.
	flush bool
	// demand and used are smoothed rates of requests made and admitted.
	demand, used float64
	countedAt    time.Time
	// held is the value of used when the account was last bound for lack of a home, so
	// that what is admitted then does not raise the rate. without is set while it is.
	held    float64
	without bool
	// whole is a bucket of the whole limit, fair one of this daemon's share of the limit,
	// tokens the bucket of the rate to which the account is bound.
	whole, fair, tokens float64
	// surging is set while the demand is a surge that the home does not limit yet.
	surging  bool
	tokensAt time.Time
	bound    bool
	lastUse  time.Time
	reports  reportHistory
	recent   recentCount
	// binding counts how often the account was bound to a rate.
	binding uint64
}

// NewLimiter returns a limiter without any accounts. homeOf returns the home of a
// workspace, empty for none.
func NewLimiter(homeOf func(workspace string) string, random *rand.Rand, now time.Time) *Limiter {
	return &Limiter{
		accounts: make(map[string]*account), homes: make(map[string]*homeLink), watched: make(map[string]homeGrant),
		homeOf: homeOf, random: random, known: 1, started: now, swept: now,
	}
}

// Admit decides on a request of a workspace. retryAfter is set if it is refused. wake
// reports that a report has become due earlier than before.
func (l *Limiter) Admit(name string, limit Limit, now time.Time) (a *account, retryAfter time.Duration, decision Decision, wake bool) {
	a = l.accounts[name]
	if a == nil {
		a = l.newAccount(name, limit, now)
	}
	if a.limit != limit {
		a.limit = limit
		a.whole = min(a.whole, max(limit.Burst, 1))
	}
	a.count(now)
	a.demand += 1 / demandTime.Seconds()
	a.surging = a.demand > surgeFactor*a.used+surgeMargin && !(a.answered && a.grant.Mode == Limited)
	a.lastUse = now
	h := l.link(a.home)
	rate, bound, without := l.localRate(a, h, now)
	if without && !a.without {
		a.held = a.used
	}
	a.without = without
	l.refill(a, rate, bound, without, now)
	switch {
	case a.whole < 1:
		retryAfter = l.retryAfter(1-a.whole, limit.Rate)
		decision = RefusedByQuota
	case bound && a.tokens < 1:
		retryAfter = l.retryAfter(1-a.tokens, rate)
		decision = RefusedByQuota
		if without {
			decision = RefusedWithoutHome
		}
	default:
		a.whole--
		a.fair--
		if bound {
			a.tokens--
		}
		a.used += 1 / usedTime.Seconds()
		a.pending++
		a.recent.add(now)
		a.blind = a.blind || without && a.homed
	}
	return a, retryAfter, decision, l.noteUse(a, h, decision, now)
}

func (l *Limiter) newAccount(name string, limit Limit, now time.Time) *account {
	a := &account{
		name: name, limit: limit, home: l.homeOf(name),
		countedAt: now, tokensAt: now, whole: max(limit.Burst, 1), fair: max(limit.Burst/l.hosts(now), 1),
	}
	if w, ok := l.watched[name]; ok && w.home == a.home {
		a.answered, a.homed, a.grant = true, true, w.grant
	}
	l.accounts[name] = a
	return a
}

// count lets the smoothed rates fall by the time since the last call.
func (a *account) count(now time.Time) {
	elapsed := now.Sub(a.countedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.countedAt = now
	a.demand *= math.Exp(-elapsed / demandTime.Seconds())
	a.used *= math.Exp(-elapsed / usedTime.Seconds())
}

// hosts returns the number of hosts among which a limit is divided without a home.
func (l *Limiter) hosts(now time.Time) float64 {
	if now.Sub(l.started) < startTime {
		return float64(max(l.known, startHosts))
	}
	return float64(l.known)
}

// localRate returns the rate to which an account is bound, if it is, and whether that
// is for lack of a home.
func (l *Limiter) localRate(a *account, h *homeLink, now time.Time) (rate float64, bound, without bool) {
	floor := a.limit.Rate / l.hosts(now)
	used := a.used
	if a.without {
		used = a.held
	}
	room := min(a.limit.Rate, max(suspectRoom*used, floor))
	switch {
	case !h.connected && !h.lostAt.IsZero() && now.Sub(h.lostAt) < holdTime:
		return min(a.limit.Rate, max(used, floor)), true, true
	case !h.connected:
		return floor, true, true
	case h.silence(now) > suspectAfter, a.surging && h.silence(now) > surgeSuspectAfter:
		if a.answered && a.grant.Mode == Limited {
			return min(room, a.grant.Rate), true, true
		}
		return room, true, true
	case !a.answered && !a.homed && h.lostAt.IsZero():
		// The link works and the workspace is new here. The first answer takes one round
		// trip, in which the bucket of the whole limit suffices.
		return 0, false, false
	case !a.answered:
		return room, true, true
	case a.grant.Mode == Limited:
		return a.grant.Rate, true, false
	}
	return 0, false, false
}

// calm returns the time between two reports of free workspaces.
func (l *Limiter) calm() time.Duration {
	return max(calmInterval, calmInterval*time.Duration(l.known)/calmHosts)
}

// silence returns the age of the oldest report without an answer.
func (h *homeLink) silence(now time.Time) time.Duration {
	if len(h.sent) == 0 {
		return 0
	}
	return now.Sub(h.sent[0])
}

// refill adds to the buckets of an account what has come since its last request.
func (l *Limiter) refill(a *account, rate float64, bound, without bool, now time.Time) {
	elapsed := max(0, now.Sub(a.tokensAt).Seconds())
	a.tokensAt = now
	a.whole = min(max(a.limit.Burst, 1), a.whole+elapsed*a.limit.Rate)
	share := a.limit.Burst / l.hosts(now)
	floor := a.limit.Rate / l.hosts(now)
	a.fair = max(min(max(share, 1), a.fair+elapsed*floor), -floor*maxFairDebt.Seconds())
	switch {
	case !bound:
	case !a.bound:
		// A random start keeps many daemons with less than one token from admitting at
		// once. The rate used so far gives room for the variation of arrivals.
		a.tokens = l.random.Float64() + a.used*bucketTime.Seconds()
		if without && a.used == 0 {
			a.tokens += share
		}
	case !without:
		a.tokens = l.fill(a.tokens+elapsed*rate, rate*bucketTime.Seconds(), share)
	default:
		a.tokens = l.fill(a.tokens+elapsed*rate, max(rate*bucketTime.Seconds(), share), share)
	}
	if without && rate <= floor {
		a.tokens = min(a.tokens, 1+a.fair)
	}
	if bound && !a.bound {
		a.binding++
	}
	a.bound = bound
}

// fill limits tokens to capacity, and to 1 at least. If the share of the burst is less
// than one token, an idle daemon holds one only with that probability, so that the
// tokens of all idle daemons do not exceed the burst.
func (l *Limiter) fill(tokens, capacity, share float64) float64 {
	if share < 1 && tokens >= 2 && capacity < 1 && l.random.Float64() >= share {
		return l.random.Float64()
	}
	return min(tokens, max(1, capacity))
}

// retryAfter returns when missing tokens will be there, with a random addition so that
// refused callers do not return together.
func (l *Limiter) retryAfter(missing, rate float64) time.Duration {
	jitter := time.Duration(l.random.Int64N(int64(50 * time.Millisecond)))
	seconds := missing / max(rate, 0.01) * (1 + l.random.Float64())
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second))) + jitter
}

// noteUse records what there is to report and returns whether it is due earlier now.
func (l *Limiter) noteUse(a *account, h *homeLink, decision Decision, now time.Time) (wake bool) {
	wake = len(h.dirty) == 0
	h.dirty[a.name] = a
	switch {
	case !a.answered && len(h.sent) == 0:
		wake = h.makeUrgent(now) || wake
	case a.answered && a.grant.Mode != Free && h.busyAt.IsZero():
		h.busyAt, wake = now, true
	case a.surging && len(h.sent) == 0:
		wake = h.makeUrgent(now) || wake
	case a.answered && a.grant.Mode == Free && decision == Admitted:
		if l.random.Float64()*samplePeriod(a.limit) < 1 {
			a.samples++
			wake = h.makeUrgent(now) || wake
		}
	}
	return wake && h.connected || h.lostAt.IsZero() && !h.connected && wake
}

func (h *homeLink) makeUrgent(now time.Time) bool {
	if !h.urgentAt.IsZero() {
		return false
	}
	h.urgentAt = now
	return true
}

func (l *Limiter) link(host string) *homeLink {
	h := l.homes[host]
	if h == nil {
		h = &homeLink{dirty: make(map[string]*account)}
		l.homes[host] = h
	}
	return h
}
