package rollout

import (
	"math"
	"time"
)

// bucketCount is the number of buckets of a histogram of times. Each is wider than the
// one before by the square root of 2; the last begins at 46 s.
const bucketCount = 32

// firstBucket is the upper bound of the first bucket.
const firstBucket = time.Millisecond

// coldBuckets is by how many buckets the times of cold targets are lowered: they take
// twice as long.
const coldBuckets = 2

// Tally counts the answers of the targets of one version to the calls of one route.
type Tally struct {
	// Failures are not in Times.
	Failures uint64
	Times    [bucketCount]uint64
}

// bucketOf returns the bucket of a response time.
func bucketOf(took time.Duration, cold bool) int {
	if took < firstBucket {
		return 0
	}
	bucket := 1 + int(2*math.Log2(float64(took)/float64(firstBucket)))
	if cold {
		bucket -= coldBuckets
	}
	return min(max(bucket, 0), bucketCount-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(bucket)/2))
}

// add counts one answer.
func (t *Tally) add(failed bool, took time.Duration, cold bool) {
	if failed {
		t.Failures++
		return
	}
	t.Times[bucketOf(took, cold)]++
}

// Answers returns the number of answers.
func (t *Tally) Answers() uint64 {
	total := t.Failures
	for _, count := range t.Times {
		total += count
	}
	return total
}

// slow returns the number of answers in buckets above a limit.
func (t *Tally) slow(limit int) uint64 {
	count := uint64(0)
	for bucket := limit + 1; bucket < bucketCount; bucket++ {
		count += t.Times[bucket]
	}
	return count
}

// quantileBucket returns the bucket of a quantile of the times, the last one if there
// are none.
func (t *Tally) quantileBucket(quantile float64) int {
	total := t.Answers() - t.Failures
	if total == 0 {
		return bucketCount - 1
	}
	rank := uint64(math.Ceil(quantile * float64(total)))
	seen := uint64(0)
	for bucket, count := range t.Times {
		seen += count
		if seen >= rank {
			return bucket
		}
	}
	return bucketCount - 1
}

// plus adds the answers of another tally.
func (t *Tally) plus(other *Tally) {
	t.Failures += other.Failures
	for bucket, count := range other.Times {
		t.Times[bucket] += count
	}
}

// since returns the answers that were counted after an earlier state of the same tally.
func (t Tally) since(earlier Tally) Tally {
	t.Failures -= min(earlier.Failures, t.Failures)
	for bucket := range t.Times {
		t.Times[bucket] -= min(earlier.Times[bucket], t.Times[bucket])
	}
	return t
}

// VersionTallies are the tallies of one route by version.
type VersionTallies struct{ Old, New Tally }

// Totals are the counts of one daemon since it learnt of an order.
type Totals struct {
	// SentOld and SentNew are the attempts that were sent to targets.
	SentOld, SentNew uint64
	Routes           map[string]VersionTallies
}
