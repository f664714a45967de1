// Package clientlimit limits what the clients of a daemon's HTTP listeners may make it
// hold: memory for heads, bodies, unread answers and connections, and descriptors. It
// is accounted on each connection, and when it is short the holder that has made no
// progress for the longest time is cut. See docs/design/abusive-clients.md.
package clientlimit

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/mulberrybank/mulberrybank/internal/logging"
)

const (
	// memoryDivisor divides the memory limit of the process into what clients may hold.
	// The rest is for the growth of the heap between collections and for the daemon
	// itself.
	memoryDivisor = 6
	// overshoot bounds what is held while the holders that pay are being closed, as a
	// multiple of the budget.
	overshoot = 2
	// reservedFiles is the number of descriptors that are kept for files.
	reservedFiles = 200
	// idleGrant is how much longer a connection that has carried a request may be
	// without progress than another one. Clients reuse connections that were idle for
	// 12 s.
	idleGrant = 12 * time.Second
	// stalledStream is the time without a byte after which a streamed body is cut if
	// another call is refused. It may occupy a slot of a target.
	stalledStream = time.Second
	// maxScan bounds the search for a stalled stream.
	maxScan     = 64
	logInterval = 10 * time.Second
)

// DefaultStallTimeout is the default of Options.StallTimeout.
const DefaultStallTimeout = 20 * time.Second

// Reasons for which a client is cut, the label of a metric.
const (
	reasonMemory      = "memory"
	reasonConnections = "connections"
	reasonStalled     = "stalled"
	reasonStream      = "stream"
)

// Options configure a Limiter.
type Options struct {
	// Memory is the memory limit of the process in bytes, 0 for no limit.
	Memory uint64
	// Budget is what clients may hold in bytes, 0 for a part of Memory.
	Budget uint64
	// Descriptors is the limit of the process on open descriptors.
	Descriptors int
	// StallTimeout is the time within which a client must make progress,
	// DefaultStallTimeout if 0.
	StallTimeout time.Duration
	Logger       *logrus.Logger
	Metrics      *metrics.Set
}

// Limiter limits the clients of all listeners of one daemon.
type Limiter struct {
	stall       time.Duration
	descriptors int
	cuts        map[string]*metrics.Counter
	log         *logrus.Entry
	logged      rate.Sometimes

	mu sync.Mutex
	// budget is 0 if the memory is not limited.
	budget int64
	// held is what all connections hold, closing what those hold that were cut and
	// are not closed yet.
	held, closing int64
	// peersHeld is what connections between daemons hold that were not cut.
	peersHeld int64
	pools     []*pool
}

// New returns a limiter.
func New(options Options) *Limiter {
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if options.StallTimeout <= 0 {
		options.StallTimeout = DefaultStallTimeout
	}
	budget := options.Budget
	if budget == 0 {
		budget = options.Memory / memoryDivisor
	}
	l := &Limiter{
		stall:       options.StallTimeout,
		descriptors: options.Descriptors,
		cuts:        make(map[string]*metrics.Counter),
		log:         logging.ForComponent(options.Logger, "clients"),
		logged:      rate.Sometimes{Interval: logInterval},
		budget:      int64(budget),
	}
	for _, reason := range []string{reasonMemory, reasonConnections, reasonStalled, reasonStream} {
		l.cuts[reason] = options.Metrics.GetOrCreateCounter(`mulberrybank_client_cuts_total{reason="` + reason + `"}`)
	}
	options.Metrics.NewGauge(`mulberrybank_client_held_bytes`, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.held)
	})
	options.Metrics.NewGauge(`mulberrybank_client_connections`, func() float64 { return float64(l.connections()) })
	return l
}

// connections returns the number of open connections.
func (l *Limiter) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := 0
	for _, p := range l.pools {
		open += p.open
	}
	return open
}

// setHeld changes what a connection holds. If the budget is exceeded, other holders are
// cut, or the connection itself. l.mu must be held; the connections returned must be
// closed once it is not.
func (l *Limiter) setHeld(c *Conn, held int64) (cut []*Conn) {
	l.held += held - c.held
	if c.cut {
		l.closing += held - c.held
	} else if c.peer {
		l.peersHeld += held - c.held
	}
	c.held = held
	for l.budget > 0 && l.held-l.closing > l.budget {
		victim := l.largestHolder()
		if victim == nil {
			break
		}
		l.markCut(victim)
		cut = append(cut, victim)
	}
	if l.budget > 0 && l.held > overshoot*l.budget && !c.cut && c.phase != phaseRunning {
		l.markCut(c)
		cut = append(cut, c)
	}
	return cut
}

// markCut takes a connection out of the lists. l.mu must be held.
func (l *Limiter) markCut(c *Conn) {
	c.unlink()
	c.cut = true
	l.closing += c.held
	if c.peer {
		l.peersHeld -= c.held
	}
}

// largestHolder returns the connection that is cut when the memory is short, nil if none
// can be: one between daemons while these hold more than their part, else among those
// that hold the most, to the power of two, the one without progress for the longest time.
// l.mu must be held.
func (l *Limiter) largestHolder() *Conn {
	if victim := l.peerVictim(); victim != nil {
		return victim
	}
	for size := sizes - 1; size >= 0; size-- {
		var victim *Conn
		for _, p := range l.pools {
			victim = older(victim, older(p.bySize[size].first, p.largePeers[size].first))
			if size == streamSize {
				victim = older(victim, p.streams.first)
			}
			if size == 0 {
				victim = older(victim, p.idle.first)
			}
		}
		if victim != nil {
			return victim
		}
	}
	return nil
}

// older returns the connection without progress for the longest time.
func older(a, b *Conn) *Conn {
	if a == nil || b != nil && b.due() < a.due() {
		return b
	}
	return a
}

// NoteRefusal cuts one client whose streamed body has stalled, because another call was
// refused for want of a slot and the stalled one may occupy one.
func (l *Limiter) NoteRefusal() {
	now := time.Now().UnixNano()
	l.mu.Lock()
	var victim *Conn
	for _, p := range l.pools {
		c := p.streams.first
		for range maxScan {
			if c == nil || now-c.progress < int64(stalledStream) {
				break
			}
			if c.reading {
				victim = older(victim, c)
				break
			}
			c = c.next
		}
	}
	if victim != nil {
		l.markCut(victim)
	}
	l.mu.Unlock()
	if victim != nil {
		victim.abort()
		l.count(victim, reasonStream)
	}
}

// count counts a client that was cut, and logs that at most once per logInterval.
func (l *Limiter) count(c *Conn, reason string) {
	l.cuts[reason].Inc()
	l.logged.Do(func() {
		l.mu.Lock()
		held, budget, open := l.held, l.budget, c.pool.open
		l.mu.Unlock()
		l.log.WithFields(logrus.Fields{
			"port": c.pool.name, "reason": reason, "client": c.Conn.RemoteAddr().String(),
			"held": held, "budget": budget, "connections": open,
		}).Warn("client cut; others may follow without a line")
	})
}

// closeAll ends connections that were cut because the memory is short.
func (l *Limiter) closeAll(cut []*Conn) {
	for _, c := range cut {
		c.abort()
		l.count(c, reasonMemory)
	}
}
