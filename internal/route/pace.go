package route

import "time"

const (
	// paceHalfLife is how long it takes until half of what a report says of a
	// target's pace counts, so that a target that was slow is tried again.
	paceHalfLife = 3 * time.Second
	// slowPace is the pace from which on a target's load counts for more when
	// targets further away are looked at.
	slowPace = 2
	// idleCost is what a target without load costs, in the unit of scores. It
	// says how much a pace counts against load.
	idleCost = 0.5
	// queueCost multiplies the part of a score above 1: such calls wait.
	queueCost = 2
	// costMargin is the share by which a choice must cost less to be preferred.
	costMargin = 0.05
)

// tookReport is how long a request of one rank holds a slot of a target.
type tookReport struct {
	took time.Duration
	at   time.Time
}

func (h *host) reportTook(priority int, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	if h.took == nil {
		h.took = make(map[int]tookReport)
	}
	h.took[priority] = tookReport{took: took, at: now}
}

// setPaces compares the times that targets take for calls of a rank: 1 is their
// harmonic mean, which a few slow ones hardly move, 2 twice as long. Targets of
// which nothing is known have a pace of 1.
func (r *Router) setPaces(candidates []candidate, priority int, now time.Time) {
	rates, known := 0.0, 0
	for _, one := range candidates {
		if report, found := r.tookOf(one, priority); found {
			rates += 1 / report.took.Seconds()
			known++
		}
	}
	for i := range candidates {
		candidates[i].pace = 1
		if report, found := r.tookOf(candidates[i], priority); found {
			pace := report.took.Seconds() * rates / float64(known)
			candidates[i].pace = 1 + (pace-1)*decay(now.Sub(report.at), paceHalfLife)
		}
	}
}

func (r *Router) tookOf(one candidate, priority int) (tookReport, bool) {
	known := r.hosts[one.member.Host]
	if known == nil {
		return tookReport{}, false
	}
	report, found := known.took[priority]
	return report, found
}

// cost is what a call is expected to take at a target, relative to others.
func (c candidate) cost() float64 {
	waiting := max(c.score-1, 0)
	return c.pace * (idleCost + c.score + (queueCost-1)*waiting)
}

// cheaper reports whether a choice costs clearly less than another.
func (c candidate) cheaper(other candidate) bool {
	return c.cost() < (1-costMargin)*other.cost()
}

// burden is the score by which targets further away are looked at: a target that
// is far slower than others counts as more loaded than it is.
func (c candidate) burden() float64 { return c.score * max(c.pace/slowPace, 1) }
