package membership

import (
	"slices"
	"time"
)

// targetHistory is what a daemon has acknowledged or learnt about the target on its host
// and that also binds the process that runs there after it. It is held by the log and,
// in the entry of the host, by all daemons. Merges of the same parts are equal, in any
// order.
type targetHistory struct {
	departures departures
	drain      operatorDrain
}

// operatorDrain is an operator's request to drain the target or to resume it. The zero
// value stands for no request.
type operatorDrain struct {
	revision uint64
	drained  bool
}

// merge returns what is known from both.
func (h targetHistory) merge(other targetHistory, now time.Time) targetHistory {
	merged := targetHistory{departures: h.departures.merge(other.departures, now), drain: h.drain}
	if other.drain.revision > h.drain.revision {
		merged.drain = other.drain
	}
	return merged
}

func (h targetHistory) equal(other targetHistory) bool {
	return h.drain == other.drain && slices.Equal(h.departures, other.departures)
}

func (h targetHistory) isEmpty() bool { return h.equal(targetHistory{}) }

// targetRecord is one record of a history in the log: a departure, or a drain if that
// has a revision.
type targetRecord struct {
	departure departedInstance
	drain     operatorDrain
}

// records returns the records of a history on a host, by key.
func (h targetHistory) records(host string) map[string]targetRecord {
	records := make(map[string]targetRecord)
	for _, d := range h.departures {
		records[departureKey(host, d)] = targetRecord{departure: d}
	}
	if h.drain.revision > 0 {
		records[drainKey(host, h.drain)] = targetRecord{drain: h.drain}
	}
	return records
}

// add returns a history with a record of the log. Records without content change nothing.
func (h targetHistory) add(r targetRecord, now time.Time) targetHistory {
	return h.merge(targetHistory{departures: departures{r.departure}, drain: r.drain}, now)
}
