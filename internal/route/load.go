package route

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// loadHalfLife is the half-life of a reported load.
const loadHalfLife = time.Second

// usableSlotsTTL is how long a report of the usable slots holds.
const usableSlotsTTL = 2 * time.Second

// maxReportedLoad bounds each number of a reported load.
const maxReportedLoad = 1 << 20

// Load is what a daemon reports about its target with each response.
type Load struct {
	// Busy is the number of running requests.
	Busy int
	// Slots is the number of requests that may run concurrently, less than the target
	// announced if it limits its rate.
	Slots int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// ServiceTime is the mean time that a request of the call's rank holds a
	// slot, 0 when unknown. It is not part of the text form.
	ServiceTime time.Duration
	// FailureRate is the fraction of recent requests, from 0 to 1, that the target
	// failed. It is not part of the text form.
	FailureRate float64
}

// String formats the load as "busy/slots/queued".
func (l Load) String() string {
	return strconv.Itoa(l.Busy) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued)
}

// ParseLoad parses the output of String.
func ParseLoad(text string) (Load, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Load{}, fmt.Errorf("load %q is not busy/slots/queued", text)
	}
	var values [3]int
	for i, part := range parts {
		value, err := strconv.ParseUint(part, 10, 31)
		if err != nil || value > maxReportedLoad {
			return Load{}, fmt.Errorf("load %q: %q is not between 0 and %d", text, part, maxReportedLoad)
		}
		values[i] = int(value)
	}
	return Load{Busy: values[0], Slots: values[1], Queued: values[2]}, nil
}

// hostStats is what this daemon's own calls show about one host.
type hostStats struct {
	outstanding int
	// otherLoad is the load that other daemons put on the target, as of loadAt.
	otherLoad int
	loadAt    time.Time
	// usableSlots is the number of slots that the target could use then, 0 when
	// unknown.
	usableSlots int
	usedAt      time.Time

	// successCount and failureCount are decayed as of outcomesAt.
	successCount float64
	failureCount float64
	outcomesAt   time.Time
	ejections    int
	// leavingUntil is when a refusal of new work expires, leavingVersion the version
	// of the member when it came.
	leavingUntil   time.Time
	leavingVersion membership.EntryVersion
	ejectedUntil   time.Time
	// fullUntil is when a refusal as full expires, fullPriority the most urgent
	// priority that was refused, fullCount the number of consecutive backoffs.
	fullUntil    time.Time
	fullPriority int
	fullCount    int
	// refusedAt is when the host last refused a call as full.
	refusedAt time.Time
	// serviceTimes holds the last report for each priority.
	serviceTimes     map[int]serviceTimeReport
	reportedFailures failureReport
}

// load estimates the number of requests at the target. The part of other daemons
// decays with the age of the report, the part of this daemon is exact.
func (h *hostStats) load(now time.Time) float64 {
	return float64(h.outstanding) + float64(h.otherLoad)*decay(now.Sub(h.loadAt), loadHalfLife)
}

// recordLoad records a load that was reported with a response. It must be called
// while the call that got the response still counts as outstanding; the report no
// longer includes that call.
func (h *hostStats) recordLoad(load Load, now time.Time) {
	h.otherLoad = max(load.Busy+load.Queued-(h.outstanding-1), 0)
	h.loadAt = now
	h.usableSlots = load.Slots
}

// reportedSlots reports whether there is a report of the usable slots that holds.
func (h *hostStats) reportedSlots(now time.Time) bool {
	return h.usableSlots > 0 && now.Sub(h.loadAt) < usableSlotsTTL
}

// slots returns how many of a target's slots are usable. A report of fewer expires.
func (h *hostStats) slots(announced int, now time.Time) int {
	if h.reportedSlots(now) {
		return min(announced, h.usableSlots)
	}
	return announced
}

// decay is 1 at age 0 and halves with each halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
