package rollout

import (
	"fmt"
	"math"
)

// Two tests compare the new version with the old one, over all routes together and for
// each route: one the share of failed answers, the other, among the answers that did
// not fail, the share of slow ones, which took clearly longer than most answers of the
// old version on the route. Failures that affect both versions then do not hide slow
// answers.
//
// Each is Page's cumulative sum of log-likelihood ratios between the shares p0 (that of
// the old version) and p1 = p0 + badIncrease (1 - p0). It falls to 0 at the lowest, so
// that a version that turns bad later is found as soon as one that is bad from the start.
const (
	// badIncrease is the part of otherwise good answers that a bad version spoils. The
	// versions to be found spoil about half; one that spoils less than a sixth,
	// such as one with a single broken target, is not found.
	badIncrease = 0.35
	// minBadShare is the lowest p0. It keeps single failures from deciding.
	minBadShare = 0.05
	// maxBadShare is the highest p0.
	maxBadShare = 0.9
	// alarmLevel is ln(1/alpha) with alpha = 1e-5, the first error rate: the sum of a
	// good version passes it on average once in at least 1/alpha answers of a route.
	alarmLevel = 11.5
	// acceptLevel is ln(1/beta) with beta = 1e-3, the second error rate: the probability
	// that a bad version passes Wald's test from the step Ramp on.
	acceptLevel = 6.9
	// calmLevel is the sum from which a version is not completed. A good version falls
	// below it within ten answers, but slow answers of a bad one may still be on their way.
	calmLevel = 3
	// slowQuantile is the quantile of the old version's times from which the limit for
	// slow answers is taken, slowBuckets the buckets between the two: 2.8 to 4 times as
	// long.
	slowQuantile = 0.75
	slowBuckets  = 3
	// minBaseline is the number of answers of the old version from which a route is
	// compared alone.
	minBaseline = 20
	// recentDecay is the part of the old version's recent answers that is kept from one
	// evaluation to the next.
	recentDecay = 0.8
)

// kind is what makes an answer bad.
type kind int

// Kinds of bad answers.
const (
	failures kind = iota
	slowness
	kindCount
)

func (k kind) String() string { return [kindCount]string{"failed", "were slow"}[k] }

// comparison names one test: a kind of bad answers on a route, or on all for allRoutes.
type comparison struct {
	kind  kind
	route string
}

// allRoutes is the route of the comparisons over all routes.
const allRoutes = ""

// judge compares two versions. The zero value has seen nothing.
type judge struct {
	// sums are the cumulative sums.
	sums map[comparison]float64
	// recent holds the decaying answers of the old version.
	recent map[comparison]shareCount
	// accept are the sums of Wald's test since the step Ramp began, over all routes.
	accept [kindCount]float64
	reason string
}

// shareCount counts answers and bad ones.
type shareCount struct{ answers, bad float64 }

func (c shareCount) plus(other shareCount) shareCount {
	return shareCount{c.answers + other.answers, c.bad + other.bad}
}

// upperShare returns the share of bad answers plus its standard error.
func (c shareCount) upperShare() float64 {
	p := (c.bad + 0.5) / (c.answers + 1)
	return p + math.Sqrt(p*(1-p)/(c.answers+1))
}

// routeBaseline is what the old version shows of one route: all its answers and those
// since the last evaluation.
type routeBaseline struct{ total, news *Tally }

// slowLimit returns the bucket above which answers are slow, the last one without a
// baseline.
func slowLimit(old *Tally) int {
	if old.Answers()-old.Failures < minBaseline {
		return bucketCount - 1
	}
	return min(old.quantileBucket(slowQuantile)+slowBuckets, bucketCount-1)
}

// count returns the answers that a kind looks at and the bad ones among them.
func (k kind) count(tally *Tally, limit int) shareCount {
	answers := float64(tally.Answers())
	if k == failures {
		return shareCount{answers: answers, bad: float64(tally.Failures)}
	}
	return shareCount{answers: answers - float64(tally.Failures), bad: float64(tally.slow(limit))}
}

// observe takes the new answers of the new version since the last evaluation and the
// answers of the old version. It returns whether the version is found to be bad.
func (j *judge) observe(step Step, news map[string]Tally, old map[string]routeBaseline) bool {
	if j.sums == nil {
		j.sums, j.recent = make(map[comparison]float64), make(map[comparison]shareCount)
	}
	for k := range kindCount {
		var oldTotal, oldNews, newTotal shareCount
		for route, baseline := range old {
			limit := slowLimit(baseline.total)
			total, recent := k.count(baseline.total, limit), k.count(baseline.news, limit)
			oldTotal, oldNews = oldTotal.plus(total), oldNews.plus(recent)
			tally := news[route]
			found := k.count(&tally, limit)
			newTotal = newTotal.plus(found)
			test := comparison{k, route}
			j.keepRecent(test, recent)
			if total.answers >= minBaseline {
				j.add(test, found, j.baseShare(test, total))
			}
		}
		test := comparison{k, allRoutes}
		j.keepRecent(test, oldNews)
		base := j.baseShare(test, oldTotal)
		j.add(test, newTotal, base)
		if step >= Ramp {
			j.accept[k] += logRatio(newTotal, base)
		}
	}
	return j.reason != ""
}

func (j *judge) keepRecent(test comparison, news shareCount) {
	recent := j.recent[test]
	j.recent[test] = shareCount{recentDecay*recent.answers + news.answers, recentDecay*recent.bad + news.bad}
}

// baseShare returns p0: the higher one of all answers of the old version and of its
// recent ones, so that failures that begin now and affect both count for both.
func (j *judge) baseShare(test comparison, total shareCount) float64 {
	share := minBadShare
	if total.answers >= minBaseline {
		share = max(share, total.upperShare())
	}
	if recent := j.recent[test]; recent.answers >= minBaseline {
		share = max(share, recent.upperShare())
	}
	return min(share, maxBadShare)
}

// add adds answers to a sum.
func (j *judge) add(test comparison, found shareCount, base float64) {
	j.sums[test] = max(0, j.sums[test]+logRatio(found, base))
	if j.sums[test] < alarmLevel || j.reason != "" {
		return
	}
	where := "all routes"
	if test.route != allRoutes {
		where = "route " + test.route
	}
	j.reason = fmt.Sprintf("%s: %.0f of the last %.0f answers of the new version %s, at most %.1f%% expected", where, found.bad, found.answers, test.kind, 100*base)
}

// logRatio returns the log-likelihood ratio of answers between p1 and p0.
func logRatio(found shareCount, p0 float64) float64 {
	p1 := p0 + badIncrease*(1-p0)
	return found.bad*math.Log(p1/p0) + (found.answers-found.bad)*math.Log((1-p1)/(1-p0))
}

// accepted reports whether the version has passed both tests from the step Ramp on.
func (j *judge) accepted() bool {
	return j.accept[failures] <= -acceptLevel && j.accept[slowness] <= -acceptLevel
}

// calm reports whether nothing suggests that the version is bad.
func (j *judge) calm() bool {
	for _, sum := range j.sums {
		if sum >= calmLevel {
			return false
		}
	}
	return true
}
