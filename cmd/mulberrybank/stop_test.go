package main_test

import (
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/standin/upstream"
)

const (
	// hostsTopic is the topic of the store with one record for each host.
	hostsTopic = "keyed.hosts"
	// longRun is the execution time of a request that outlasts a graceful stop.
	longRun = 10 * time.Second
	// shortRun is the execution time of the other requests.
	shortRun = 400 * time.Millisecond
	// lateCallers is the number of callers that send requests to a stopping daemon.
	lateCallers = 4
)

// daemonExit returns a channel that is closed when a daemon process has exited.
func daemonExit(daemon *exec.Cmd) <-chan struct{} {
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = daemon.Wait()
	}()
	return exited
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// do sends one request through a host on a new connection.
func (h *platformHost) do(id, method, path string, timeout time.Duration) (upstream.Response, error) {
	conn, err := upstream.DialDaemon(h.addr(outboundPort), callTimeout)
	if err != nil {
		return upstream.Response{}, err
	}
	defer conn.Close()
	return conn.Do(upstream.Request{ID: id, Method: method, Host: "huts.example", Path: path, Timeout: timeout}, timeout)
}

// startLongCall sends a request that outlasts a graceful stop and returns a
// function that waits for its response. Other requests run for shortRun.
func (f *fleet) startLongCall(h *platformHost) (await func() (upstream.Response, error)) {
	f.await("all services are reachable from "+h.name, func() bool {
		a, errA := f.send(h, http.MethodGet, "/lookup/1", "")
		b, errB := f.send(h, http.MethodGet, "/history/1", "")
		return errA == nil && errB == nil && a.status == http.StatusOK && b.status == http.StatusOK
	})
	f.setDelay(longRun)
	var response upstream.Response
	var err error
	var task conc.WaitGroup
	const id = "long-call"
	task.Go(func() { response, err = h.do(id, http.MethodGet, "/history/2", longCallTimeout) })
	f.await("the long request is running", func() bool {
		runs, _ := f.findRuns(id)
		return len(runs) == 1
	})
	f.setDelay(shortRun)
	return func() (upstream.Response, error) {
		task.Wait()
		return response, err
	}
}

func (f *fleet) setDelay(delay time.Duration) {
	for _, h := range f.hosts {
		h.upstream.SetBehaviour(upstream.Behaviour{Delay: delay})
	}
}

func TestLongCallDoesNotLeaveLaterCallsUnansweredInStop(t *testing.T) {
	f := startFleet(t)
	third := f.hosts[2]
	awaitLong := f.startLongCall(third)
	exited := daemonExit(third.daemon)
	assert.NilError(t, third.daemon.Process.Signal(syscall.SIGTERM))
	var callers conc.WaitGroup
	var mu sync.Mutex
	unserved := make(map[string]string)
	for caller := range lateCallers {
		callers.Go(func() {
			for count := 0; !isClosed(exited); count++ {
				id := fmt.Sprintf("late-%d-%d", caller, count)
				response, err := third.do(id, http.MethodGet, "/lookup/3", callTimeout)
				if err != nil || response.Status != http.StatusOK {
					mu.Lock()
					unserved[id] = fmt.Sprintf("status %d, error %v", response.Status, err)
					mu.Unlock()
				}
				time.Sleep(pollInterval)
			}
		})
	}
	callers.Wait()
	long, err := awaitLong()
	assert.Check(t, err, "the long call gets no response")
	assert.Check(t, long.Status == http.StatusBadGateway, "the long call gets status %d", long.Status)
	for id, end := range unserved {
		runs, _ := f.findRuns(id)
		assert.Check(t, len(runs) == 0, "request %s ran and did not get its response: %s", id, end)
	}
	if t.Failed() {
		f.dumpLogs()
	}
}

func TestStopThatTimesOutDeletesHostRecord(t *testing.T) {
	f := startFleet(t)
	third := f.hosts[2]
	awaitLong := f.startLongCall(third)
	f.await("side-3 is recorded in the store", func() bool { return f.store.Newest(hostsTopic, third.name) != nil })
	assert.NilError(t, third.daemon.Process.Signal(syscall.SIGTERM))
	<-daemonExit(third.daemon)
	_, _ = awaitLong()
	assert.Assert(t, f.store.Newest(hostsTopic, third.name) == nil, "the record of side-3 is still in the store")
}
