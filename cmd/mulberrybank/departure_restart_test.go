package main_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/standin/metastore"
)

// TestRestartedDaemonRemembersDeparture kills a daemon after the departure of its upstream
// and starts it again, while the store works or fails. A heartbeat from before the departure
// arrives late. The departure is acknowledged if the store is known to hold it; the other
// daemons remember it in any case.
// Guards against: the restarted daemon reopened the upstream, and requests that may run
// once only were lost when it ended (review case 2, DRAIN).
func TestRestartedDaemonRemembersDeparture(t *testing.T) {
	rejecting := metastore.Fault{Status: http.StatusServiceUnavailable}
	for _, c := range []struct {
		name string
		// departing is the fault of the store from before the departure until the
		// daemon is killed, restarting the one from then on.
		departing, restarting metastore.Fault
		unacknowledged        bool
	}{
		{name: "store works"},
		{name: "store rejects writes until the restart", departing: rejecting, unacknowledged: true},
		{name: "store rejects everything", departing: rejecting, restarting: rejecting, unacknowledged: true},
		{name: "store loses answers", departing: metastore.Fault{DropResponse: true}, unacknowledged: true},
		{name: "store is slow", departing: metastore.Fault{Delay: 700 * time.Millisecond}, restarting: metastore.Fault{Delay: 700 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t)
			first, leaving := f.hosts[0], f.hosts[1]
			f.await("the upstream beside side-2 serves", func() bool {
				_, err := f.send(leaving, http.MethodGet, "/lookup/ledger/1", "")
				return err == nil && len(leaving.upstream.Runs()) > 0
			})
			f.store.SetFaultFunc(func(string, string) metastore.Fault { return c.departing })
			if err := leaving.upstream.Deregister(t.Context()); c.unacknowledged {
				assert.ErrorContains(t, err, "status 503")
			} else {
				assert.NilError(t, err)
			}
			f.awaitServed(first)
			assert.NilError(t, leaving.daemon.Process.Kill())
			_ = leaving.daemon.Wait()
			f.store.SetFaultFunc(func(string, string) metastore.Fault { return c.restarting })
			f.startDaemon(leaving)
			f.await("side-2 is ready again", func() bool { return f.ready(leaving) })
			f.awaitServed(first)
			f.awaitServed(leaving)
			before := len(leaving.upstream.Runs())
			for sequence := range uint64(20) {
				assert.NilError(t, leaving.upstream.SendStaleHeartbeat(t.Context(), "ready", 1000+sequence))
				f.mustSend(first, http.MethodPost, "/charge/1", "x")
				f.mustSend(leaving, http.MethodPost, "/charge/1", "x")
				time.Sleep(pollInterval)
			}
			assert.Equal(t, len(leaving.upstream.Runs()), before)
		})
	}
}

// awaitServed waits until a host reaches a target of the service ledger.
func (f *fleet) awaitServed(h *platformHost) {
	f.t.Helper()
	f.await("the service ledger is reachable from "+h.name, func() bool {
		got, err := f.send(h, http.MethodPost, "/charge/1", "x")
		return err == nil && got.status == http.StatusOK
	})
}

// TestDepartureOutlivesAllProcesses has an upstream leave while the store is out, and kills
// all daemons once it has an acknowledgement. A heartbeat from before arrives late.
// Guards against: a departure was acknowledged on the word of processes that all died, and
// the upstream got requests again (review case 10, DRAIN).
func TestDepartureOutlivesAllProcesses(t *testing.T) {
	f := startFleet(t)
	first, leaving := f.hosts[0], f.hosts[1]
	f.await("the upstream beside side-2 serves", func() bool {
		_, err := f.send(leaving, http.MethodGet, "/lookup/ledger/1", "")
		return err == nil && len(leaving.upstream.Runs()) > 0
	})
	reject := func(string, string) metastore.Fault { return metastore.Fault{Status: http.StatusServiceUnavailable} }
	f.store.SetFaultFunc(reject)
	assert.ErrorContains(t, leaving.upstream.Deregister(t.Context()), "status 503")
	f.awaitServed(first)
	before := len(leaving.upstream.Runs())
	f.mustSend(leaving, http.MethodPost, "/charge/1", "x")
	assert.Equal(t, len(leaving.upstream.Runs()), before, "the departure is in force before it is acknowledged")

	f.store.SetFaultFunc(nil)
	f.await("the departure is acknowledged", func() bool { return leaving.upstream.Deregister(t.Context()) == nil })
	f.store.SetFaultFunc(reject)
	for _, h := range f.hosts {
		assert.NilError(t, h.daemon.Process.Kill())
		_ = h.daemon.Wait()
	}
	for _, h := range f.hosts {
		f.startDaemon(h)
	}
	f.await("side-2 takes heartbeats", func() bool {
		return leaving.upstream.SendStaleHeartbeat(t.Context(), "ready", 1000) == nil
	})
	f.store.SetFaultFunc(nil)
	f.awaitServed(first)
	f.awaitServed(leaving)
	for sequence := range uint64(20) {
		assert.NilError(t, leaving.upstream.SendStaleHeartbeat(t.Context(), "ready", 1001+sequence))
		f.mustSend(first, http.MethodPost, "/charge/1", "x")
		f.mustSend(leaving, http.MethodPost, "/charge/1", "x")
		time.Sleep(pollInterval)
	}
	assert.Equal(t, len(leaving.upstream.Runs()), before)
}
