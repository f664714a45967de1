package route

import "time"

const (
	// serviceTimeHalfLife is the half-life of a reported service time, so that a
	// target that was slow is tried again.
	serviceTimeHalfLife = 3 * time.Second
	// slowServiceTime is the relative service time from which a target's
	// utilization is weighted up when targets further away are considered.
	slowServiceTime = 2
	// baseCost is the cost of an idle target, in units of utilization. It sets how
	// much the service time counts against the load.
	baseCost = 0.5
	// queuedCost multiplies the part of the utilization above 1, where calls queue.
	queuedCost = 2
	// costMargin is the fraction by which a target must be cheaper to be preferred.
	costMargin = 0.05
)

// serviceTimeReport is the reported time for which a request of one priority
// holds a slot of a target.
type serviceTimeReport struct {
	mean time.Duration
	at   time.Time
}

func (h *hostStats) recordServiceTime(priority int, mean time.Duration, now time.Time) {
	if mean <= 0 {
		return
	}
	if h.serviceTimes == nil {
		h.serviceTimes = make(map[int]serviceTimeReport)
	}
	h.serviceTimes[priority] = serviceTimeReport{mean: mean, at: now}
}

// setRelativeServiceTimes compares the service times of targets for calls of a
// priority with their harmonic mean, which a few slow targets hardly change: 1 is
// the mean, 2 twice as long. Targets without a report get 1.
func (r *Router) setRelativeServiceTimes(candidates []candidate, priority int, now time.Time) {
	rates, reports := 0.0, 0
	for _, c := range candidates {
		if report, found := r.serviceTimeOf(c, priority); found {
			rates += 1 / report.mean.Seconds()
			reports++
		}
	}
	for i := range candidates {
		candidates[i].relativeServiceTime = 1
		if report, found := r.serviceTimeOf(candidates[i], priority); found {
			relative := report.mean.Seconds() * rates / float64(reports)
			candidates[i].relativeServiceTime = 1 + (relative-1)*decay(now.Sub(report.at), serviceTimeHalfLife)
		}
	}
}

func (r *Router) serviceTimeOf(c candidate, priority int) (serviceTimeReport, bool) {
	stats := r.hosts[c.member.Host]
	if stats == nil {
		return serviceTimeReport{}, false
	}
	report, found := stats.serviceTimes[priority]
	return report, found
}

// cost is the expected latency of a call at a target, relative to other targets.
func (c candidate) cost() float64 {
	queued := max(c.utilization-1, 0)
	return c.relativeServiceTime * (baseCost + c.utilization + (queuedCost-1)*queued)
}

// cheaper reports whether c costs clearly less than other.
func (c candidate) cheaper(other candidate) bool {
	return c.cost() < (1-costMargin)*other.cost()
}

// weightedUtilization decides whether targets further away are considered: a
// target far slower than others counts as more utilized than it is.
func (c candidate) weightedUtilization() float64 {
	return c.utilization * max(c.relativeServiceTime/slowServiceTime, 1)
}
