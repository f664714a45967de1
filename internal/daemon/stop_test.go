package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStopScheduleFitsTheStopTimeout(t *testing.T) {
	const latestExit = abortTimeout + finishLeaveTimeout + closeTimeout
	start := time.Now()
	for _, timeout := range []time.Duration{5 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		schedule := newStopSchedule(start, 2700*time.Millisecond, timeout)
		assert.Equal(t, schedule.drain, start.Add(2*time.Second))
		assert.Equal(t, schedule.refuse, start.Add(2700*time.Millisecond))
		assert.Equal(t, schedule.finish, start.Add(timeout-timeout/6))
		assert.Assert(t, schedule.finish.Add(latestExit).Before(start.Add(timeout)), "timeout %s", timeout)
	}
}

func TestShortStopTimeoutShortensTheLinger(t *testing.T) {
	start := time.Now()
	schedule := newStopSchedule(start, 2700*time.Millisecond, 1200*time.Millisecond)
	assert.Equal(t, schedule.drain, start.Add(300*time.Millisecond))
	assert.Equal(t, schedule.refuse, start.Add(time.Second))
	assert.Equal(t, schedule.finish, start.Add(time.Second))
}
