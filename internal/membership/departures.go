package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// maxDepartures bounds the departures remembered for one host.
	maxDepartures = 64
	// departureRetention is how long a departure is remembered. It is far longer
	// than an announcement can be on its way.
	departureRetention = time.Hour
	// clockTolerance is how far the clocks of a daemon and its target may differ.
	clockTolerance = 5 * time.Second
	// maxInstanceBytes bounds the name of an instance.
	maxInstanceBytes = 256
)

// instanceID identifies one running process of a target.
type instanceID struct {
	instance      string
	startedUnixMs int64
}

// validateInstance checks the name of an instance, which other daemons and the log
// have to be able to store.
func validateInstance(name string) error {
	if len(name) > maxInstanceBytes || !utf8.ValidString(name) {
		return fmt.Errorf("%w: instance of %d bytes is too long or not UTF-8", ErrAnnouncementRefused, len(name))
	}
	return nil
}

// departedInstance is an instance that has left. If its start time is unknown,
// leftUnixMs tells it from a later instance of the same name.
type departedInstance struct {
	instanceID
	leftUnixMs int64
}

// match says what a departure shows of an instance.
type match int

const (
	// another instance departed.
	another match = iota
	// earlierStart says that the instance is an earlier start of the one that departed: it
	// has ended, unless the clock of the target was set back between the two.
	earlierStart
	// sameStart says that the instance is the one that departed.
	sameStart
)

// match compares an instance with the one that departed. An instance of the same name that
// started after the departure, by the target's clock, is another one. One that does not say
// when it started can't show that.
func (d departedInstance) match(id instanceID) match {
	switch {
	case d.instance != id.instance:
		return another
	case id.startedUnixMs == 0 || d.startedUnixMs == id.startedUnixMs:
		return sameStart
	case d.startedUnixMs > id.startedUnixMs:
		return earlierStart
	case d.startedUnixMs > 0:
		return another
	case time.UnixMilli(id.startedUnixMs).After(time.UnixMilli(d.leftUnixMs).Add(-clockTolerance)):
		return another
	default:
		return sameStart
	}
}

// compare orders departures by their time, and those of one time by instance.
func (d departedInstance) compare(other departedInstance) int {
	return cmp.Or(
		cmp.Compare(d.leftUnixMs, other.leftUnixMs),
		cmp.Compare(d.instance, other.instance),
		cmp.Compare(d.startedUnixMs, other.startedUnixMs),
	)
}

// departures are the departed instances of one host, oldest first and each once.
// The merge of two of them does not depend on the order, so that daemons that learnt
// the same departures hold the same. Values are not changed once published.
type departures []departedInstance

// merge returns the departures of both that have not expired.
func (ds departures) merge(others departures, now time.Time) departures {
	if len(ds) == 0 && len(others) == 0 {
		return nil
	}
	left := make(map[instanceID]int64, len(ds)+len(others))
	for _, d := range slices.Concat(ds, others) {
		if d.instance != "" && now.Sub(time.UnixMilli(d.leftUnixMs)) < departureRetention {
			left[d.instanceID] = max(left[d.instanceID], d.leftUnixMs)
		}
	}
	var merged departures
	for id, leftUnixMs := range left {
		merged = append(merged, departedInstance{instanceID: id, leftUnixMs: leftUnixMs})
	}
	slices.SortFunc(merged, departedInstance.compare)
	return merged[max(0, len(merged)-maxDepartures):]
}

// match returns the most that any of the departures shows of an instance.
func (ds departures) match(id instanceID) match {
	result := another
	for _, d := range ds {
		result = max(result, d.match(id))
	}
	return result
}

// holdsRecent reports whether the departure of an instance is held and does not expire
// soon.
func (ds departures) holdsRecent(id instanceID, now time.Time) bool {
	return slices.ContainsFunc(ds, func(d departedInstance) bool {
		return d.instanceID == id && now.Sub(time.UnixMilli(d.leftUnixMs)) < departureRetention/2
	})
}
