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
	// addedBaseCost is added to baseCost where targets report the concurrency limit found
	// for them.
	addedBaseCost = 0.05
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

// recordServiceTime reports whether there was a time to record.
func (h *hostStats) recordServiceTime(priority int, mean time.Duration, now time.Time) bool {
	if mean <= 0 {
		return false
	}
	if h.serviceTimes == nil {
		h.serviceTimes = make(map[int]serviceTimeReport)
	}
	h.serviceTimes[priority] = serviceTimeReport{mean: mean, at: now}
	return true
}

// replaceRate replaces the time that the host of a healthy target had reported for calls
// of a priority, if it had, in the sums.
func (ix *serviceIndex) replaceRate(priority int, previous time.Duration, found bool, mean time.Duration) {
	if found {
		ix.addRate(priority, previous, -1)
	}
	ix.addRate(priority, mean, 1)
}

// relativeServiceTime compares the service time of a host for calls of a priority with
// the harmonic mean of all, which a few slow targets hardly change: 1 is the mean, 2
// twice as long. It is 1 for a host without a report.
func (ix *serviceIndex) relativeServiceTime(stats *hostStats, priority int, now time.Time) float64 {
	report, found := stats.serviceTimes[priority]
	total := ix.rates[priority]
	if !found || total.count == 0 {
		return 1
	}
	relative := report.mean.Seconds() * total.sum / float64(total.count)
	return 1 + (relative-1)*decay(now.Sub(report.at), serviceTimeHalfLife)
}

// cost is the expected latency of a call at a target, relative to other targets.
func (c candidate) cost() float64 {
	queued := max(c.utilization-1, 0)
	return c.relativeServiceTime * (baseCost + c.addedBaseCost + c.utilization + (queuedCost-1)*queued)
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
