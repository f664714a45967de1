package call

import (
	"math/bits"
	"time"
)

const (
	// objectiveClasses is the number of classes of objectives within a priority.
	objectiveClasses = 16
	// objectiveUnit is the longest objective of the lowest class. Each further class
	// holds objectives up to four times as long.
	objectiveUnit = 4 * time.Millisecond
	// objectiveBits is the number of bits by which the objectives of one class differ.
	objectiveBits = 2
)

// callRank orders calls by urgency, 0 the highest: by priority, and within a priority
// by classes of objectives. Calls of one rank take about as long, so service times,
// waits and refusals are known by rank. A call without an objective is in the last
// class.
func callRank(priority int, objective time.Duration) int {
	class := objectiveClasses - 1
	if objective > 0 {
		steps := bits.Len64(uint64((objective - 1) / objectiveUnit))
		class = min((steps+objectiveBits-1)/objectiveBits, objectiveClasses-2)
	}
	return priority*objectiveClasses + class
}
