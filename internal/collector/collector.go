// Package collector tunes the garbage collector of a daemon, which has a small heap and
// many tasks.
package collector

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// smallHeap is the heap in bytes up to which the next collection is put off. Most of
	// the cost of a collection is that of the tasks and their connections, whatever the
	// heap holds.
	smallHeap = 10 << 20
	// minPercent is the growth of a heap between two collections that is not small: the
	// memory for the daemon on a host is.
	minPercent = 50
	// maxPercent bounds the growth of a very small heap.
	maxPercent = 400
	// percentStep is the precision of the growth. A change stops all tasks for a moment.
	percentStep = 25
	// liveBytes is the metric of the heap that the last collection found in use.
	liveBytes = "/gc/heap/live:bytes"
)

// cycle is an object that is collected at the end of each collection. It must not be so
// small that others share its memory.
type cycle struct {
	percent int
	_       [32]byte
}

// Tune sets the growth of the heap now and after each collection.
func Tune() { (&cycle{}).tune() }

// tune sets the growth of the heap by what is in use now, and does so again after the
// next collection.
func (c *cycle) tune() {
	sample := []metrics.Sample{{Name: liveBytes}}
	metrics.Read(sample)
	percent := PercentFor(sample[0].Value.Uint64())
	if percent != c.percent {
		debug.SetGCPercent(percent)
	}
	runtime.SetFinalizer(&cycle{percent: percent}, (*cycle).tune)
}

// PercentFor returns the growth, in percent, until the next collection of a heap of
// which a number of bytes is in use.
func PercentFor(live uint64) int {
	if live >= smallHeap {
		return minPercent
	}
	percent := int(100 * (smallHeap - live) / max(live, 1<<20))
	return min(max(percent-percent%percentStep, minPercent), maxPercent)
}
