package route

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// loadHalfLife is how long it takes until half of a reported load counts.
const loadHalfLife = time.Second

// maxReported bounds each number of a reported load.
const maxReported = 1 << 20

// Load is what a daemon reports of its target with each answer.
type Load struct {
	// Busy is how many requests the target runs.
	Busy int
	// Slots is how many it may run at once.
	Slots int
	// Queued is how many wait for a slot.
	Queued int
	// ServiceTime is the mean time that a request of the call's rank holds a slot, 0
	// when none is known. It is not part of the text form.
	ServiceTime time.Duration
	// FailureRate is the share of requests, from 0 to 1, that the target failed of
	// late. It is not part of the text form.
	FailureRate float64
}

// String formats the load as "busy/slots/queued".
func (l Load) String() string {
	return strconv.Itoa(l.Busy) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued)
}

// ParseLoad reads the form that String writes.
func ParseLoad(text string) (Load, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Load{}, fmt.Errorf("load %q is not busy/slots/queued", text)
	}
	var values [3]int
	for i, part := range parts {
		value, err := strconv.ParseUint(part, 10, 31)
		if err != nil || value > maxReported {
			return Load{}, fmt.Errorf("load %q: %q is not between 0 and %d", text, part, maxReported)
		}
		values[i] = int(value)
	}
	return Load{Busy: values[0], Slots: values[1], Queued: values[2]}, nil
}

// host is what the router knows of one host from its own calls.
type host struct {
	outstanding int
	// others is the load that other daemons put on the target, as of reported.
	others   int
	reported time.Time
	used     time.Time

	successes float64
	failures  float64
	counted   time.Time
	ejections int
	// leavingUntil and leavingAt keep a refusal of new work and the position
	// at which it came.
	leavingUntil time.Time
	leavingAt    membership.EntryVersion
	ejectedUntil time.Time
	// fullUntil is when a refusal as full is forgotten, fullRank the most urgent
	// rank that was refused, fulls the refusals in a row.
	fullUntil time.Time
	fullRank  int
	fulls     int
	// took holds, by rank, what the target's daemon reported last of the time
	// that a request holds a slot.
	took map[int]tookReport
	// failing is the share of requests that the target failed, as its daemon
	// reported.
	failing failingReport
}

// load estimates the requests at the target. What others put there fades with
// the age of the report, what this daemon put there is exact.
func (h *host) load(now time.Time) float64 {
	return float64(h.outstanding) + float64(h.others)*decay(now.Sub(h.reported), loadHalfLife)
}

// report takes over a load that came with an answer. The answered call is no
// longer part of it, but still counts as outstanding.
func (h *host) report(load Load, now time.Time) {
	h.others = max(load.Busy+load.Queued-(h.outstanding-1), 0)
	h.reported = now
}

// decay is 1 at age 0 and halves with each halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
