package main_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

const (
	statusPath = "/railway/status/heaters/17"
	orderPath  = "/railway/work-order/heaters/17"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// keyedCallsInRow is how many calls with new keys must succeed in a row before every home
// counts as past its restart margin: each key has one of three homes, so a home that
// still refuses keys is missed by so many in less than one of 1,000 runs.
const keyedCallsInRow = 18

// awaitKeyedCalls waits until calls with new keys succeed through every daemon and at
// every home. A daemon that started later than the others refuses keys for longer.
func (m *mesh) awaitKeyedCalls() {
	m.t.Helper()
	inRow := 0
	m.await("successful keyed calls at every home", func() bool {
		got, err := m.call(m.hosts[0], orderPath, newKey(), callTimeout)
		inRow++
		if err != nil || got.status != http.StatusOK {
			inRow = 0
		}
		return inRow >= keyedCallsInRow
	})
	for _, h := range m.hosts {
		m.await("a successful keyed call through "+h.name, func() bool {
			got, err := m.call(h, orderPath, newKey(), callTimeout)
			return err == nil && got.status == http.StatusOK
		})
	}
}

func TestEndToEnd(t *testing.T) {
	m := newMesh(t)
	got, err := m.call(m.hosts[0], statusPath, "", callTimeout)
	if err == nil {
		assert.Equal(t, got.outcome, "not-run")
	}
	version := m.publish()

	for i := range 40 {
		got, err := m.call(m.hosts[i%len(m.hosts)], statusPath, "", callTimeout)
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusOK, got.detail)
	}
	m.awaitKeyedCalls()
	for i := range 8 {
		key := newKey()
		for attempt := range 2 {
			got, err := m.call(m.hosts[(i+attempt)%len(m.hosts)], orderPath, key, callTimeout)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK, got.detail)
		}
		assert.Equal(t, m.runCount(key), 1)
	}

	killed := m.hosts[1]
	m.kill(killed)
	m.startDaemon(killed)
	m.awaitVersion(killed, version)
	for _, h := range m.hosts {
		m.awaitTargets(h, len(m.hosts))
	}
	got, err = m.call(killed, statusPath, "", callTimeout)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.detail)
	m.checkTimeline()
}

// TestDaemonRestartDuringPlatformOutage kills and restarts a daemon during an
// outage. It must get its version from peers and serve.
func TestDaemonRestartDuringPlatformOutage(t *testing.T) {
	m := newMesh(t)
	version := m.publish()
	m.setFaults(logservice.Faults{Silent: true})
	killed := m.hosts[2]
	m.kill(killed)
	m.startDaemon(killed)
	m.awaitVersion(killed, version)
	m.awaitTargets(killed, len(m.hosts))
	got, err := m.call(killed, statusPath, "", callTimeout)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.detail)
	m.checkTimeline()
}

// TestPausedHomeRunsNoKeyTwice pauses a host, which is the home of some keys,
// while callers make attempts with new keys, resumes it and has them retry. No
// key may run twice, none may run while each attempt was refused as not run, and one
// with a response has run.
func TestPausedHomeRunsNoKeyTwice(t *testing.T) {
	m := newMesh(t)
	m.publish()
	m.awaitKeyedCalls()
	paused := m.hosts[3]
	signal(t, paused.daemon, syscall.SIGSTOP)
	const keys = 12
	refused, answered := map[string]bool{}, map[string]bool{}
	var all []string
	for range keys {
		key := newKey()
		all = append(all, key)
		refused[key] = true
		for _, h := range m.hosts[:2] {
			got, err := m.call(h, orderPath, key, time.Second)
			refused[key] = refused[key] && err == nil && got.outcome == "not-run"
			if err == nil && got.status == http.StatusOK {
				answered[key] = true
				break
			}
		}
	}
	signal(t, paused.daemon, syscall.SIGCONT)
	for _, h := range m.hosts {
		m.awaitTargets(h, len(m.hosts))
	}
	for _, key := range all {
		if refused[key] {
			assert.Equal(t, m.runCount(key), 0, "key %s ran, but each attempt was refused", key)
		}
		for _, h := range m.hosts {
			got, err := m.call(h, orderPath, key, callTimeout)
			if err == nil && got.status == http.StatusOK {
				answered[key] = true
			}
		}
		runs := m.runCount(key)
		assert.Assert(t, runs <= 1, "key %s ran %d times", key, runs)
		assert.Assert(t, runs == 1 || !answered[key], "key %s has a response and did not run", key)
	}
	assert.Assert(t, len(answered) > 0)
	m.checkTimeline()
}

// TestRestartOfAllDaemonsDuringPlatformOutage kills all daemons during an outage.
// None may serve until the platform is back; then all must have the version
// again.
func TestRestartOfAllDaemonsDuringPlatformOutage(t *testing.T) {
	m := newMesh(t)
	version := m.publish()
	m.setFaults(logservice.Faults{Refuse: true})
	for _, h := range m.hosts {
		m.kill(h)
	}
	for _, h := range m.hosts {
		m.startDaemon(h)
	}
	for _, h := range m.hosts {
		m.await("a not-run response of "+h.name, func() bool {
			got, err := m.call(h, statusPath, "", callTimeout)
			return err == nil && got.status == http.StatusServiceUnavailable && got.outcome == "not-run"
		})
	}
	m.setFaults(logservice.Faults{})
	for _, h := range m.hosts {
		m.awaitVersion(h, version)
		m.awaitTargets(h, len(m.hosts))
	}
	got, err := m.call(m.hosts[0], statusPath, "", callTimeout)
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK, got.detail)
	m.checkTimeline()
}

// TestRollingRestartFailsNoCall restarts the daemons one after another while
// lookups continue through the others. A lookup that hangs fails by callTimeout.
func TestRollingRestartFailsNoCall(t *testing.T) {
	m := newMesh(t)
	version := m.publishWithLongDeadline()
	for i, h := range m.hosts {
		var total, failed atomic.Int64
		var firstFailure atomic.Value
		done := make(chan struct{})
		var callers conc.WaitGroup
		for c := range 4 {
			through := m.hosts[(i+1+c%3)%len(m.hosts)]
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					default:
					}
					got, err := m.call(through, statusPath, "", callTimeout)
					total.Add(1)
					if err != nil || got.status != http.StatusOK {
						failed.Add(1)
						firstFailure.CompareAndSwap(nil, fmt.Sprintf("through %s: %v %v", through.name, got, err))
					}
				}
			})
		}
		m.saveEvents(h)
		signal(t, h.daemon, syscall.SIGTERM)
		stopped := h.daemon
		status := exitStatus(t, stopped)
		m.startDaemon(h)
		m.awaitVersion(h, version)
		for _, other := range m.hosts {
			m.awaitTargets(other, len(m.hosts))
		}
		close(done)
		callers.Wait()
		assert.Equal(t, status, 0)
		assertOrderlyStop(t, stopped)
		assert.Assert(t, total.Load() > 0)
		assert.Equal(t, failed.Load(), int64(0), "of %d calls, first failure: %v", total.Load(), firstFailure.Load())
	}
	m.checkTimeline()
}
