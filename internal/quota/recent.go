package quota

import "time"

// recentSlots is the number of slots in which reportedTime is counted.
const recentSlots = 8

// surgeSlots is the number of slots that cover the time in which a surge is detected.
const surgeSlots = 4

// recentCount counts the requests of the last reportedTime.
type recentCount struct {
	slots [recentSlots]int
	// last is the number of the newest slot since the Unix epoch.
	last int64
}

// advance empties the slots that have become older than reportedTime.
func (c *recentCount) advance(now time.Time) {
	slot := now.UnixNano() / int64(reportedTime/recentSlots)
	if slot-c.last >= recentSlots {
		c.slots = [recentSlots]int{}
	} else {
		for c.last < slot {
			c.last++
			c.slots[c.last%recentSlots] = 0
		}
	}
	c.last = max(c.last, slot)
}

func (c *recentCount) add(now time.Time) {
	c.advance(now)
	c.slots[c.last%recentSlots]++
}

// take returns the count of the newest slots and starts again at zero.
func (c *recentCount) take(newest int64, now time.Time) (sum int) {
	c.advance(now)
	for i := range newest {
		sum += c.slots[(c.last-i)%recentSlots]
	}
	c.slots = [recentSlots]int{}
	return sum
}
