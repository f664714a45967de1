package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStopScheduleFitsTheStopTimeout(t *testing.T) {
	const latestExit = maxAbortTimeout + maxFinishLeaveTimeout + closeTimeout
	start := time.Now()
	for _, timeout := range []time.Duration{5 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		schedule := newStopSchedule(start, 2700*time.Millisecond, timeout)
		assert.Equal(t, schedule.drain, start.Add(2*time.Second))
		assert.Equal(t, schedule.refuse, start.Add(2700*time.Millisecond))
		assert.Equal(t, schedule.finish, start.Add(timeout-timeout/6))
		assert.Assert(t, schedule.finish.Add(latestExit).Before(start.Add(timeout)), "timeout %s", timeout)
	}
}

func TestShortStopTimeoutLeavesTimeForCallsTakenInTheLinger(t *testing.T) {
	start := time.Now()
	for _, timeout := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 4 * time.Second, 6 * time.Second} {
		for _, linger := range []time.Duration{2700 * time.Millisecond, timeout, time.Hour} {
			schedule := newStopSchedule(start, linger, timeout)
			stopping := schedule.finish.Sub(start)
			assert.Assert(t, schedule.finish.Sub(schedule.refuse) >= stopping/3, "linger %s, timeout %s", linger, timeout)
			assert.Assert(t, !schedule.drain.After(schedule.refuse))
			assert.Equal(t, schedule.drain, start.Add(max(schedule.refuse.Sub(start)-leaveLeadTime, 0)))
		}
	}
}

func TestShortStopEndsWithinItsTimeout(t *testing.T) {
	start := time.Now()
	for _, timeout := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		schedule := newStopSchedule(start, 0, timeout)
		latestExit := schedule.finish.Add(max(schedule.abortTimeout, schedule.finishLeaveTimeout) + closeTimeout)
		assert.Assert(t, latestExit.Before(start.Add(timeout)), "timeout %s", timeout)
	}
}

// The requests of other daemons are aborted late, but in time for their responses, the last
// announcement and the end of the connections.
func TestRequestsOfOtherDaemonsGetMostOfTheStopTimeout(t *testing.T) {
	start := time.Now()
	for _, timeout := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		schedule := newStopSchedule(start, 2700*time.Millisecond, timeout)
		if !schedule.abortPeers.After(schedule.finish) {
			assert.Equal(t, schedule.abortPeers, schedule.finish)
			continue
		}
		assert.Equal(t, schedule.abortPeers, start.Add(timeout-peerAbortLead))
		assert.Assert(t, schedule.abortPeers.Add(peerAbortTimeout+closeTimeout).Before(start.Add(timeout)), "timeout %s", timeout)
	}
}

// Responses may be written until after the last abort, and the process still ends in time.
func TestResponsesMayBeWrittenUntilNearTheEndOfTheStop(t *testing.T) {
	start := time.Now()
	for _, timeout := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
		schedule := newStopSchedule(start, 2700*time.Millisecond, timeout)
		assert.Assert(t, schedule.answered.After(schedule.abortPeers), "timeout %s", timeout)
		assert.Assert(t, schedule.answered.Before(start.Add(timeout)), "timeout %s", timeout)
	}
}
